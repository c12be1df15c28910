package node

import (
	"hash/fnv"
	"slices"

	"guavarail/core/model"
)

// seedOf makes the random choices of the VMs differ.
func seedOf(name model.VMID) uint64 {
	has := fnv.New64a()
	_, _ = has.Write([]byte(name))
	return has.Sum64()
}

// colleagues returns the other VMs of the data centre.
func (nod *Node) colleagues() []model.VMID {
	vie := nod.view.Load()
	if vie == nil {
		return nil
	}
	return slices.DeleteFunc(vie.members(nod.centre), func(vmi model.VMID) bool { return vmi == nod.self })
}

// nearestFirst puts this VM first, since asking it costs no message.
func (nod *Node) nearestFirst(vms []model.VMID) []model.VMID {
	if pos := slices.Index(vms, nod.self); pos > 0 {
		vms[0], vms[pos] = vms[pos], vms[0]
	}
	return vms
}

// callerAddress returns where a VM takes the requests of callers.
func (nod *Node) callerAddress(name model.VMID) (string, bool) {
	for _, vmi := range nod.set.VMs() {
		if vmi.Name() != name {
			continue
		}
		if adr, ok := vmi.Callers(); ok {
			return adr.String(), true
		}
	}
	return "", false
}
