package fleet

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// VMRole is the role of a VM in the replication groups: the fleet group and one for
// each data centre. Only VMs with the role Voter can vote in a group; each group
// selects some of them, see FleetVoters and CentreVoters.
type VMRole uint8

// The roles. The zero value is Learner.
const (
	Learner VMRole = iota
	Voter
)

// String returns the name used in the API.
func (ro VMRole) String() string {
	if ro == Voter {
		return "voter"
	}
	return "learner"
}

// VMSpec describes a VM.
type VMSpec struct {
	Name   model.VMID
	Centre model.CentreID
	// PeerAddress and APIAddress are the addresses (host:port) at which other VMs
	// and users of the API reach the VM.
	PeerAddress string
	APIAddress  string
	// Disk reports whether the VM has a data directory.
	Disk bool
	// DiskID identifies the data directory; empty until the VM has reported it.
	DiskID string
	Role   VMRole
}

// VM is one VM of the system.
type VM struct {
	spec VMSpec
	// changedBy is the change that gave the VM its current role.
	changedBy Change
}

// NewVM returns a VM for a command that adds it; its ChangedBy is the zero change.
func NewVM(spec VMSpec) VM { return VM{spec: spec} }

// RestoreVM returns a VM of stored state; decoders use it.
func RestoreVM(spec VMSpec, changedBy Change) VM { return VM{spec: spec, changedBy: changedBy} }

// Spec returns the description of the VM.
func (vm VM) Spec() VMSpec { return vm.spec }

// Name returns the name of the VM.
func (vm VM) Name() model.VMID { return vm.spec.Name }

// Centre returns the data centre of the VM.
func (vm VM) Centre() model.CentreID { return vm.spec.Centre }

// Role returns the role of the VM.
func (vm VM) Role() VMRole { return vm.spec.Role }

// ChangedBy returns the change that gave the VM its current role.
func (vm VM) ChangedBy() Change { return vm.changedBy }

// valid reports whether names and addresses are set and all parts are within their
// limits. Only a VM with a disk may have a disk identifier.
func (vm VM) valid() bool {
	sp := vm.spec
	return model.ValidName(string(sp.Name)) && model.ValidName(string(sp.Centre)) &&
		sp.PeerAddress != "" && len(sp.PeerAddress) <= maxIDLength &&
		sp.APIAddress != "" && len(sp.APIAddress) <= maxIDLength &&
		len(sp.DiskID) <= maxIDLength && (sp.Disk || sp.DiskID == "")
}

// bySeniority orders VMs by the number of the change that gave them their role, the
// most senior (lowest number) first, and by name if the numbers are equal. Groups
// select VMs in this order, so that a newly promoted VM displaces none that is
// selected already, except one that CentreVoters borrows.
func bySeniority(va, vb VM) int {
	return cmp.Or(cmp.Compare(va.changedBy.number, vb.changedBy.number), cmp.Compare(va.spec.Name, vb.spec.Name))
}

// maxFleetVoters limits the VMs that vote in the fleet group. Seven tolerate the
// loss of three, and the limit keeps the heartbeats of the leader from growing
// with the number of data centres.
const maxFleetVoters = 7

// FleetVoters returns the VMs selected to vote in the fleet group: of each data
// centre the most senior VM with the role Voter, and of these the seven most
// senior.
func (st *State) FleetVoters() []VM { return selectFleetVoters(st.vmsWithVoterRole()) }

// FleetSize returns the number of voters that the fleet group has once all VMs with a
// disk have the role Voter.
func (st *State) FleetSize() int { return len(selectFleetVoters(st.vmsWithDisk())) }

// selectFleetVoters returns the voters of the fleet group among the given VMs.
func selectFleetVoters(vms []VM) []VM {
	seen := map[model.CentreID]bool{}
	var out []VM
	for _, vm := range vms {
		if !seen[vm.Centre()] && len(out) < maxFleetVoters {
			seen[vm.Centre()] = true
			out = append(out, vm)
		}
	}
	return out
}

// maxCentreVoters limits the VMs that vote in the replication group of a data
// centre.
const maxCentreVoters = 3

// CentreVoters returns the VMs selected to vote in the replication group of a data
// centre: the VMs in it with the role Voter, most senior first, at most three. If
// there are exactly two, a third is borrowed: the most senior VM with the role Voter
// of the next data centre in cyclic order of names that has one.
func (st *State) CentreVoters(centre model.CentreID) []VM {
	return selectCentreVoters(centre, st.vmsWithVoterRole())
}

// CentreSize returns the number of voters that the group of a data centre has once all
// VMs with a disk have the role Voter.
func (st *State) CentreSize(centre model.CentreID) int {
	return len(selectCentreVoters(centre, st.vmsWithDisk()))
}

// selectCentreVoters returns the voters of the group of a data centre among all given
// VMs.
func selectCentreVoters(centre model.CentreID, all []VM) []VM {
	var own []VM
	for _, vm := range all {
		if vm.Centre() == centre && len(own) < maxCentreVoters {
			own = append(own, vm)
		}
	}
	if len(own) != 2 {
		return own
	}
	var borrowed VM
	for _, vm := range all {
		if vm.Centre() != centre && (borrowed.Name() == "" || cyclicLess(centre, vm.Centre(), borrowed.Centre())) {
			borrowed = vm
		}
	}
	if borrowed.Name() != "" {
		own = append(own, borrowed)
	}
	return own
}

// cyclicLess reports whether data centre ca comes before cb in the cyclic order
// of names that starts after centre.
func cyclicLess(centre, ca, cb model.CentreID) bool {
	if (ca > centre) != (cb > centre) {
		return ca > centre
	}
	return ca < cb
}

// vmsWithVoterRole returns the VMs with the role Voter, most senior first.
func (st *State) vmsWithVoterRole() []VM {
	return st.vmsBySeniority(func(vm VM) bool { return vm.Role() == Voter })
}

// vmsWithDisk returns the VMs with a disk, most senior first.
func (st *State) vmsWithDisk() []VM {
	return st.vmsBySeniority(func(vm VM) bool { return vm.spec.Disk })
}

// vmsBySeniority returns the VMs for which match is true, most senior first.
func (st *State) vmsBySeniority(match func(vm VM) bool) []VM {
	var out []VM
	for _, vm := range st.vms {
		if match(vm) {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, bySeniority)
	return out
}
