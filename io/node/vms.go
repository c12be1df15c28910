package node

import (
	"hash/fnv"
	"slices"

	"guavarail/core/model"
)

// seedOf returns a seed for pseudo-random numbers: a hash of the VM's name, so that
// VMs have different seeds.
func seedOf(name model.VMID) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// centrePeers returns the other VMs of this VM's data centre, or nil before the
// first fleet state.
func (nod *Node) centrePeers() []model.VMID {
	vie := nod.view.Load()
	if vie == nil {
		return nil
	}
	return slices.DeleteFunc(vie.centreVMs(nod.centre), func(vmi model.VMID) bool { return vmi == nod.self })
}

// selfFirst moves this VM to the front of vms, if it is one of them, since a
// request to it needs no message. It changes vms and returns it.
func (nod *Node) selfFirst(vms []model.VMID) []model.VMID {
	if pos := slices.Index(vms, nod.self); pos > 0 {
		vms[0], vms[pos] = vms[pos], vms[0]
	}
	return vms
}

// callerAddress returns the address on which a VM accepts requests of callers, or
// false if the settings have none.
func (nod *Node) callerAddress(name model.VMID) (string, bool) {
	for _, vmi := range nod.settings.VMs() {
		if vmi.Name() != name {
			continue
		}
		if adr, ok := vmi.Callers(); ok {
			return adr.String(), true
		}
	}
	return "", false
}
