package flow

import (
	"time"
)

// elect makes a VM the leader. The lease of the previous leader must be over.
func (sim *simulation) elect(vm *vmSim) {
	sim.applyLog(vm, len(sim.log))
	sim.term++
	vm.leading, vm.term, vm.leaseUntil, sim.leader = true, sim.term, sim.now.Add(simLeaderLease), vm
	sim.step(vm, BecameLeader{Term: sim.term, PreviousTerm: sim.term - 1, FormerLeaseEnd: sim.formerLeaseEnd, LeaseUntil: vm.leaseUntil, Wall: sim.wall()})
}

// failOver makes the leader fail and elects a VM, possibly the same, after a
// time. The current proposal of the failed leader may be lost.
func (sim *simulation) failOver(gap time.Duration) {
	former := sim.leader
	former.leading = false
	sim.leader = nil
	sim.formerLeaseEnd = sim.now.Add(simLeaderLease)
	next := sim.vms[sim.rng.IntN(len(sim.vms))]
	sim.at(sim.now.Add(gap), func() {
		sim.step(former, SteppedDown{})
		if sim.lag.IntN(2) == 0 {
			sim.restart(former)
		}
		sim.elect(next)
	})
}

// restart restarts a VM that does not lead. It continues from a snapshot.
func (sim *simulation) restart(vm *vmSim) {
	snap := vm.st.Snapshot()
	vm.st = State{}
	vm.st.Restore(snap)
	for i := vm.applied - 1; i >= 0 && vm.st.terms == nil; i-- {
		vm.st.SetTerms(sim.terms[i])
	}
	vm.pl = NewPlanner(&vm.st, vm.pl.config)
	sim.step(vm, Outage{Centres: sim.outage})
}

// replicate lets a VM that does not lead apply the log after a delay, which is seldom
// long.
func (sim *simulation) replicate(vm *vmSim) {
	if sim.lag.IntN(500) == 0 {
		vm.lagsUntil = sim.now.Add(time.Duration(sim.lag.Int64N(int64(5 * time.Second))))
	}
	end := len(sim.log)
	at := max(vm.lagsUntil, sim.now.Add(time.Duration(sim.lag.Int64N(int64(200*time.Millisecond)))))
	sim.at(at, func() { sim.applyLog(vm, end) })
}

// applyLog applies the log entries up to end that a VM has not applied yet.
func (sim *simulation) applyLog(vm *vmSim, end int) {
	for vm.applied < end {
		ops := sim.log[vm.applied]
		if terms, ok := sim.terms[vm.applied]; ok {
			vm.st.SetTerms(terms)
		}
		vm.applied++
		for _, op := range ops {
			verdict := vm.st.Apply(op)
			if sim.applied != nil {
				sim.applied(vm, op, verdict)
			}
			sim.step(vm, Applied{Op: op, Verdict: verdict})
		}
	}
}

func (sim *simulation) commit(ops []Op) {
	sim.log = append(sim.log, ops)
	for _, vm := range sim.vms {
		if vm.leading {
			sim.applyLog(vm, len(sim.log))
			continue
		}
		sim.replicate(vm)
	}
}

// propose commits operations after a delay.
func (sim *simulation) propose(vm *vmSim, ops []Op) {
	term := vm.term
	at := max(sim.lastCommit, sim.now.Add(sim.between(sim.minCommit, sim.maxCommit)))
	unknown := sim.unknownShare > 0 && sim.rng.Float64() < sim.unknownShare
	if unknown {
		sim.at(at, func() { sim.step(vm, ProposalEnded{Term: term}) })
		if sim.rng.IntN(2) == 0 {
			return
		}
		at = at.Add(sim.between(0, 2*time.Second))
	}
	sim.lastCommit = at
	sim.at(at, func() {
		// A failed leader may have replicated its last proposal: until there is
		// another leader, half of these are committed.
		committed := vm.leading && vm.term == term
		if !committed && sim.leader == nil && sim.term == term && sim.rng.IntN(2) == 0 {
			sim.log = append(sim.log, ops)
			return
		}
		if !committed {
			return
		}
		sim.commit(ops)
		if !unknown {
			sim.step(vm, ProposalEnded{Term: term, Applied: true})
		}
	})
}
