package cell

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

const (
	// voterTimeout is the time without an announcement after which a voter may
	// be replaced by another VM.
	voterTimeout = 1500 * time.Millisecond
	// announcementTTL is the age of its last announcement up to which a VM
	// counts as present.
	announcementTTL = 1200 * time.Millisecond
	// learnerTimeout is the time without an announcement after which a learner
	// is removed.
	learnerTimeout = 10 * time.Second
	// promotionRetry is the time for which a learner whose promotion failed is not
	// promoted again.
	promotionRetry = 3 * time.Second
)

// Presence is an announcement with which a VM with a disk reports to the leader
// that it is running.
type Presence struct {
	VM model.VMID
	// Disk is the identity of the disk of the VM, which changes when the disk
	// is replaced or emptied.
	Disk quorum.DiskID
	// Heard is when the leader received the announcement.
	Heard model.Instant
}

// Repair chooses membership changes that keep the wanted number of voters in
// the replication group of a cell, without an operator's command, when VMs are
// added, fail or lose their disks. Only the leader uses it.
type Repair struct {
	// Voters is the wanted number of voters.
	Voters int
	// announced holds the latest announcement of each VM.
	announced map[model.VMID]Presence
	// failedPromotions holds the time of the last failed promotion of a VM.
	failedPromotions map[model.VMID]model.Instant
	// leadingSince is when this VM became the leader and began to receive
	// announcements.
	leadingSince model.Instant
}

// Start drops earlier announcements. Call it when this VM becomes the leader.
func (re *Repair) Start(now model.Instant) {
	re.leadingSince, re.announced, re.failedPromotions = now, nil, nil
}

// Failed records that a change was rejected or did not take effect in time.
func (re *Repair) Failed(now model.Instant, chg quorum.Change) {
	if chg.Kind() != quorum.Promote {
		return
	}
	if re.failedPromotions == nil {
		re.failedPromotions = map[model.VMID]model.Instant{}
	}
	re.failedPromotions[chg.VM()] = now
}

// Announce records an announcement.
func (re *Repair) Announce(pre Presence) {
	if re.announced == nil {
		re.announced = map[model.VMID]Presence{}
	}
	re.announced[pre.VM] = pre
}

// silence returns the time since the last announcement of a VM, or since this VM
// became the leader if there was none.
func (re *Repair) silence(now model.Instant, vm model.VMID) time.Duration {
	pre, ok := re.announced[vm]
	if !ok || pre.Heard.Before(re.leadingSince) {
		return now.Sub(re.leadingSince)
	}
	return now.Sub(pre.Heard)
}

// census is the state of a group and of the VMs around it at one moment. The lists
// are in the order in which Repair uses their VMs.
type census struct {
	// voters is the number of voters. It includes those in replaced and silent.
	voters int
	// replaced are the voters that announce another disk than the one in the
	// configuration, which is lost.
	replaced []model.VMID
	// silent are the other voters without an announcement for voterTimeout.
	silent []model.VMID
	// intact are the other voters, without this VM.
	intact []model.VMID
	// learners are the present learners that may be promoted.
	learners []model.VMID
	// spares are the present VMs that are not members.
	spares []model.VMID
	// idle are the learners without an announcement for learnerTimeout.
	idle []model.VMID
}

// missing returns the number of voters to add to those that are intact.
func (cen census) missing(wanted int) int {
	return wanted - (cen.voters - len(cen.replaced) - len(cen.silent))
}

// Next returns the next membership change, or false if none is needed. A lost
// voter is removed after its replacement has been promoted, so that a committed
// entry stays on more disks than may be lost and the loss of other voters can be
// borne. Only a VM that is its own replacement, as it announces a new disk, is
// removed before, and only while the other voters can keep enough copies. If the
// lost voter is back after the promotion, there is one voter too many and another
// one is removed. self is this VM, which is never removed.
func (re *Repair) Next(now model.Instant, self model.VMID, mems quorum.Members) (quorum.Change, bool) {
	cen := re.census(now, self, mems)
	missing := cen.missing(re.Voters)
	lost := slices.Concat(cen.replaced, cen.silent)
	switch {
	case cen.voters > re.Voters && len(lost) > 0:
		return quorum.NewChange(quorum.Remove, lost[0]), true
	case missing > len(cen.learners) && len(cen.spares) > 0:
		return quorum.NewChange(quorum.AddLearner, cen.spares[0]), true
	case missing > 0 && cen.voters <= re.Voters && len(cen.learners) > 0:
		return quorum.NewChange(quorum.Promote, cen.learners[0]), true
	case len(cen.replaced) > 0 && cen.voters > re.minVoters():
		return quorum.NewChange(quorum.Remove, cen.replaced[0]), true
	case cen.voters > re.Voters && len(cen.intact) > 0:
		return quorum.NewChange(quorum.Remove, cen.intact[len(cen.intact)-1]), true
	case len(cen.idle) > 0:
		return quorum.NewChange(quorum.Remove, cen.idle[0]), true
	}
	return quorum.Change{}, false
}

// minVoters returns the number of voters below which no voter is removed: a
// majority of the wanted ones, which is one more than the disks that may be lost.
func (re *Repair) minVoters() int { return re.Voters/2 + 1 }

// census returns the state of the group with the members mems.
func (re *Repair) census(now model.Instant, self model.VMID, mems quorum.Members) census {
	var cen census
	for _, mem := range mems.List() {
		pre, ok := re.announced[mem.VM()]
		present := ok && now.Sub(pre.Heard) <= announcementTTL
		silence := re.silence(now, mem.VM())
		switch {
		case mem.Voter():
			cen.voters++
			if mem.VM() == self {
				continue
			}
			switch {
			case present && mem.Disk() != "" && pre.Disk != mem.Disk():
				cen.replaced = append(cen.replaced, mem.VM())
			case silence > voterTimeout:
				cen.silent = append(cen.silent, mem.VM())
			default:
				cen.intact = append(cen.intact, mem.VM())
			}
		case present && re.mayPromote(now, mem.VM()):
			cen.learners = append(cen.learners, mem.VM())
		case silence > learnerTimeout:
			cen.idle = append(cen.idle, mem.VM())
		}
	}
	slices.SortStableFunc(cen.silent, func(a, b model.VMID) int { return cmp.Compare(re.silence(now, b), re.silence(now, a)) })
	for _, pre := range re.announced {
		if _, ok := mems.Find(pre.VM); !ok && pre.VM != self && pre.Disk != "" && now.Sub(pre.Heard) <= announcementTTL {
			cen.spares = append(cen.spares, pre.VM)
		}
	}
	slices.Sort(cen.spares)
	return cen
}

// mayPromote reports whether no promotion of vm failed recently.
func (re *Repair) mayPromote(now model.Instant, vm model.VMID) bool {
	failedAt, ok := re.failedPromotions[vm]
	return !ok || now.Sub(failedAt) > promotionRetry
}
