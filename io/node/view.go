package node

import (
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/repair"
)

// view is a copy of the parts of the fleet state that a VM acts on. It is
// immutable.
type view struct {
	// number is the configuration number, 1 after the bootstrap command.
	number uint64
	// preset is the active preset.
	preset  model.Preset
	centres []fleet.Centre
	vms     []fleet.VM
	// fleetGoal and ownCentreGoal are the members that the fleet state specifies
	// for the fleet group and for the group of this VM's data centre.
	fleetGoal     repair.Goal
	ownCentreGoal repair.Goal
}

// newView returns a view of sta for a VM of the data centre own.
func newView(sta *fleet.State, own model.CentreID) *view {
	return &view{
		number: sta.Number(), preset: sta.ActivePreset().Preset(), centres: sta.Centres(), vms: sta.VMs(),
		fleetGoal: repair.FleetGoal(sta), ownCentreGoal: repair.CentreGoal(sta, own),
	}
}

// otherVMs returns every VM except self.
func (vi *view) otherVMs(self model.VMID) []model.VMID {
	var out []model.VMID
	for _, vmi := range vi.vms {
		if vmi.Name() != self {
			out = append(out, vmi.Name())
		}
	}
	return out
}

// peerAddresses returns the address on which each VM listens for other VMs.
func (vi *view) peerAddresses() map[model.VMID]string {
	out := map[model.VMID]string{}
	for _, vmi := range vi.vms {
		out[vmi.Name()] = vmi.Spec().PeerAddress
	}
	return out
}

// outOfService reports whether a data centre is out of service. It is false for an
// unknown data centre.
func (vi *view) outOfService(name model.CentreID) bool {
	for _, cen := range vi.centres {
		if cen.Name() == name {
			return cen.Out()
		}
	}
	return false
}

// centreNames returns the names of the data centres.
func (vi *view) centreNames() []model.CentreID {
	out := make([]model.CentreID, 0, len(vi.centres))
	for _, cen := range vi.centres {
		out = append(out, cen.Name())
	}
	return out
}

// centreVMs returns the VMs of a data centre.
func (vi *view) centreVMs(name model.CentreID) []model.VMID {
	var out []model.VMID
	for _, vmi := range vi.vms {
		if vmi.Centre() == name {
			out = append(out, vmi.Name())
		}
	}
	return out
}

// centreOf returns the data centre of a VM, or "" if the VM is unknown.
func (vi *view) centreOf(name model.VMID) model.CentreID {
	for _, vmi := range vi.vms {
		if vmi.Name() == name {
			return vmi.Centre()
		}
	}
	return ""
}
