package sched

import (
	"fmt"
	"slices"
	"time"

	"guavarail/core/model"
)

// fakeAttempt is one attempt on a fake worker.
type fakeAttempt struct {
	task       model.TaskID
	attempt    model.Attempt
	state      AttemptState
	leaseUntil model.Instant
	// stopAt is the end of the grace of a stop order, 0 for none.
	stopAt     model.Instant
	progress   time.Duration
	checkpoint Checkpoint
	// resumed is the checkpoint that the attempt resumed from.
	resumed Checkpoint
	size    model.Resources
	// throttled: the last throttle order set a limit.
	throttled bool
}

// fakeWorker implements the worker's side of the poll protocol without running
// real tasks.
type fakeWorker struct {
	sim  *simulation
	id   model.WorkerID
	rack string
	size model.Resources
	dead bool
	// faulty: every attempt on the worker fails.
	faulty bool
	// frozen: the worker does nothing, but keeps its attempts.
	frozen bool
	// stubborn: the worker carries out no stop order.
	stubborn bool
	// incarnation counts the restarts.
	incarnation int
	// tag is that of the last answer.
	tag      uint64
	attempts []*fakeAttempt
	// highestAttempt is the highest attempt of each task for which a start or
	// stop order arrived.
	highestAttempt map[model.TaskID]model.Attempt
	// nextReport is when the next report is due; pendingSince is when the
	// unanswered report was sent, 0 for none.
	nextReport   model.Instant
	pendingSince model.Instant
}

// onSlowestClock returns how long dur lasts, in simulated time, on a worker
// with the slowest permitted clock.
func onSlowestClock(dur time.Duration) time.Duration { return model.WithDrift(dur) }

func newFakeWorker(sim *simulation, num int) *fakeWorker {
	return &fakeWorker{
		sim: sim, id: model.WorkerID(fmt.Sprintf("worker-%d", num)), rack: fmt.Sprintf("rack-%d", num/2),
		size: model.NewResources(4000, 8000, 1), highestAttempt: map[model.TaskID]model.Attempt{},
	}
}

// kill stops the worker and its tasks; restart brings it back without any.
func (wk *fakeWorker) kill() { wk.dead, wk.attempts = true, nil }

func (wk *fakeWorker) restart() {
	wk.dead, wk.pendingSince, wk.tag = false, 0, 0
	wk.incarnation++
	wk.highestAttempt = map[model.TaskID]model.Attempt{}
}

func (wk *fakeWorker) advance() {
	if wk.dead || wk.frozen {
		return
	}
	now := wk.sim.now
	for _, fa := range wk.attempts {
		wk.advanceAttempt(fa)
	}
	if wk.pendingSince != 0 && now.Sub(wk.pendingSince) > 2*time.Second {
		wk.pendingSince = 0
	}
	if wk.pendingSince == 0 && now >= wk.nextReport {
		wk.report(wk.target())
	}
}

// target returns the VM that the worker reports to.
func (wk *fakeWorker) target() *replica {
	if !wk.sim.misrouted {
		return wk.sim.leader
	}
	if wk.sim.vms[0] == wk.sim.leader {
		return wk.sim.vms[1]
	}
	return wk.sim.vms[0]
}

// advanceAttempt advances an attempt by one step.
func (wk *fakeWorker) advanceAttempt(fa *fakeAttempt) {
	now := wk.sim.now
	if fa.state != AttemptRunning {
		return
	}
	job := wk.sim.oracle.jobs[fa.task.Job()]
	switch {
	case now >= fa.leaseUntil:
		fa.state = AttemptStopped
	case fa.stopAt != 0 && now >= fa.stopAt:
		fa.state = AttemptStopped
	case wk.faulty || job.failing:
		fa.state = AttemptErrored
	default:
		fa.progress += simStep
		if fa.progress%time.Second == 0 {
			wk.checkpoint(fa)
		}
		if fa.progress >= job.length {
			fa.state = AttemptSucceeded
			wk.sim.oracle.completed(fa)
		}
	}
}

func (wk *fakeWorker) checkpoint(fa *fakeAttempt) {
	seq := uint32(1)
	if fa.checkpoint.attempt == fa.attempt {
		seq = fa.checkpoint.sequence + 1
	}
	fa.checkpoint = NewCheckpoint(fa.attempt, seq)
	wk.sim.oracle.savedProgress[checkpointKey{fa.task, fa.checkpoint}] = fa.progress
}

