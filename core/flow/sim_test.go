package flow

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// simulation runs planners of several VMs against workers in virtual time. Its
// log commits operations in order, and its workers send heartbeats and follow
// orders and leases as real ones do. It records a violation if a task runs on
// two workers at once, or starts after its success was acknowledged.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	now       model.Instant
	queue     []simEvent
	lastOrder uint64
	vms       []*vmSim
	// log holds the committed operations, by log entry.
	log     [][]Op
	workers []*workerSim
	// openHeartbeats holds the heartbeats that planners have not answered, by
	// their HeartbeatID.
	openHeartbeats  map[uint64]*heartbeatSim
	lastHeartbeatID uint64
	term            uint64
	// leader is nil while a failed leader has no successor.
	leader *vmSim
	// liveAttempts holds, for each task, the workers that run it and the number
	// of the attempt there.
	liveAttempts map[TaskID]map[*workerSim]int
	// acknowledged is the set of tasks whose success was acknowledged.
	acknowledged map[TaskID]bool
	violations   []string
	// lateShare is the fraction of heartbeats that arrive up to 5 s late,
	// lostShare that of answers that never arrive.
	lateShare, lostShare float64
	// starts counts the start orders that workers carried out.
	starts int
}

// simEvent is a function that runs at a time. order is the number of the call
// that scheduled it.
type simEvent struct {
	at    model.Instant
	order uint64
	run   func()
}

// vmSim is a VM with a replica of the state and a planner.
type vmSim struct {
	st State
	pl *Planner
	// applied is the number of log entries applied to st.
	applied    int
	leading    bool
	leaseUntil model.Instant
	proposing  bool
	term       uint64
}

// runSim is a run on a worker. endsAt and outcome are chosen at its start.
type runSim struct {
	attempt int
	endsAt  model.Instant
	outcome Outcome
}

// workerSim is a worker that sends heartbeats and follows orders and leases as
// a real one does.
type workerSim struct {
	id        int
	startedAt int64
	up        bool
	sequence  uint64
	// term is the highest term of an answer so far.
	term uint64
	// leaseEnd is the end of the lease of all runs.
	leaseEnd model.Instant
	runs     map[TaskID]*runSim
	// highestAttempt is, for each task, the highest attempt that was ordered to
	// stop or has ended here. The worker starts later attempts only.
	highestAttempt map[TaskID]int
	// ended holds the ends that are not acknowledged yet, and lastEnd the number
	// of the last one.
	ended   []EndReport
	lastEnd uint64
	// pending is the heartbeat that waits for its answer, nil for none.
	pending *heartbeatSim
	// target is the index of the VM that gets the next heartbeat.
	target int
	next   model.Instant
}

// heartbeatSim is a heartbeat in progress.
type heartbeatSim struct {
	wk        *workerSim
	startedAt int64
	sent      model.Instant
	sequence  uint64
	vm        *vmSim
}

func newSimulation(t *testing.T, seed uint64, vms, workers int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), openHeartbeats: map[uint64]*heartbeatSim{},
		liveAttempts: map[TaskID]map[*workerSim]int{}, acknowledged: map[TaskID]bool{},
	}
	for range vms {
		vm := &vmSim{}
		vm.pl = NewPlanner(&vm.st, Config{})
		sim.vms = append(sim.vms, vm)
	}
	for i := range workers {
		sim.workers = append(sim.workers, &workerSim{id: i})
		sim.boot(sim.workers[i])
		sim.at(sim.after(100), func() { sim.sendHeartbeat(sim.workers[i]) })
	}
	sim.elect(sim.vms[0])
	sim.at(sim.after(1), sim.tick)
	return sim
}

// after returns a random time up to ms milliseconds from now.
func (sim *simulation) after(ms int) model.Instant {
	return sim.now.Add(time.Duration(sim.rng.IntN(ms*1000)+1) * time.Microsecond)
}

