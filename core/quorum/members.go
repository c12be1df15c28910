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

// NewMember returns a member. The disk is empty while it is not known.
func NewMember(vm model.VMID, disk DiskID, voter bool) Member {
	return Member{vm: vm, disk: disk, voter: voter}
}

// VM returns the VM of the member.
func (mem Member) VM() model.VMID { return mem.vm }

// Disk returns the identity of the data directory that may vote.
func (mem Member) Disk() DiskID { return mem.disk }

// Voter reports whether the member counts towards the quorum.
func (mem Member) Voter() bool { return mem.voter }

// Members is the configuration of a group.
type Members struct {
	// list is sorted by VM, holds each VM once and is never changed.
	list []Member
	// founding marks the first configuration that names disks.
	founding bool
}

// NewMembers returns the configuration with the given members.
func NewMembers(founding bool, mems ...Member) Members {
	lst := slices.Clone(mems)
	slices.SortFunc(lst, func(a, b Member) int { return cmp.Compare(a.vm, b.vm) })
	lst = slices.CompactFunc(lst, func(a, b Member) bool { return a.vm == b.vm })
	return Members{list: lst, founding: founding}
}

// initialMembers returns the configuration of a group that has no log yet.
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

// Founding reports whether this is the first configuration that names disks.
func (mems Members) Founding() bool { return mems.founding }

// Find returns the member on vm.
func (mems Members) Find(vm model.VMID) (Member, bool) {
	for _, mem := range mems.list {
		if mem.vm == vm {
			return mem, true
		}
	}
	return Member{}, false
}

// String lists the members for events, such as "a=voter,b=learner".
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

// with returns the configuration with mem added or replaced.
func (mems Members) with(mem Member) Members {
	return NewMembers(false, append(mems.without(mem.vm).list, mem)...)
}

// without returns the configuration without vm.
func (mems Members) without(vm model.VMID) Members {
	return NewMembers(false, slices.DeleteFunc(mems.List(), func(mem Member) bool { return mem.vm == vm })...)
}

// isVoter reports whether vm votes with this disk. A voter whose disk is not
// known yet votes with any.
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

// bound reports whether the disk of every voter is known.
func (mems Members) bound() bool {
	return !slices.ContainsFunc(mems.list, func(mem Member) bool { return mem.voter && mem.disk == "" })
}

// only reports whether vm is the only voter.
func (mems Members) only(vm model.VMID) bool {
	lst := mems.voters()
	return len(lst) == 1 && lst[0].vm == vm
}

// agreed returns the highest value that at least need of vals reach.
func agreed[T cmp.Ordered](vals []T, need int) T {
	if need <= 0 || need > len(vals) {
		var zero T
		return zero
	}
	srt := slices.Sorted(slices.Values(vals))
	return srt[len(srt)-need]
}

// majority returns the smallest quorum of count voters.
func majority(count int) int { return count/2 + 1 }

// ChangeKind is a type of membership change.
type ChangeKind uint8

// The kinds of changes.
const (
	// AddLearner adds a VM that receives the log and does not vote.
	AddLearner ChangeKind = iota
	// Promote makes a learner a voter once it has the whole accepted log on
	// disk.
	Promote
	// Remove takes a VM out of the group.
	Remove
)

// Change is one membership change.
type Change struct {
	kind ChangeKind
	vm   model.VMID
}

// NewChange returns a change of the member on vm.
func NewChange(kind ChangeKind, vm model.VMID) Change { return Change{kind: kind, vm: vm} }

// Kind returns the type of the change.
func (chg Change) Kind() ChangeKind { return chg.kind }

// VM returns the VM that the change is about.
func (chg Change) VM() model.VMID { return chg.vm }
