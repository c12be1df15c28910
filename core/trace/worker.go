package trace

import (
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// throttledPart is the part of its speed and of its interference that a
// throttled task keeps.
const throttledPart = 0.3

// checkpointEach is how often simulated tasks write a checkpoint by themselves.
const checkpointEach = 10 * time.Second

// run is one attempt on a simulated worker.
type run struct {
	task            model.TaskID
	attempt         model.Attempt
	state           sched.AttemptState
	until           model.Instant
	stopAt          model.Instant
	done, saved     time.Duration
	resumed, newest sched.Checkpoint
	throttled       bool
}

// serving is a service on a worker.
type serving struct {
	service model.ServiceID
	base    time.Duration
	next    model.Instant
}

// worker is a simulated worker VM.
type worker struct {
	sim       *core
	id        model.WorkerID
	rack      string
	size      model.Resources
	down, bad bool
	tag       uint64
	poll      uint64
	sent      model.Instant
	runs      []*run
	highest   map[model.TaskID]model.Attempt
	serves    []serving
}

func (wk *worker) fail() {
	wk.down, wk.runs, wk.poll, wk.tag = true, nil, 0, 0
	wk.highest = map[model.TaskID]model.Attempt{}
}

// advance lets the attempts work for one step.
func (wk *worker) advance(now model.Instant) {
	for _, rn := range wk.runs {
		if rn.state != sched.AttemptRunning {
			continue
		}
		be := wk.sim.behaviours[rn.task.Job()]
		switch {
		case now >= rn.until, rn.stopAt != 0 && now >= rn.stopAt:
			rn.state = sched.AttemptStopped
		case wk.bad || be.Fails:
			rn.state = sched.AttemptErrored
		default:
			wk.work(rn, be)
		}
	}
}

func (wk *worker) work(rn *run, be Behaviour) {
	step := tick
	if rn.throttled {
		step = time.Duration(float64(tick) * throttledPart)
	}
	rn.done += step
	if rn.done >= be.Run {
		rn.state = sched.AttemptSucceeded
		return
	}
	if rn.done-rn.saved >= checkpointEach {
		wk.save(rn)
	}
}

func (wk *worker) save(rn *run) {
	seq := uint32(1)
	if rn.newest.Attempt() == rn.attempt {
		seq = rn.newest.Sequence() + 1
	}
	rn.newest, rn.saved = sched.NewCheckpoint(rn.attempt, seq), rn.done
	wk.sim.saved[saving{rn.task, rn.newest}] = rn.done
}

// report returns the next poll.
func (wk *worker) report(now model.Instant, poll uint64) sched.WorkerReport {
	wk.poll, wk.sent = poll, now
	spec := sched.ReportSpec{Poll: poll, Worker: wk.id, Rack: wk.rack, Size: wk.size, Tag: wk.tag}
	for _, rn := range wk.runs {
		uses := wk.sim.behaviours[rn.task.Job()].Uses
		spec.Attempts = append(spec.Attempts, sched.NewAttemptReport(sched.AttemptSpec{
			Task: rn.task, Attempt: rn.attempt, State: rn.state, Usage: uses, Throttled: rn.throttled,
			Checkpoint: rn.newest, Resumed: rn.resumed,
		}))
	}
	return sched.NewWorkerReport(spec)
}

func (wk *worker) receive(now model.Instant, an sched.Answer) {
	if wk.down || an.Poll() != wk.poll {
		return
	}
	wk.poll, wk.tag = 0, max(wk.tag, an.Tag())
	for _, le := range an.Leases() {
		if rn := wk.find(le.Task(), le.Attempt()); rn != nil {
			rn.until = max(rn.until, wk.sent.Add(sched.TaskLease))
		}
	}
	for _, or := range an.Orders() {
		wk.obey(now, or)
	}
}

func (wk *worker) find(id model.TaskID, att model.Attempt) *run {
	for _, rn := range wk.runs {
		if rn.task == id && rn.attempt == att {
			return rn
		}
	}
	return nil
}

func (wk *worker) obey(now model.Instant, or sched.Order) {
	rn := wk.find(or.Task(), or.Attempt())
	switch or.Kind() {
	case sched.OrderStart:
		wk.start(now, or)
	case sched.OrderStop:
		wk.highest[or.Task()] = max(wk.highest[or.Task()], or.Attempt())
		if rn != nil && rn.stopAt == 0 {
			if or.Grace() > 0 {
				wk.save(rn)
			}
			rn.stopAt = now.Add(min(or.Grace(), time.Second))
		}
	case sched.OrderCheckpoint:
		if rn != nil {
			wk.save(rn)
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

func (wk *worker) start(now model.Instant, or sched.Order) {
	if or.Attempt() <= wk.highest[or.Task()] {
		return
	}
	wk.highest[or.Task()] = or.Attempt()
	rn := &run{
		task: or.Task(), attempt: or.Attempt(),
		until: wk.sent.Add(sched.TaskLease), resumed: or.Resume(), newest: or.Resume(),
		done: wk.sim.saved[saving{or.Task(), or.Resume()}],
	}
	rn.saved = rn.done
	if now >= wk.sent.Add(or.IssuedAfter()+sched.StartWindow) {
		rn.state = sched.AttemptRejected
	}
	wk.runs = append(wk.runs, rn)
	wk.sim.started(now, wk, rn)
}

// tail returns the tail latency of a service on the worker.
func (wk *worker) tail(se serving, load float64) time.Duration {
	slow := 0.0
	for _, rn := range wk.runs {
		part := wk.sim.behaviours[rn.task.Job()].Slows
		if rn.throttled {
			part *= throttledPart
		}
		if rn.state == sched.AttemptRunning {
			slow += part * load
		}
	}
	return time.Duration(float64(se.base) * (1 + load*load) * (1 + slow))
}
