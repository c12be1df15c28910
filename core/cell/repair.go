package cell

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/voting"
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
)

// Presence is an announcement with which a VM with a disk reports to the leader
// that it is running.
type Presence struct {
	VM model.VMID
	// Centre is the data centre of the VM, or "" if it is unknown.
	Centre model.CentreID
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
	// Centre is the data centre of this VM.
	Centre model.CentreID
	// announced holds the latest announcement of each VM.
	announced map[model.VMID]Presence
	// retries holds back promotions that failed.
	retries voting.Retries
	// leadingSince is when this VM became the leader and began to receive
	// announcements.
	leadingSince model.Instant
}

// Start drops earlier announcements. Call it when this VM becomes the leader.
func (re *Repair) Start(now model.Instant) {
	re.leadingSince, re.announced, re.retries = now, nil, voting.Retries{}
}

// Failed records that a change was rejected or did not take effect in time.
func (re *Repair) Failed(now model.Instant, chg quorum.Change) { re.retries.Failed(now, chg) }

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

// candidate is a present VM that may become a voter.
type candidate struct {
	vm model.VMID
	// learner is false if the VM is not a member yet.
	learner bool
	// centre is "" if it is unknown, and load is its number of intact voters.
	centre model.CentreID
	load   int
}

// change returns the next step by which the VM becomes a voter.
func (can candidate) change() quorum.Change {
	if can.learner {
		return quorum.NewChange(quorum.Promote, can.vm)
	}
	return quorum.NewChange(quorum.AddLearner, can.vm)
}

// compare orders candidates so that voters are spread over the data centres.
func (can candidate) compare(other candidate) int {
	return cmp.Or(cmp.Compare(can.load, other.load), -compareBool(can.learner, other.learner), cmp.Compare(can.vm, other.vm))
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// census is the state of a group and of the VMs around it at one moment. The lists
// are in the order in which Repair uses their VMs.
type census struct {
	// voters is the number of voters, including those in replaced and silent.
	voters int
	// replaced are the voters that announce another disk than the one in the
	// configuration, which is lost.
	replaced []model.VMID
	// silent are the other voters without an announcement for voterTimeout.
	silent []model.VMID
	// intact are the other voters, without this VM. The first one is in the data
	// centre with the most intact voters.
	intact []model.VMID
	// load is the number of intact voters, including this VM, of each data centre
	// that has any. Voters whose data centre is unknown are left out.
	load map[model.CentreID]int
	// candidates are the present VMs that may become voters.
	candidates []candidate
	// idle are the learners without an announcement for learnerTimeout.
	idle []model.VMID
}

// Next returns the next membership change, or false if none is needed. Lost voters are
// replaced as voting.Census describes. Voters are spread over the data centres, and one
// is moved if the loss of a data centre would leave no majority. self is this VM, which
// is never removed.
func (re *Repair) Next(now model.Instant, self model.VMID, mems quorum.Members) (quorum.Change, bool) {
	cen := re.census(now, self, mems)
	var steps []quorum.Change
	for _, can := range cen.candidates {
		steps = append(steps, can.change())
	}
	return voting.Census{
		Wanted: re.Voters, Min: re.minVoters(), Voters: cen.voters, Replaced: cen.replaced, Lost: cen.silent,
		Surplus: cen.intact, Candidates: steps, Move: re.improvesSpread(cen), Idle: cen.idle,
	}.Next()
}

// minVoters returns the number of voters below which no voter is removed: a
// majority of the wanted ones, which is one more than the disks that may be lost.
func (re *Repair) minVoters() int { return re.Voters/2 + 1 }

// improvesSpread reports whether the loss of some data centre would leave no
// majority, and the first candidate is in one with at least two voters fewer.
func (re *Repair) improvesSpread(cen census) bool {
	highest := 0
	for _, count := range cen.load {
		highest = max(highest, count)
	}
	return highest > re.Voters-re.minVoters() && len(cen.candidates) > 0 && cen.candidates[0].centre != "" && cen.candidates[0].load+2 <= highest
}

// centre returns the data centre of a VM, or "" if it is unknown.
func (re *Repair) centre(self, vm model.VMID) model.CentreID {
	if vm == self {
		return re.Centre
	}
	return re.announced[vm].Centre
}

// present reports whether a VM announced itself recently.
func (re *Repair) present(now model.Instant, vm model.VMID) bool {
	pre, ok := re.announced[vm]
	return ok && now.Sub(pre.Heard) <= announcementTTL
}

// census returns the state of the group with the members mems.
func (re *Repair) census(now model.Instant, self model.VMID, mems quorum.Members) census {
	cen := census{load: map[model.CentreID]int{}}
	for _, mem := range mems.List() {
		switch {
		case mem.Voter():
			re.addVoter(&cen, now, self, mem)
		case re.silence(now, mem.VM()) > learnerTimeout:
			cen.idle = append(cen.idle, mem.VM())
		}
	}
	re.addCandidates(&cen, now, self, mems)
	slices.SortFunc(cen.candidates, candidate.compare)
	slices.SortFunc(cen.silent, func(a, b model.VMID) int {
		return cmp.Or(cmp.Compare(re.silence(now, b), re.silence(now, a)), cmp.Compare(a, b))
	})
	slices.SortFunc(cen.intact, func(a, b model.VMID) int {
		return cmp.Or(cmp.Compare(cen.load[re.centre(self, b)], cen.load[re.centre(self, a)]), cmp.Compare(b, a))
	})
	return cen
}

// addCandidates adds the VMs that may become voters to the census. A learner whose
// promotion has failed lately is left out if there is anything else to do: another VM may
// catch up sooner.
func (re *Repair) addCandidates(cen *census, now model.Instant, self model.VMID, mems quorum.Members) {
	var failed []candidate
	for vm, pre := range re.announced {
		mem, ok := mems.Find(vm)
		if vm == self || pre.Disk == "" || mem.Voter() || !re.present(now, vm) {
			continue
		}
		can := candidate{vm: vm, learner: ok, centre: pre.Centre, load: cen.load[pre.Centre]}
		if ok && !re.retries.MayPromote(now, vm) {
			failed = append(failed, can)
			continue
		}
		cen.candidates = append(cen.candidates, can)
	}
	if len(cen.candidates) == 0 && len(cen.replaced) == 0 {
		cen.candidates = failed
	}
}

// addVoter adds a voter to the census.
func (re *Repair) addVoter(cen *census, now model.Instant, self model.VMID, mem quorum.Member) {
	vm := mem.VM()
	cen.voters++
	switch {
	case vm == self:
	case re.present(now, vm) && mem.Disk() != "" && re.announced[vm].Disk != mem.Disk():
		cen.replaced = append(cen.replaced, vm)
		return
	case re.silence(now, vm) > voterTimeout:
		cen.silent = append(cen.silent, vm)
		return
	default:
		cen.intact = append(cen.intact, vm)
	}
	if centre := re.centre(self, vm); centre != "" {
		cen.load[centre]++
	}
}

// VotersByCentre returns the number of intact voters of each data centre whose
// voters have announced themselves.
func (re *Repair) VotersByCentre(now model.Instant, self model.VMID, mems quorum.Members) map[model.CentreID]int {
	return re.census(now, self, mems).load
}
