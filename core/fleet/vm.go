package fleet

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// VMRole says whether a VM may count towards a quorum.
type VMRole uint8

// The roles. The zero value is a learner.
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
	Name        model.VMID
	Centre      model.CentreID
	PeerAddress string
	APIAddress  string
	// Disk reports whether the VM has a data directory.
	Disk bool
	// DiskID is the identity of the data directory, empty while not known.
	DiskID string
	Role   VMRole
}

// VM is one VM of the system.
type VM struct {
	spec VMSpec
	// by is the change that gave the VM its role.
	by Change
}

// NewVM returns a VM that no change has recorded yet.
func NewVM(spec VMSpec) VM { return VM{spec: spec} }

// RestoreVM returns a VM as recorded by a change; decoders use it.
func RestoreVM(spec VMSpec, by Change) VM { return VM{spec: spec, by: by} }

// Spec returns the description of the VM.
func (vm VM) Spec() VMSpec { return vm.spec }

// Name returns the name of the VM.
func (vm VM) Name() model.VMID { return vm.spec.Name }

// Centre returns the data centre of the VM.
func (vm VM) Centre() model.CentreID { return vm.spec.Centre }

// Role returns the role of the VM.
func (vm VM) Role() VMRole { return vm.spec.Role }

// By returns the change that gave the VM its role.
func (vm VM) By() Change { return vm.by }

func (vm VM) valid() bool {
	sp := vm.spec
	return model.ValidName(string(sp.Name)) && model.ValidName(string(sp.Centre)) &&
		sp.PeerAddress != "" && len(sp.PeerAddress) <= maxIDLength &&
		sp.APIAddress != "" && len(sp.APIAddress) <= maxIDLength &&
		len(sp.DiskID) <= maxIDLength && (sp.Disk || sp.DiskID == "")
}

// bySeniority orders VMs by the change that gave them their role, so that a
// newly promoted VM never displaces a voter of a group.
func bySeniority(va, vb VM) int {
	return cmp.Or(cmp.Compare(va.by.number, vb.by.number), cmp.Compare(va.spec.Name, vb.spec.Name))
}

// maxFleetVoters bounds the voters of the fleet group. Seven survive the loss
// of three, and the heartbeats of the leader do not grow with the number of data
// centres beyond that.
const maxFleetVoters = 7

// FleetVoters returns the voters of the fleet group: the most senior voter of
// each data centre, of at most seven of them.
func (st *State) FleetVoters() []VM {
	seen := map[model.CentreID]bool{}
	var out []VM
	for _, vm := range st.voters() {
		if !seen[vm.Centre()] && len(out) < maxFleetVoters {
			seen[vm.Centre()] = true
			out = append(out, vm)
		}
	}
	return out
}

// maxCentreVoters bounds the voters of a data centre group.
const maxCentreVoters = 3

// CentreVoters returns the voters of the group of a data centre: its own, three
// at most. With two, the most senior voter of the next data centre that has
// one is the third.
func (st *State) CentreVoters(centre model.CentreID) []VM {
	var own []VM
	vos := st.voters()
	for _, vm := range vos {
		if vm.Centre() == centre && len(own) < maxCentreVoters {
			own = append(own, vm)
		}
	}
	if len(own) != 2 {
		return own
	}
	var next VM
	for _, vm := range vos {
		if vm.Centre() != centre && (next.Name() == "" || follows(centre, vm.Centre(), next.Centre())) {
			next = vm
		}
	}
	if next.Name() != "" {
		own = append(own, next)
	}
	return own
}

// follows reports whether data centre ca comes before cb in the cyclic order
// of names that starts after centre.
func follows(centre, ca, cb model.CentreID) bool {
	if (ca > centre) != (cb > centre) {
		return ca > centre
	}
	return ca < cb
}

func (st *State) voters() []VM {
	var out []VM
	for _, vm := range st.vms {
		if vm.Role() == Voter {
			out = append(out, vm)
		}
	}
	slices.SortFunc(out, bySeniority)
	return out
}
