package quorum

import (
	"cmp"
	"slices"
	"strings"

	"guavarail/core/model"
)

// Member is one VM of a group.
type Member struct {
	vm    model.VMID
	disk  DiskID
	voter bool
}

// NewMember returns a member. disk is empty if it is unknown.
func NewMember(vm model.VMID, disk DiskID, voter bool) Member {
	return Member{vm: vm, disk: disk, voter: voter}
}

// VM returns the VM of the member.
func (mem Member) VM() model.VMID { return mem.vm }

// Disk returns the disk with which the VM may vote, or "" if it is unknown, as for
// a learner or before the bootstrap.
func (mem Member) Disk() DiskID { return mem.disk }

// Voter reports whether the member counts towards the quorum.
func (mem Member) Voter() bool { return mem.voter }

// Members is the configuration of a group. It is immutable.
type Members struct {
	// list is sorted by VM and holds each VM once.
	list []Member
	// bootstrap marks the first configuration that contains the disks of the
	// voters.
	bootstrap bool
}

// NewMembers returns the configuration with the given members. Of several members
// with the same VM, only one is used. bootstrap marks the first configuration that
// contains the disks of the voters.
func NewMembers(bootstrap bool, mems ...Member) Members {
	lst := slices.Clone(mems)
	slices.SortFunc(lst, func(a, b Member) int { return cmp.Compare(a.vm, b.vm) })
	lst = slices.CompactFunc(lst, func(a, b Member) bool { return a.vm == b.vm })
	return Members{list: lst, bootstrap: bootstrap}
}

// initialMembers returns the configuration of a group without a log. No disks
// are known.
func initialMembers(voters, learners []model.VMID) Members {
	var lst []Member
	for _, vm := range voters {
		lst = append(lst, NewMember(vm, "", true))
	}
	for _, vm := range learners {
		if !slices.Contains(voters, vm) {
			lst = append(lst, NewMember(vm, "", false))
		}
	}
	return NewMembers(false, lst...)
}

// List returns a copy of the members, sorted by VM.
func (mems Members) List() []Member { return slices.Clone(mems.list) }

// Bootstrap reports whether this is the first configuration that contains the
// disks of the voters. Its quorum is all voters.
func (mems Members) Bootstrap() bool { return mems.bootstrap }

// Find returns the member with the given VM.
func (mems Members) Find(vm model.VMID) (Member, bool) {
	for _, mem := range mems.list {
		if mem.vm == vm {
			return mem, true
		}
	}
	return Member{}, false
}

// String returns the members in the form that events use, such as
// "a=voter,b=learner".
func (mems Members) String() string {
	var out []string
	for _, mem := range mems.list {
		kind := "learner"
		if mem.voter {
			kind = "voter"
		}
		out = append(out, string(mem.vm)+"="+kind)
	}
	return strings.Join(out, ",")
}

// with returns the configuration with mem added or replaced, without the bootstrap
// flag.
func (mems Members) with(mem Member) Members {
	return NewMembers(false, append(mems.without(mem.vm).list, mem)...)
}

// without returns the configuration without vm and without the bootstrap flag.
func (mems Members) without(vm model.VMID) Members {
	return NewMembers(false, slices.DeleteFunc(mems.List(), func(mem Member) bool { return mem.vm == vm })...)
}

// isVoter reports whether vm may vote with this disk. A voter whose disk is
// unknown may vote with any.
func (mems Members) isVoter(vm model.VMID, disk DiskID) bool {
	mem, ok := mems.Find(vm)
	return ok && mem.voter && (mem.disk == "" || mem.disk == disk)
}

func (mems Members) voters() []Member {
	var lst []Member
	for _, mem := range mems.list {
		if mem.voter {
			lst = append(lst, mem)
		}
	}
	return lst
}

// Voters returns the number of voters.
func (mems Members) Voters() int { return len(mems.voters()) }

// quorum returns the number of voters that must agree in an election. During
// bootstrap it is the number of all voters, until each of them has stored the
// configuration that names their disks. Before that, an emptied disk cannot be
// distinguished from a new one.
func (mems Members) quorum() int {
	if !mems.disksKnown() || mems.bootstrap {
		return mems.Voters()
	}
	return majority(mems.Voters())
}

// CommitCopies returns the number of voters' disks that must have an entry before
// it is committed, if Config.MinCopies is minCopies. It is at least the quorum, so
// that each elected leader has every committed entry.
func (mems Members) CommitCopies(minCopies int) int {
	return max(mems.quorum(), min(minCopies, mems.Voters()))
}

// disksKnown reports whether the configuration contains the disk of every voter.
func (mems Members) disksKnown() bool {
	return !slices.ContainsFunc(mems.list, func(mem Member) bool { return mem.voter && mem.disk == "" })
}

// isSoleVoter reports whether vm is the only voter of the group.
func (mems Members) isSoleVoter(vm model.VMID) bool {
	lst := mems.voters()
	return len(lst) == 1 && lst[0].vm == vm
}

// quorumValue returns the highest value that at least need of vals are greater
// than or equal to. It returns zero if need is not between 1 and len(vals).
func quorumValue[T cmp.Ordered](vals []T, need int) T {
	if need <= 0 || need > len(vals) {
		var zero T
		return zero
	}
	srt := slices.Sorted(slices.Values(vals))
	return srt[len(srt)-need]
}

// majority returns the number of voters in a majority of count.
func majority(count int) int { return count/2 + 1 }

// ChangeKind is the type of a membership change.
type ChangeKind uint8

// The kinds of changes.
const (
	// AddLearner adds a VM that receives the log but does not vote.
	AddLearner ChangeKind = iota
	// Promote makes a learner a voter once it has all committed entries on
	// disk.
	Promote
	// Remove removes a VM from the group.
	Remove
)

// Change is one membership change.
type Change struct {
	kind ChangeKind
	vm   model.VMID
}

// NewChange returns a change that concerns vm.
func NewChange(kind ChangeKind, vm model.VMID) Change { return Change{kind: kind, vm: vm} }

// Kind returns the type of the change.
func (chg Change) Kind() ChangeKind { return chg.kind }

// VM returns the VM to add, promote or remove.
func (chg Change) VM() model.VMID { return chg.vm }