// at schedules a function. Functions of the same time run in the order of the
// calls.
func (sim *simulation) at(at model.Instant, run func()) {
	sim.lastOrder++
	sim.queue = append(sim.queue, simEvent{at: at, order: sim.lastOrder, run: run})
}

// run runs the scheduled functions up to a time, in order.
func (sim *simulation) run(until model.Instant) {
	for {
		best := -1
		for i, ev := range sim.queue {
			if best < 0 || ev.at < sim.queue[best].at || ev.at == sim.queue[best].at && ev.order < sim.queue[best].order {
				best = i
			}
		}
		if best < 0 || sim.queue[best].at > until {
			sim.now = until
			return
		}
		ev := sim.queue[best]
		sim.queue = slices.Delete(sim.queue, best, best+1)
		sim.now = max(sim.now, ev.at)
		ev.run()
	}
}

func (sim *simulation) wall() int64 { return time.Duration(sim.now).Milliseconds() }

func (sim *simulation) tick() {
	for _, vm := range sim.vms {
		if vm.leading {
			vm.leaseUntil = sim.now.Add(500 * time.Millisecond)
			sim.step(vm, Tick{LeaseUntil: vm.leaseUntil, Wall: sim.wall()})
		}
	}
	sim.at(sim.now.Add(TickInterval), sim.tick)
}

// elect makes a VM the leader. The lease of the previous leader must be over.
func (sim *simulation) elect(vm *vmSim) {
	sim.applyLog(vm)
	sim.term++
	vm.leading, vm.term, vm.leaseUntil, sim.leader = true, sim.term, sim.now.Add(500*time.Millisecond), vm
	sim.step(vm, BecameLeader{Term: sim.term, LeaseUntil: vm.leaseUntil, Wall: sim.wall()})
}

// failOver makes the leader fail and elects a VM, possibly the same, after 2 s.
// The current proposal of the failed leader may be lost.
func (sim *simulation) failOver() {
	former := sim.leader
	former.leading = false
	sim.leader = nil
	next := sim.vms[sim.rng.IntN(len(sim.vms))]
	sim.at(sim.now.Add(2*time.Second), func() {
		sim.step(former, SteppedDown{})
		former.proposing = false
		sim.elect(next)
	})
}

// applyLog applies the log entries that a VM has not applied yet.
func (sim *simulation) applyLog(vm *vmSim) {
	for vm.applied < len(sim.log) {
		ops := sim.log[vm.applied]
		vm.applied++
		for _, op := range ops {
			verdict := vm.st.Apply(op)
			sim.step(vm, Applied{Op: op, Verdict: verdict})
		}
	}
}

func (sim *simulation) commit(ops []Op) {
	sim.log = append(sim.log, ops)
	for _, vm := range sim.vms {
		if vm.leading {
			sim.applyLog(vm)
		}
	}
}

func (sim *simulation) step(vm *vmSim, in Input) {
	for _, eff := range vm.pl.Step(sim.now, in) {
		switch val := eff.(type) {
		case Propose:
			sim.propose(vm, val.Ops)
		case Answer:
			sim.answer(val)
		}
	}
}

// propose commits operations after a delay of up to 15 ms.
func (sim *simulation) propose(vm *vmSim, ops []Op) {
	term := vm.term
	sim.at(sim.after(15), func() {
		// A failed leader may have replicated its last proposal: while there is
		// no leader, half of these are committed.
		committed := vm.leading && vm.term == term
		if !committed && sim.leader == nil && sim.rng.IntN(2) == 0 {
			sim.log = append(sim.log, ops)
			return
		}
		if !committed {
			return
		}
		sim.commit(ops)
		sim.step(vm, ProposalEnded{Term: term, Applied: true})
	})
}

// boot starts a new incarnation of a worker, without runs.
func (sim *simulation) boot(wk *workerSim) {
	wk.startedAt = sim.wall() + 1
	wk.up, wk.sequence, wk.term, wk.ended, wk.lastEnd = true, 0, 0, nil, 0
	wk.runs, wk.highestAttempt, wk.pending = map[TaskID]*runSim{}, map[TaskID]int{}, nil
}