func (wk *fakeWorker) report(to *replica) {
	sim := wk.sim
	sim.lastPoll++
	rep := ReportSpec{Poll: sim.lastPoll, Worker: wk.id, Rack: wk.rack, Size: wk.size, Tag: wk.tag}
	for _, fa := range wk.attempts {
		rep.Attempts = append(rep.Attempts, NewAttemptReport(AttemptSpec{
			Task: fa.task, Attempt: fa.attempt, State: fa.state, Checkpoint: fa.checkpoint, ResumedFrom: fa.resumed, Throttled: fa.throttled,
			Usage: sim.oracle.jobs[fa.task.Job()].usage,
		}))
	}
	wk.pendingSince, wk.nextReport = sim.now, sim.now.Add(time.Second)
	msg := message{worker: wk, incarnation: wk.incarnation, to: to, report: rep, sentAt: sim.now}
	sim.polls[rep.Poll] = msg
	sim.send(msg)
}

func (wk *fakeWorker) receive(msg message) {
	if wk.dead || wk.frozen || msg.incarnation != wk.incarnation {
		return
	}
	if msg.sentAt == wk.pendingSince {
		wk.pendingSince, wk.nextReport = 0, wk.sim.now
	}
	wk.tag = max(wk.tag, msg.answer.tag)
	for _, le := range msg.answer.leases {
		if fa := wk.find(le.task); fa != nil && fa.attempt == le.attempt {
			fa.leaseUntil = max(fa.leaseUntil, msg.sentAt.Add(onSlowestClock(TaskLease)))
		}
	}
	for _, or := range msg.answer.orders {
		wk.handleOrder(msg, or)
	}
}

// find returns the running attempt of a task.
func (wk *fakeWorker) find(id model.TaskID) *fakeAttempt {
	for _, fa := range wk.attempts {
		if fa.task == id && fa.state == AttemptRunning {
			return fa
		}
	}
	return nil
}

func (wk *fakeWorker) handleOrder(msg message, or Order) {
	now := wk.sim.now
	switch or.kind {
	case OrderStart:
		wk.start(msg, or)
	case OrderStop:
		wk.highestAttempt[or.task] = max(wk.highestAttempt[or.task], or.attempt)
		if fa := wk.find(or.task); fa != nil && fa.attempt == or.attempt && fa.stopAt == 0 && !wk.stubborn {
			wk.checkpoint(fa)
			fa.stopAt = now.Add(min(or.grace, wk.stopTime()))
		}
	case OrderForget:
		wk.attempts = slices.DeleteFunc(wk.attempts, func(fa *fakeAttempt) bool {
			return fa.task == or.task && fa.attempt == or.attempt && fa.state != AttemptRunning
		})
	case OrderThrottle:
		if fa := wk.find(or.task); fa != nil && fa.attempt == or.attempt {
			fa.throttled = !or.size.IsZero()
		}
	case OrderCheckpoint:
	}
}

// stopTime returns how long the next attempt takes to stop: simulation.stopTime,
// a quarter of it earlier for each other attempt that stops already.
func (wk *fakeWorker) stopTime() time.Duration {
	if wk.sim.stopTime == 0 {
		return 300 * time.Millisecond
	}
	dur := wk.sim.stopTime
	for _, fa := range wk.attempts {
		if fa.stopAt != 0 && fa.state == AttemptRunning {
			dur -= wk.sim.stopTime / 4
		}
	}
	return dur
}

func (wk *fakeWorker) start(msg message, or Order) {
	if or.attempt <= wk.highestAttempt[or.task] {
		return
	}
	wk.highestAttempt[or.task] = or.attempt
	fa := &fakeAttempt{
		task: or.task, attempt: or.attempt, leaseUntil: msg.sentAt.Add(onSlowestClock(TaskLease)), resumed: or.resume, checkpoint: or.resume, size: or.size,
	}
	wk.attempts = append(wk.attempts, fa)
	if wk.sim.now >= msg.sentAt.Add(onSlowestClock(or.issuedAfter+StartWindow)) {
		fa.state = AttemptRejected
		return
	}
	fa.progress = wk.sim.oracle.savedProgress[checkpointKey{or.task, or.resume}]
	wk.sim.oracle.started(wk, fa)
}
