package cell

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// Guards against an acknowledged entry that is lost, and a cell without a leader, if
// the disks that have the entry are lost right after its acknowledgement, at any step
// of the replacement of voters, while all other VMs lose power, learners and VMs
// that are no members included.
func TestLossAtEachStepOfAReplacement(t *testing.T) {
	const steps = 9
	for seed := uint64(3); seed < 3+lossRuns()/4; seed++ {
		for step := range steps {
			losses := 1 + int(seed%2)
			s := newCellSim(seed+2000, losses, 2*losses+1+int(seed/2%4))
			s.propose(5 * time.Second)
			for _, pos := range s.rnd.Perm(len(s.vms))[:1+s.rnd.IntN(losses)] {
				s.loseForAWhile(s.vms[pos])
			}
			for before, end := s.changes, s.now+8*time.Second; s.changes < before+step && s.now < end; {
				s.propose(10 * time.Millisecond)
			}
			if s.rnd.IntN(2) == 0 {
				s.propose(s.upTo(catchUpTime))
			}
			s.run(s.upTo(20 * time.Millisecond))
			s.loseHolders()
			if len(s.errs) > 0 {
				t.Errorf("seed %d, step %d, losses %d: %s\n%s", seed, step, losses, s.errs[0], s.describe())
			}
		}
	}
}

// loseForAWhile lets a VM lose its disk. In a third of the cases it stays dark for up
// to eight seconds.
func (s *cellSim) loseForAWhile(vm *simVM) {
	s.wipe(vm)
	s.restartLater(vm)
	if s.rnd.IntN(3) == 0 {
		s.setDark(vm, true)
		s.after(s.upTo(8*time.Second), func() { s.setDark(vm, false) })
	}
}

// loseHolders awaits an acknowledgement and lets as many VMs lose their disks as
// allowed, first voters that have the entry. All others lose power. It then checks
// that a leader is elected and has every acknowledged entry.
func (s *cellSim) loseHolders() {
	for count := len(s.acked); len(s.acked) == count && s.awaitLeader(20*time.Second) != nil; {
		s.propose(5 * time.Millisecond)
	}
	last := slices.Max(slices.Collect(maps.Keys(s.acked)))
	holds := func(vm *simVM) bool { return vm.disk.holds(last, s.acked[last]) && !s.isSpare(vm) }
	order := slices.Clone(s.vms)
	s.rnd.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	holders := slices.DeleteFunc(slices.Clone(order), func(vm *simVM) bool { return !holds(vm) })
	for _, vm := range append(holders, order...) {
		if !vm.wiped && s.lost() < s.losses {
			s.wipe(vm)
		}
	}
	s.calm()
	for _, vm := range s.vms {
		s.restartLater(vm)
	}
	s.run(2 * time.Second)
	ldr := s.awaitLeader(30 * time.Second)
	if ldr == nil {
		s.fail("no leader 30 s after the loss")
		return
	}
	for idx, term := range s.acked {
		if idx > uint64(len(ldr.applied)) || ldr.applied[idx-1].Term() != term {
			s.fail("acknowledged entry %d is not in the state of the leader %s", idx, ldr.id)
			return
		}
	}
}