// crash ends the incarnation of a worker with its runs and boots the next one
// after a second.
func (sim *simulation) crash(wk *workerSim) {
	if !wk.up {
		return
	}
	wk.up = false
	for id := range wk.runs {
		sim.removeLiveAttempt(id, wk)
	}
	wk.runs = nil
	sim.at(sim.now.Add(time.Second), func() { sim.boot(wk); sim.sendHeartbeat(wk) })
}

func (sim *simulation) removeLiveAttempt(id TaskID, wk *workerSim) { delete(sim.liveAttempts[id], wk) }

// advance ends the runs of a worker whose lease has expired or whose work is
// done.
func (sim *simulation) advance(wk *workerSim) {
	for _, id := range wk.tasks() {
		ru := wk.runs[id]
		switch {
		case sim.now >= wk.leaseEnd:
			sim.end(wk, id, ru, Lost)
		case sim.now >= ru.endsAt:
			sim.end(wk, id, ru, ru.outcome)
		}
	}
}

// tasks returns the running tasks, ordered by name.
func (wk *workerSim) tasks() []TaskID {
	return slices.SortedFunc(maps.Keys(wk.runs), func(a, b TaskID) int { return cmp.Compare(a.String(), b.String()) })
}

func (sim *simulation) end(wk *workerSim, id TaskID, ru *runSim, oc Outcome) {
	wk.lastEnd++
	wk.ended = append(wk.ended, EndReport{Number: wk.lastEnd, Task: id, Attempt: ru.attempt, Outcome: oc})
	wk.highestAttempt[id] = max(wk.highestAttempt[id], ru.attempt)
	delete(wk.runs, id)
	sim.removeLiveAttempt(id, wk)
}

// sendHeartbeat sends a heartbeat with all runs and ends of a worker. If there
// is no answer within a second, the worker sends the next one to a random VM.
func (sim *simulation) sendHeartbeat(wk *workerSim) {
	if !wk.up || wk.pending != nil {
		return
	}
	sim.advance(wk)
	wk.sequence++
	if sim.rng.Float64() < 0.1 {
		wk.target = sim.rng.IntN(len(sim.vms))
	}
	hb := &heartbeatSim{wk: wk, startedAt: wk.startedAt, sent: sim.now, sequence: wk.sequence, vm: sim.vms[wk.target]}
	wk.pending = hb
	msg := Heartbeat{
		Incarnation: NewIncarnation(model.WorkerID(fmt.Sprint("w", wk.id)), wk.startedAt), Sequence: wk.sequence, Service: "svc", Centre: "a",
		Address: fmt.Sprint("10.0.0.", wk.id, ":80"), Size: model.NewResources(8000, 8000, 0), Ended: slices.Clone(wk.ended),
	}
	for _, id := range wk.tasks() {
		ru := wk.runs[id]
		msg.Runs = append(msg.Runs, RunReport{Task: id, Attempt: ru.attempt, Percent: 50})
	}
	arrive := sim.after(2)
	if sim.rng.Float64() < sim.lateShare {
		arrive = sim.after(5000)
	}
	sim.at(arrive, func() { sim.receive(hb, msg) })
	sim.at(sim.now.Add(time.Second), func() {
		if wk.pending == hb {
			wk.pending, wk.target = nil, sim.rng.IntN(len(sim.vms))
			sim.sendHeartbeat(wk)
		}
	})
}

// receive delivers a heartbeat to the leader, to which the other VMs forward
// it.
func (sim *simulation) receive(hb *heartbeatSim, msg Heartbeat) {
	vm := sim.leader
	if vm == nil {
		return
	}
	sim.lastHeartbeatID++
	msg.HeartbeatID = sim.lastHeartbeatID
	sim.openHeartbeats[sim.lastHeartbeatID] = hb
	sim.step(vm, msg)
}

