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
	// leadingSince is when this VM became the leader and began to receive
	// announcements.
	leadingSince model.Instant
}

// Start drops earlier announcements. Call it when this VM becomes the leader.
func (re *Repair) Start(now model.Instant) { re.leadingSince, re.announced = now, nil }

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

// Next returns the next membership change, or false if none is needed. A member
// that announces another disk than the one in mems is removed at once, since
// the disk in mems is lost. A voter without announcements may only be
// partitioned, so it is removed only when a learner is present that can be
// promoted in its place. self is this VM, which is never removed.
func (re *Repair) Next(now model.Instant, self model.VMID, mems quorum.Members) (quorum.Change, bool) {
	lst := mems.List()
	if chg, ok := re.replacedDisk(now, self, lst); ok {
		return chg, true
	}
	present := re.presentVMs(now, self)
	voters := 0
	for _, mem := range lst {
		if mem.Voter() {
			voters++
		}
	}
	for _, pre := range present {
		if _, ok := mems.Find(pre.VM); !ok && (voters < re.Voters || re.lostVoter(now, self, lst) != "") {
			return quorum.NewChange(quorum.AddLearner, pre.VM), true
		}
	}
	for _, pre := range present {
		mem, ok := mems.Find(pre.VM)
		if !ok || mem.Voter() {
			continue
		}
		if voters < re.Voters {
			return quorum.NewChange(quorum.Promote, pre.VM), true
		}
		if lost := re.lostVoter(now, self, lst); lost != "" {
			return quorum.NewChange(quorum.Remove, lost), true
		}
	}
	for _, mem := range lst {
		if !mem.Voter() && re.silence(now, mem.VM()) > learnerTimeout {
			return quorum.NewChange(quorum.Remove, mem.VM()), true
		}
	}
	return quorum.Change{}, false
}

// replacedDisk returns the removal of a member that announces another disk than
// the one in lst, and false if there is none.
func (re *Repair) replacedDisk(now model.Instant, self model.VMID, lst []quorum.Member) (quorum.Change, bool) {
	for _, mem := range lst {
		pre, ok := re.announced[mem.VM()]
		if mem.VM() == self || !ok || mem.Disk() == "" || pre.Disk == mem.Disk() || now.Sub(pre.Heard) > announcementTTL {
			continue
		}
		return quorum.NewChange(quorum.Remove, mem.VM()), true
	}
	return quorum.Change{}, false
}

// presentVMs returns the other VMs that announced themselves recently, ordered
// by name.
func (re *Repair) presentVMs(now model.Instant, self model.VMID) []Presence {
	var out []Presence
	for _, pre := range re.announced {
		if pre.VM != self && now.Sub(pre.Heard) <= announcementTTL && pre.Disk != "" {
			out = append(out, pre)
		}
	}
	slices.SortFunc(out, func(a, b Presence) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// lostVoter returns the voter with the longest time without an announcement, if
// that exceeds voterTimeout, or "".
func (re *Repair) lostVoter(now model.Instant, self model.VMID, lst []quorum.Member) model.VMID {
	var lost model.VMID
	longest := voterTimeout
	for _, mem := range lst {
		if !mem.Voter() || mem.VM() == self {
			continue
		}
		if silence := re.silence(now, mem.VM()); silence > longest {
			lost, longest = mem.VM(), silence
		}
	}
	return lost
}
