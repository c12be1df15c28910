package trace

import (
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// throttledFraction is the speed of a throttled task as a fraction of its speed without
// throttling, and also the fraction of its slowdown of services that remains.
const throttledFraction = 0.3

// checkpointInterval is the work between two checkpoints that a simulated task writes
// without an order, as run time without throttling.
const checkpointInterval = 10 * time.Second

// run is one attempt on a simulated worker. It stays in worker.runs after it has ended,
// so that reports contain it, until the scheduler orders the worker to remove it.
type run struct {
	task    model.TaskID
	attempt model.Attempt
	state   sched.AttemptState
	// leaseUntil is the end of the task lease, at which the run stops.
	leaseUntil model.Instant
	// stopAt is when the run stops after a stop order; 0 if there was none.
	stopAt model.Instant
	// progress is the work done so far, as run time without throttling, and
	// savedProgress the part of it in the latest checkpoint.
	progress, savedProgress time.Duration
	// resumedFrom is the checkpoint from which the attempt started, and
	// latestCheckpoint the newest one that it wrote, or else resumedFrom; both are
	// zero if there is none.
	resumedFrom, latestCheckpoint sched.Checkpoint
	throttled                     bool
}

// placedService is a latency-critical service placed on a worker.
type placedService struct {
	service model.ServiceID
	// baseTail is the tail latency without load and batch tasks.
	baseTail time.Duration
	// nextTailReport is when the tail latency is reported next.
	nextTailReport model.Instant
}

// worker is a simulated worker. It polls the planner of the leader: it sends a report
// of its runs and gets an answer with lease renewals and orders.
type worker struct {
	sim  *simCore
	id   model.WorkerID
	rack string
	size model.Resources
	// down is true while the worker is stopped, and faulty while it fails every
	// task.
	down, faulty bool
	// lastTag is the highest tag in an answer, 0 for none. The next report returns
	// it, so that the planner detects late reports and restarted workers.
	lastTag uint64
	// pendingPoll identifies the poll that has not been answered, 0 for none, and
	// pollSent is when the last poll was sent.
	pendingPoll uint64
	pollSent    model.Instant
	runs        []*run
	// highestAttempt is the highest attempt of each task that the worker was ordered
	// to start or to stop. It starts only higher ones.
	highestAttempt map[model.TaskID]model.Attempt
	services       []placedService
}

// crash stops the worker, which loses its runs and its state.
func (wk *worker) crash() {
	wk.down, wk.runs, wk.pendingPoll, wk.lastTag = true, nil, 0, 0
	wk.highestAttempt = map[model.TaskID]model.Attempt{}
}

// advanceRuns advances all runs by one tick.
func (wk *worker) advanceRuns(now model.Instant) {
	for _, rn := range wk.runs {
		if rn.state != sched.AttemptRunning {
			continue
		}
		be := wk.sim.behaviours[rn.task.Job()]
		switch {
		case now >= rn.leaseUntil, rn.stopAt != 0 && now >= rn.stopAt:
			rn.state = sched.AttemptStopped
		case wk.faulty || be.AlwaysFails:
			rn.state = sched.AttemptErrored
		default:
			wk.advanceRun(rn, be)
		}
	}
}

// advanceRun adds the progress of one tick to a run, ends it when the task is done
// and writes a checkpoint when one is due.
func (wk *worker) advanceRun(rn *run, be Behaviour) {
	step := tickInterval
	if rn.throttled {
		step = time.Duration(float64(tickInterval) * throttledFraction)
	}
	rn.progress += step
	if rn.progress >= be.RunTime {
		rn.state = sched.AttemptSucceeded
		return
	}
	if rn.progress-rn.savedProgress >= checkpointInterval {
		wk.writeCheckpoint(rn)
	}
}

// writeCheckpoint writes a checkpoint with the progress of a run.
func (wk *worker) writeCheckpoint(rn *run) {
	seq := uint32(1)
	if rn.latestCheckpoint.Attempt() == rn.attempt {
		seq = rn.latestCheckpoint.Sequence() + 1
	}
	rn.latestCheckpoint, rn.savedProgress = sched.NewCheckpoint(rn.attempt, seq), rn.progress
	wk.sim.checkpointWork[checkpointKey{rn.task, rn.latestCheckpoint}] = rn.progress
}

// newReport starts a poll and returns the report to send. poll identifies the poll.
func (wk *worker) newReport(now model.Instant, poll uint64) sched.WorkerReport {
	wk.pendingPoll, wk.pollSent = poll, now
	spec := sched.ReportSpec{Poll: poll, Worker: wk.id, Rack: wk.rack, Size: wk.size, Tag: wk.lastTag}
	for _, rn := range wk.runs {
		usage := wk.sim.behaviours[rn.task.Job()].Usage
		spec.Attempts = append(spec.Attempts, sched.NewAttemptReport(sched.AttemptSpec{
			Task: rn.task, Attempt: rn.attempt, State: rn.state, Usage: usage, Throttled: rn.throttled,
			Checkpoint: rn.latestCheckpoint, ResumedFrom: rn.resumedFrom,
		}))
	}
	return sched.NewWorkerReport(spec)
}

// handleAnswer renews the leases and executes the orders in the answer to the
// pending poll. Other answers are ignored.
func (wk *worker) handleAnswer(now model.Instant, an sched.Answer) {
	if wk.down || an.Poll() != wk.pendingPoll {
		return
	}
	wk.pendingPoll, wk.lastTag = 0, max(wk.lastTag, an.Tag())
	for _, le := range an.Leases() {
		if rn := wk.findRun(le.Task(), le.Attempt()); rn != nil {
			rn.leaseUntil = max(rn.leaseUntil, wk.pollSent.Add(sched.TaskLease))
		}
	}
	for _, or := range an.Orders() {
		wk.handleOrder(now, or)
	}
}

// findRun returns the run of an attempt, or nil.
func (wk *worker) findRun(id model.TaskID, att model.Attempt) *run {
	for _, rn := range wk.runs {
		if rn.task == id && rn.attempt == att {
			return rn
		}
	}
	return nil
}

// handleOrder executes one order of the scheduler.
func (wk *worker) handleOrder(now model.Instant, or sched.Order) {
	rn := wk.findRun(or.Task(), or.Attempt())
	switch or.Kind() {
	case sched.OrderStart:
		wk.startRun(now, or)
	case sched.OrderStop:
		wk.highestAttempt[or.Task()] = max(wk.highestAttempt[or.Task()], or.Attempt())
		if rn != nil && rn.stopAt == 0 {
			if or.Grace() > 0 {
				wk.writeCheckpoint(rn)
			}
			// Simulated tasks stop after 1 s if they are given more time.
			rn.stopAt = now.Add(min(or.Grace(), time.Second))
		}
	case sched.OrderCheckpoint:
		if rn != nil {
			wk.writeCheckpoint(rn)
		}
	case sched.OrderThrottle:
		if rn != nil {
			rn.throttled = !or.Size().IsZero()
		}
	case sched.OrderForget:
		wk.runs = slices.DeleteFunc(wk.runs, func(other *run) bool {
			return other == rn && rn.state != sched.AttemptRunning
		})
	}
}

// startRun starts an attempt from the checkpoint in the order, unless the worker was
// ordered to start or stop the same or a later attempt of the task before. It rejects
// the attempt if the order arrives more than sched.StartWindow after its issue, which
// is counted from the sending of the poll.
func (wk *worker) startRun(now model.Instant, or sched.Order) {
	if or.Attempt() <= wk.highestAttempt[or.Task()] {
		return
	}
	wk.highestAttempt[or.Task()] = or.Attempt()
	rn := &run{
		task: or.Task(), attempt: or.Attempt(),
		leaseUntil: wk.pollSent.Add(sched.TaskLease), resumedFrom: or.Resume(), latestCheckpoint: or.Resume(),
		progress: wk.sim.checkpointWork[checkpointKey{or.Task(), or.Resume()}],
	}
	rn.savedProgress = rn.progress
	if now >= wk.pollSent.Add(or.IssuedAfter()+sched.StartWindow) {
		rn.state = sched.AttemptRejected
	}
	wk.runs = append(wk.runs, rn)
	wk.sim.checkStart(now, wk, rn)
}

// tailLatency returns the tail latency of a service on the worker at a load; 1 is full
// load. It grows with the load and with the slowdown that the running tasks cause.
func (wk *worker) tailLatency(se placedService, load float64) time.Duration {
	slowdown := 0.0
	for _, rn := range wk.runs {
		taskSlowdown := wk.sim.behaviours[rn.task.Job()].Slowdown
		if rn.throttled {
			taskSlowdown *= throttledFraction
		}
		if rn.state == sched.AttemptRunning {
			slowdown += taskSlowdown * load
		}
	}
	return time.Duration(float64(se.baseTail) * (1 + load*load) * (1 + slowdown))
}