func (sim *simulation) answer(ans Answer) {
	hb := sim.openHeartbeats[ans.HeartbeatID]
	delete(sim.openHeartbeats, ans.HeartbeatID)
	if hb == nil || sim.rng.Float64() < sim.lostShare {
		return
	}
	sim.at(sim.after(2), func() { sim.handleAnswer(hb, ans) })
}

// handleAnswer makes a worker carry out the orders of an answer, unless the
// worker has restarted or sent a further heartbeat since, or the answer arrives
// more than a second after the heartbeat was sent.
func (sim *simulation) handleAnswer(hb *heartbeatSim, ans Answer) {
	wk := hb.wk
	if wk.pending != hb || wk.startedAt != hb.startedAt || !wk.up || sim.now.Sub(hb.sent) > time.Second {
		return
	}
	wk.pending = nil
	sim.at(sim.now.Add(max(ans.HeartbeatDelay, 20*time.Millisecond)), func() { sim.sendHeartbeat(wk) })
	if ans.Refused || ans.Term < wk.term {
		return
	}
	wk.term = ans.Term
	sim.advance(wk)
	if ans.LeaseDuration > 0 {
		wk.leaseEnd = max(wk.leaseEnd, hb.sent.Add(ans.LeaseDuration))
	}
	wk.ended = slices.DeleteFunc(wk.ended, func(er EndReport) bool {
		if er.Number <= ans.Acknowledged && er.Outcome == Succeeded {
			sim.acknowledged[er.Task] = true
		}
		return er.Number <= ans.Acknowledged
	})
	for _, ord := range ans.Stops {
		wk.highestAttempt[ord.Task] = max(wk.highestAttempt[ord.Task], ord.Attempt)
		if ru := wk.runs[ord.Task]; ru != nil && ru.attempt <= ord.Attempt {
			sim.end(wk, ord.Task, ru, Stopped)
		}
	}
	if ans.LeaseDuration == 0 {
		return
	}
	for _, ord := range ans.Starts {
		sim.startRun(wk, ord)
	}
}

// startRun carries out a start order, and records a violation if the task
// already runs on another worker or its success was acknowledged.
func (sim *simulation) startRun(wk *workerSim, ord StartOrder) {
	if wk.runs[ord.Task] != nil || ord.Attempt <= wk.highestAttempt[ord.Task] {
		return
	}
	sim.starts++
	if sim.acknowledged[ord.Task] {
		sim.violations = append(sim.violations, fmt.Sprintf("%v: %v starts after its success was acknowledged", sim.now, ord.Task))
	}
	ru := &runSim{attempt: ord.Attempt, endsAt: sim.after(3000), outcome: Succeeded}
	if sim.rng.IntN(20) == 0 {
		ru.outcome = Failed
	}
	wk.runs[ord.Task] = ru
	if sim.liveAttempts[ord.Task] == nil {
		sim.liveAttempts[ord.Task] = map[*workerSim]int{}
	}
	sim.liveAttempts[ord.Task][wk] = ord.Attempt
	for other := range sim.liveAttempts[ord.Task] {
		if other != wk && other.up && sim.now < other.leaseEnd {
			sim.violations = append(sim.violations, fmt.Sprintf("%v: %v runs on several workers, with the attempts %v", sim.now, ord.Task, sim.liveAttempts[ord.Task]))
		}
	}
}

func (sim *simulation) submit(id string, steps ...StepSpec) {
	jo, err := NewJob(JobSpec{
		ID: model.JobID(id), Queue: "q", Service: "svc", Steps: steps, MaxFailures: 50, ObjectiveFactor: 2, ObjectiveBase: time.Second, AcceptedMs: sim.wall(),
	})
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.commit([]Op{Submit(jo)})
}

// reportViolations fails the test for each violation.
func (sim *simulation) reportViolations(seed uint64) {
	sim.t.Helper()
	for _, violation := range sim.violations {
		sim.t.Errorf("seed %d: %s", seed, violation)
	}
}
