package sched

import (
	"slices"
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/place"
)

const (
	simStep     = 50 * time.Millisecond
	leaderLease = 800 * time.Millisecond
)

// replica is one VM of the data centre's group.
type replica struct {
	state   State
	planner *Planner[place.BestFit]
	// applied is the number of log entries applied to state.
	applied    int
	leaseUntil model.Instant
	// actsAsLeader: the VM is the leader, or is not aware that another VM is.
	actsAsLeader bool
}

// message is a report or an answer in transit between a worker and a VM.
type message struct {
	arrivesAt model.Instant
	worker    *fakeWorker
	// incarnation is that of the worker when it sent the report.
	incarnation int
	to          *replica
	report      ReportSpec
	answer      *Answer
	// sentAt is when the report was sent, arrivesAt when this message arrives.
	sentAt model.Instant
}

// simulation is one data centre with a log, two VMs and small workers. It is
// deterministic; faults occur only when a test sets them.
type simulation struct {
	now      model.Instant
	log      []Command
	vms      []*replica
	leader   *replica
	workers  []*fakeWorker
	messages []message
	// polls has the message of each report by its ReportSpec.Poll, lastPoll the
	// last such value.
	polls    map[uint64]message
	lastPoll uint64
	// proposed are commands that are not committed yet.
	proposed []Command
	preset   model.Preset
	// out: the data centre is out of service since outAt. The ticks report it
	// 400 ms later.
	out   bool
	outAt model.Instant
	// startUntil is the end of the permit to start tasks; nextRenewal is when
	// it is renewed next.
	startUntil, nextRenewal model.Instant
	oracle                  *oracle
	// deposed: the leader's lease is not renewed and nothing commits.
	deposed bool
	// stalled: proposals are neither committed nor dropped.
	stalled bool
	// lagging: VMs other than the leader apply nothing until they are elected.
	lagging bool
	// misrouted: workers report to a VM that is not the leader.
	misrouted bool
	// tailLatencies has the tail latency of service "desk" on some workers.
	tailLatencies map[model.WorkerID]time.Duration
	// loseNext and duplicateNext are the numbers of next messages to lose or
	// duplicate; nextDelay is the delay of the next message.
	loseNext, duplicateNext int
	nextDelay               time.Duration
	// stopTime is how long attempts take to stop on an order, up to its grace; 0
	// for 300 ms. The attempts of one order stop one after the other within it.
	stopTime time.Duration
	// events counts the events by kind.
	events map[event.Kind]int
}

func newSimulation(orc *oracle, workers int) *simulation {
	sim := &simulation{oracle: orc, polls: map[uint64]message{}, events: map[event.Kind]int{}}
	for range 2 {
		vm := &replica{}
		vm.planner = NewPlanner(&vm.state, place.BestFit{})
		sim.vms = append(sim.vms, vm)
	}
	for i := range workers {
		sim.workers = append(sim.workers, newFakeWorker(sim, i))
	}
	sim.now = model.Instant(time.Second)
	sim.makeLeader(sim.vms[0])
	return sim
}

// depose stops the renewal of the leader's lease. The VM still acts as leader.
func (sim *simulation) depose() { sim.deposed = true }

// elect makes another VM the leader, but only once the lease of the previous
// leader has expired. With committed, the proposals not committed yet are
// committed first; without it, they are lost.
func (sim *simulation) elect(committed bool) {
	if sim.now.Before(sim.leader.leaseUntil) {
		return
	}
	if committed {
		sim.log = append(sim.log, sim.proposed...)
	}
	other := sim.vms[0]
	if other == sim.leader {
		other = sim.vms[1]
	}
	sim.makeLeader(other)
}

// makeLeader makes vm the leader; the previous one still acts as leader.
func (sim *simulation) makeLeader(vm *replica) {
	sim.proposed, sim.deposed = nil, false
	sim.catchUp(vm)
	sim.leader = vm
	vm.actsAsLeader = true
	vm.leaseUntil = sim.now.Add(leaderLease)
	sim.step(vm, BecameLeader{})
}

// catchUp applies the log entries that vm has not applied.
func (sim *simulation) catchUp(vm *replica) {
	for vm.applied < len(sim.log) {
		cmd := sim.log[vm.applied]
		vm.applied++
		res := vm.state.Apply(cmd)
		sim.oracle.applied(sim, vm, cmd, res)
		sim.step(vm, NewApplied(cmd, res))
	}
}

