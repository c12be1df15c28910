package slots

import (
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against slots of a VM that is gone which no other VM gets as long as the
// leader changes more often than the VM's requests may last.
func TestLeaderChangesKeepNoSlotsOfAVMThatIsGone(t *testing.T) {
	const interval = 20 * time.Second
	bound := model.WithDrift(Lease+simMaxRequestTime) + interval
	si := newSim()
	si.runWithoutFaults(time.Minute)
	si.partitioned = 2
	for _, vm := range si.vms {
		vm.wanted[simWorkers[0]] = simSlots
	}
	gone := si.now
	most := 0
	for most < simSlots && si.now.Sub(gone) < 4*bound {
		for end := si.now.Add(interval - time.Second); si.now.Before(end) && most < simSlots; {
			si.runWithoutFaults(500 * time.Millisecond)
			// What is sent by or to a VM that is gone is lost.
			si.inTransit = slices.DeleteFunc(si.inTransit, func(msg Input) bool { return vmOf(msg) == si.vms[2].name })
			most = max(most, si.vms[0].holder.Held(simWorkers[0])+si.vms[1].holder.Held(simWorkers[0]))
		}
		si.advance(time.Second)
		si.elect(1 - si.leader)
	}
	if took := si.now.Sub(gone); took > bound {
		t.Errorf("the other VMs have at most %d of %d slots for %v, want all within %v", most, simSlots, took, bound)
	}
}
