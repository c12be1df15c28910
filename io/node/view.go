package node

import (
	"guavarail/core/fleet"
	"guavarail/core/model"
)

// view is a copy of the parts of the fleet state that a VM acts on. It is
// never changed after it was made.
type view struct {
	number  uint64
	preset  model.Preset
	centres []fleet.Centre
	vms     []fleet.VM
}

// newView copies the state.
func newView(sta *fleet.State) *view {
	return &view{
		number: sta.Number(), preset: sta.Active().Preset(), centres: sta.Centres(), vms: sta.VMs(),
	}
}

// out reports whether a data centre is out of service.
func (vi *view) out(name model.CentreID) bool {
	for _, cen := range vi.centres {
		if cen.Name() == name {
			return cen.Out()
		}
	}
	return false
}

// names returns the data centres.
func (vi *view) names() []model.CentreID {
	out := make([]model.CentreID, 0, len(vi.centres))
	for _, cen := range vi.centres {
		out = append(out, cen.Name())
	}
	return out
}

// members returns the VMs of a data centre.
func (vi *view) members(name model.CentreID) []model.VMID {
	var out []model.VMID
	for _, vmi := range vi.vms {
		if vmi.Centre() == name {
			out = append(out, vmi.Name())
		}
	}
	return out
}

// centreOf returns the data centre of a VM.
func (vi *view) centreOf(name model.VMID) model.CentreID {
	for _, vmi := range vi.vms {
		if vmi.Name() == name {
			return vmi.Centre()
		}
	}
	return ""
}
