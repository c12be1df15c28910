package sched

import (
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/place"
)

const (
	worldStep   = 50 * time.Millisecond
	leaderLease = 800 * time.Millisecond
)

// replica is one VM of the data centre's group.
type replica struct {
	state   State
	planner *Planner[place.BestFit]
	// applied counts the log entries that the state has.
	applied   int
	leadUntil model.Instant
	// believes: the VM still thinks that it leads.
	believes bool
}

// message is something under way between a worker and a VM.
type message struct {
	at     model.Instant
	worker *fakeWorker
	boot   int
	to     *replica
	report ReportSpec
	answer *Answer
	sent   model.Instant
}

// world is one data centre with a log, VMs and small workers. Every source of
// chance is a fault that the caller asks for.
type world struct {
	now      model.Instant
	log      []Command
	vms      []*replica
	leader   *replica
	workers  []*fakeWorker
	messages []message
	polls    map[uint64]message
	nextPoll uint64
	// proposed are commands that wait for their commit.
	proposed []Command
	preset   model.Preset
	out      bool
	outAt    model.Instant
	// permission of the start order, as granted by the fleet.
	startUntil, nextRequest model.Instant
	oracle                  *oracle
	// deposed: the leader's lease is not renewed and nothing commits.
	deposed bool
	// stalled: proposals wait for their commit.
	stalled bool
	// astray: workers report to a VM that does not lead.
	astray bool
	// tails has the tail latency of a service on some workers.
	tails map[model.WorkerID]time.Duration
	// lose, repeat and delay are faults for the next messages.
	lose, repeat int
	delay        time.Duration
}

func newWorld(orc *oracle, workers int) *world {
	wd := &world{oracle: orc, polls: map[uint64]message{}, preset: model.Preset{}}
	for range 2 {
		vm := &replica{}
		vm.planner = NewPlanner(&vm.state, place.BestFit{})
		wd.vms = append(wd.vms, vm)
	}
	for i := range workers {
		wd.workers = append(wd.workers, newFakeWorker(wd, i))
	}
	wd.now = model.Instant(time.Second)
	wd.lead(wd.vms[0])
	return wd
}

// depose stops the renewal of the leader's lease. The leader keeps believing.
func (wd *world) depose() { wd.deposed = true }

// elect makes another VM the leader, after the old lease has passed. Proposals
// under way were committed or not.
func (wd *world) elect(committed bool) {
	if wd.now.Before(wd.leader.leadUntil) {
		return
	}
	if committed {
		wd.log = append(wd.log, wd.proposed...)
	}
	other := wd.vms[0]
	if other == wd.leader {
		other = wd.vms[1]
	}
	wd.lead(other)
}

// lead makes vm the leader; the previous leader keeps believing.
func (wd *world) lead(vm *replica) {
	wd.proposed, wd.deposed = nil, false
	wd.catchUp(vm)
	wd.leader = vm
	vm.believes = true
	vm.leadUntil = wd.now.Add(leaderLease)
	wd.step(vm, TookOver{})
}

func (wd *world) catchUp(vm *replica) {
	for vm.applied < len(wd.log) {
		cmd := wd.log[vm.applied]
		vm.applied++
		res := vm.state.Apply(cmd)
		wd.oracle.applied(wd, vm, cmd, res)
		wd.step(vm, NewApplied(cmd, res))
	}
}

// commit applies a command on the leader at once; other VMs follow later.
func (wd *world) commit(cmd Command) Result {
	wd.log = append(wd.log, cmd)
	wd.leader.applied++
	res := wd.leader.state.Apply(cmd)
	wd.oracle.applied(wd, wd.leader, cmd, res)
	wd.step(wd.leader, NewApplied(cmd, res))
	return res
}

func (wd *world) step(vm *replica, in Input) {
	for _, eff := range vm.planner.Step(wd.now, in) {
		switch msg := eff.(type) {
		case Propose:
			if vm == wd.leader {
				wd.proposed = append(wd.proposed, msg.cmd)
			}
		case Answer:
			wd.answer(msg)
		}
	}
}

func (wd *world) answer(an Answer) {
	msg, ok := wd.polls[an.poll]
	if !ok {
		return
	}
	msg.answer = &an
	wd.send(msg)
}

func (wd *world) send(msg message) {
	if wd.lose > 0 {
		wd.lose--
		return
	}
	msg.at = wd.now.Add(wd.delay)
	wd.delay = 0
	wd.messages = append(wd.messages, msg)
	if wd.repeat > 0 {
		wd.repeat--
		msg.at = msg.at.Add(2 * time.Second)
		wd.messages = append(wd.messages, msg)
	}
}

// advance moves the time by one step.
func (wd *world) advance() {
	wd.now = wd.now.Add(worldStep)
	wd.permit()
	if !wd.deposed {
		wd.leader.leadUntil = wd.now.Add(leaderLease)
		for _, cmd := range wd.takeProposed() {
			wd.commit(cmd)
		}
	}
	for _, wk := range wd.workers {
		wk.advance()
	}
	wd.deliver()
	for _, wk := range wd.workers {
		if tail, ok := wd.tails[wk.id]; ok && wd.now%model.Instant(time.Second) == 0 {
			wd.step(wd.leader, NewTail(TailSpec{Worker: wk.id, Service: "desk", Tail: tail, Load: 0.5}))
		}
	}
	if wd.now/model.Instant(worldStep)%2 == 0 {
		for _, vm := range wd.vms {
			if vm.believes {
				wd.step(vm, NewTick(TickSpec{
					LeadUntil: vm.leadUntil, StartUntil: wd.startUntil, Out: wd.out && wd.now.Sub(wd.outAt) > 400*time.Millisecond,
					Preset: wd.preset,
				}))
			}
		}
	}
	wd.oracle.check(wd)
}

func (wd *world) takeProposed() []Command {
	if wd.stalled {
		return nil
	}
	cmds := wd.proposed
	wd.proposed = nil
	return cmds
}

// permit renews the start permission every 500 ms while in service.
func (wd *world) permit() {
	if wd.now < wd.nextRequest || wd.out || wd.deposed {
		return
	}
	wd.startUntil = wd.now.Add(2 * time.Second)
	wd.nextRequest = wd.now.Add(500 * time.Millisecond)
}

func (wd *world) deliver() {
	var due []message
	wd.messages = slices.DeleteFunc(wd.messages, func(msg message) bool {
		if msg.at <= wd.now {
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
		wd.step(msg.to, NewWorkerReport(msg.report))
	}
}

// run advances for a time.
func (wd *world) run(dur time.Duration) {
	for end := wd.now.Add(dur); wd.now < end; {
		wd.advance()
	}
}