// restoreOthers makes the VMs that are not the leader step down and restores
// their state from a snapshot of the leader.
func (sim *simulation) restoreOthers() {
	for _, vm := range sim.vms {
		if vm != sim.leader {
			vm.actsAsLeader = false
			sim.step(vm, SteppedDown{})
			vm.state.Restore(sim.leader.state.Snapshot())
			vm.applied = sim.leader.applied
		}
	}
}

// commit applies a command on the leader at once; other VMs apply it when they
// catch up.
func (sim *simulation) commit(cmd Command) Result {
	sim.log = append(sim.log, cmd)
	sim.leader.applied++
	res := sim.leader.state.Apply(cmd)
	sim.oracle.applied(sim, sim.leader, cmd, res)
	sim.step(sim.leader, NewApplied(cmd, res))
	return res
}

// step passes an input to the planner of vm and carries out the effects.
func (sim *simulation) step(vm *replica, in Input) {
	for _, eff := range vm.planner.Step(sim.now, in) {
		switch msg := eff.(type) {
		case Propose:
			if vm == sim.leader {
				sim.proposed = append(sim.proposed, msg.cmd)
			}
		case Answer:
			sim.answer(msg)
		case RecordEvent:
			sim.events[msg.ev.Kind()]++
		}
	}
}

func (sim *simulation) answer(an Answer) {
	msg, ok := sim.polls[an.poll]
	if !ok {
		return
	}
	msg.answer = &an
	sim.send(msg)
}

// send puts a message in transit unless it is to be lost.
func (sim *simulation) send(msg message) {
	if sim.loseNext > 0 {
		sim.loseNext--
		return
	}
	msg.arrivesAt = sim.now.Add(sim.nextDelay)
	sim.nextDelay = 0
	sim.messages = append(sim.messages, msg)
	if sim.duplicateNext > 0 {
		sim.duplicateNext--
		msg.arrivesAt = msg.arrivesAt.Add(2 * time.Second)
		sim.messages = append(sim.messages, msg)
	}
}

// advance advances the simulated time by one step.
func (sim *simulation) advance() {
	sim.now = sim.now.Add(simStep)
	sim.renewStartPermit()
	if !sim.deposed {
		sim.leader.leaseUntil = sim.now.Add(leaderLease)
		for _, cmd := range sim.takeProposed() {
			sim.commit(cmd)
		}
	}
	for _, wk := range sim.workers {
		wk.advance()
	}
	sim.deliver()
	for _, wk := range sim.workers {
		if latency, ok := sim.tailLatencies[wk.id]; ok && sim.now%model.Instant(time.Second) == 0 {
			sim.step(sim.leader, NewTailLatency(TailLatencySpec{Worker: wk.id, Service: "desk", Tail: latency, Load: 0.5}))
		}
	}
	if sim.now/model.Instant(simStep)%2 == 0 {
		for _, vm := range sim.vms {
			if vm != sim.leader && !sim.lagging {
				sim.catchUp(vm)
			}
			if vm.actsAsLeader || !sim.lagging {
				sim.step(vm, NewTick(TickSpec{
					LeaseUntil: vm.leaseUntil, StartUntil: sim.startUntil, Out: sim.out && sim.now.Sub(sim.outAt) > 400*time.Millisecond,
					Preset: sim.preset,
				}))
			}
		}
	}
	sim.oracle.check(sim)
}

func (sim *simulation) takeProposed() []Command {
	if sim.stalled {
		return nil
	}
	cmds := sim.proposed
	sim.proposed = nil
	return cmds
}

// renewStartPermit renews the permit to start tasks every 500 ms while the
// data centre is in service and the leader is not deposed.
func (sim *simulation) renewStartPermit() {
	if sim.now < sim.nextRenewal || sim.out || sim.deposed {
		return
	}
	sim.startUntil = sim.now.Add(2 * time.Second)
	sim.nextRenewal = sim.now.Add(500 * time.Millisecond)
}

// deliver passes the messages that are due to their worker or VM.
func (sim *simulation) deliver() {
	var due []message
	sim.messages = slices.DeleteFunc(sim.messages, func(msg message) bool {
		if msg.arrivesAt <= sim.now {
			due = append(due, msg)
			return true
		}
		return false
	})
	for _, msg := range due {
		if msg.answer != nil {
			msg.worker.receive(msg)
			continue
		}
		sim.step(msg.to, NewWorkerReport(msg.report))
	}
}

// run advances the simulated time by dur.
func (sim *simulation) run(dur time.Duration) {
	for end := sim.now.Add(dur); sim.now < end; {
		sim.advance()
	}
}
