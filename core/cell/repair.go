package cell

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

const (
	// lostAfter is the silence after which a voter may give its place to a
	// VM that waits for one.
	lostAfter = 1500 * time.Millisecond
	// freshFor is the age of an announcement up to which its VM counts as
	// present.
	freshFor = 1200 * time.Millisecond
	// pruneAfter is the silence after which a learner is removed.
	pruneAfter = 10 * time.Second
)

// Presence is what the leader knows of a VM with a disk.
type Presence struct {
	VM   model.VMID
	Disk quorum.DiskID
	// Heard is when the VM announced itself last.
	Heard model.Instant
}

// Repair keeps the voters of a cell at the wanted number. VMs come, go and lose
// their disks without an operator's command.
type Repair struct {
	// Voters is the wanted number of voters.
	Voters int
	seen   map[model.VMID]Presence
	// since is when the leader began to listen.
	since model.Instant
}

// Start forgets what was heard before; the leader calls it when it takes over.
func (re *Repair) Start(now model.Instant) { re.since, re.seen = now, nil }

// Announce takes note of a VM.
func (re *Repair) Announce(pre Presence) {
	if re.seen == nil {
		re.seen = map[model.VMID]Presence{}
	}
	re.seen[pre.VM] = pre
}

// silence returns how long a VM has not announced itself.
func (re *Repair) silence(now model.Instant, vm model.VMID) time.Duration {
	pre, ok := re.seen[vm]
	if !ok || pre.Heard.Before(re.since) {
		return now.Sub(re.since)
	}
	return now.Sub(pre.Heard)
}

// Next returns the next membership change, or false. A VM whose disk is not
// the one that may vote is removed at once, since the old disk is gone; a
// silent voter is removed only when a replacement is present, because it may
// only be cut off.
func (re *Repair) Next(now model.Instant, self model.VMID, mems quorum.Members) (quorum.Change, bool) {
	lst := mems.List()
	if chg, ok := re.foreignDisk(now, self, lst); ok {
		return chg, true
	}
	present := re.present(now, self)
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
		if !mem.Voter() && re.silence(now, mem.VM()) > pruneAfter {
			return quorum.NewChange(quorum.Remove, mem.VM()), true
		}
	}
	return quorum.Change{}, false
}

// foreignDisk removes a member that announces another disk.
func (re *Repair) foreignDisk(now model.Instant, self model.VMID, lst []quorum.Member) (quorum.Change, bool) {
	for _, mem := range lst {
		pre, ok := re.seen[mem.VM()]
		if mem.VM() == self || !ok || mem.Disk() == "" || pre.Disk == mem.Disk() || now.Sub(pre.Heard) > freshFor {
			continue
		}
		return quorum.NewChange(quorum.Remove, mem.VM()), true
	}
	return quorum.Change{}, false
}

// present lists the VMs that announced themselves, in the order of their
// names.
func (re *Repair) present(now model.Instant, self model.VMID) []Presence {
	var out []Presence
	for _, pre := range re.seen {
		if pre.VM != self && now.Sub(pre.Heard) <= freshFor && pre.Disk != "" {
			out = append(out, pre)
		}
	}
	slices.SortFunc(out, func(a, b Presence) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// lostVoter returns the voter that has been silent for longest, or "".
func (re *Repair) lostVoter(now model.Instant, self model.VMID, lst []quorum.Member) model.VMID {
	var out model.VMID
	most := lostAfter
	for _, mem := range lst {
		if !mem.Voter() || mem.VM() == self {
			continue
		}
		if quiet := re.silence(now, mem.VM()); quiet > most {
			out, most = mem.VM(), quiet
		}
	}
	return out
}
