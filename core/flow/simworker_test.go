package flow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// simCallTimeout is how long a simulated worker waits for an answer.
	simCallTimeout = time.Second
	// simEndDelay is the time from the end of a run to the heartbeat that reports
	// it.
	simEndDelay = 50 * time.Millisecond
)

// runSim is a run on a worker. endsAt and outcome are chosen at its start.
type runSim struct {
	attempt int
	// size is what the run takes of the worker's capacity.
	size      model.Resources
	startedAt model.Instant
	// endsAt is when the run ends by itself, 0 for never, and stopsAt when it ends
	// because of a stop order, 0 without one.
	endsAt, stopsAt model.Instant
	outcome         Outcome
	longRunning     bool
	// servesAfter is how long a long-running task takes to start up.
	servesAfter time.Duration
	// hung is set for a run that makes no progress.
	hung bool
}

// workerSim is a worker that sends heartbeats and follows orders and leases as
// a real one does.
type workerSim struct {
	name, address, rack string
	centre              model.CentreID
	labels              []string
	size                model.Resources
	startedAt           int64
	bootedAt            model.Instant
	up                  bool
	draining            bool
	// silent is set once the worker sends no more heartbeats.
	silent bool
	// exitsAt is when a draining worker announces its exit.
	exitsAt  model.Instant
	sequence uint64
	// term is the highest term of an answer so far.
	term uint64
	// leaseEnd is the end of the lease of all runs.
	leaseEnd model.Instant
	// leaseStretch is the fraction by which the worker's clock is slow.
	leaseStretch float64
	runs         map[TaskID]*runSim
	// highestAttempt is, for each task, the highest attempt that was ordered to
	// stop or has ended here. The worker starts later attempts only.
	highestAttempt map[TaskID]int
	// ended holds the ends that are not acknowledged yet, and lastEnd the number
	// of the last one. reportedEnd is the number of the last one that a heartbeat
	// has reported.
	ended                []EndReport
	lastEnd, reportedEnd uint64
	// maxEnds is the number of ends in a heartbeat at most; 0 means no bound.
	maxEnds int
	// lapsedEnd is the number of the last end before the lease last expired. An
	// acknowledgement of it or of earlier ends is no promise.
	lapsedEnd uint64
	// pending is the heartbeat that waits for its answer, nil for none.
	pending *heartbeatSim
	// target is the index of the VM that gets the next heartbeat, which is sent at
	// next.
	target int
	next   model.Instant
	// unheardUntil is when heartbeats arrive again, and unansweredUntil the same
	// for answers.
	unheardUntil, unansweredUntil model.Instant
	// failingUntil, hangingUntil and slowUntil are the ends of times in which runs
	// that start here fail, make no progress or are slow.
	failingUntil, hangingUntil, slowUntil model.Instant
}

// heartbeatSim is a heartbeat in progress.
type heartbeatSim struct {
	worker    *workerSim
	startedAt int64
	sent      model.Instant
	sequence  uint64
	vm        *vmSim
}

// addWorker adds a worker and boots it.
func (sim *simulation) addWorker(name, address string, size model.Resources) *workerSim {
	wk := &workerSim{name: name, address: address, centre: "a", size: size}
	sim.workers = append(sim.workers, wk)
	sim.boot(wk)
	sim.scheduleHeartbeat(wk, sim.after(100))
	return wk
}

// boot starts a new incarnation of a worker, without runs.
func (sim *simulation) boot(wk *workerSim) {
	wk.startedAt, wk.bootedAt = sim.wall()+1, sim.now
	wk.up, wk.draining, wk.silent, wk.exitsAt, wk.sequence, wk.term, wk.ended = true, false, false, 0, 0, 0, nil
	wk.lastEnd, wk.reportedEnd, wk.lapsedEnd = 0, 0, 0
	wk.runs, wk.highestAttempt, wk.pending = map[TaskID]*runSim{}, map[TaskID]int{}, nil
	wk.unheardUntil, wk.unansweredUntil, wk.failingUntil, wk.hangingUntil, wk.slowUntil = 0, 0, 0, 0, 0
}

// exit ends the incarnation of a worker with its runs.
func (sim *simulation) exit(wk *workerSim) {
	if !wk.up {
		return
	}
	wk.up = false
	for _, id := range wk.tasks() {
		sim.removeLiveAttempt(id, wk)
	}
	wk.runs = nil
}

// crash ends the incarnation of a worker with its runs and boots the next one
// after a time.
func (sim *simulation) crash(wk *workerSim, down time.Duration) {
	if !wk.up {
		return
	}
	sim.exit(wk)
	sim.at(sim.now.Add(down), func() { sim.boot(wk); sim.sendHeartbeat(wk) })
}

func (sim *simulation) removeLiveAttempt(id TaskID, wk *workerSim) {
	delete(sim.liveAttempts[id], wk)
	if sim.observer != nil {
		sim.observer.ended(id)
	}
}

// advance ends the runs of a worker whose lease has expired or whose work is
// done or stopped.
func (sim *simulation) advance(wk *workerSim) {
	for _, id := range wk.tasks() {
		ru := wk.runs[id]
		switch {
		case sim.now >= wk.leaseEnd:
			sim.end(wk, id, ru, Lost)
		case ru.stopsAt > 0 && sim.now >= ru.stopsAt:
			sim.end(wk, id, ru, Stopped)
		case ru.endsAt > 0 && sim.now >= ru.endsAt:
			sim.end(wk, id, ru, ru.outcome)
		}
	}
}

// advanceAt advances a worker at a time and lets it report what has ended.
func (sim *simulation) advanceAt(wk *workerSim, at model.Instant) {
	startedAt := wk.startedAt
	sim.at(at, func() {
		if !wk.up || wk.startedAt != startedAt {
			return
		}
		sim.advance(wk)
		if wk.lastEnd > wk.reportedEnd && wk.pending == nil && wk.next > sim.now.Add(simEndDelay) {
			sim.scheduleHeartbeat(wk, sim.now.Add(simEndDelay))
		}
	})
}

// tasks returns the running tasks, ordered by name.
func (wk *workerSim) tasks() []TaskID {
	return slices.SortedFunc(maps.Keys(wk.runs), func(a, b TaskID) int {
		return cmp.Or(cmp.Compare(a.job, b.job), cmp.Compare(a.step, b.step), cmp.Compare(a.index, b.index))
	})
}

// free returns the capacity that no run takes.
func (wk *workerSim) free() model.Resources {
	free := wk.size
	for _, ru := range wk.runs {
		free = free.Sub(ru.size)
	}
	return free
}

func (sim *simulation) end(wk *workerSim, id TaskID, ru *runSim, oc Outcome) {
	wk.lastEnd++
	wk.ended = append(wk.ended, EndReport{Number: wk.lastEnd, Task: id, Attempt: ru.attempt, Outcome: oc})
	wk.highestAttempt[id] = max(wk.highestAttempt[id], ru.attempt)
	delete(wk.runs, id)
	sim.removeLiveAttempt(id, wk)
}

// scheduleHeartbeat sets the time of the next heartbeat.
func (sim *simulation) scheduleHeartbeat(wk *workerSim, at model.Instant) {
	wk.next = at
	startedAt := wk.startedAt
	sim.at(at, func() {
		if wk.next == at && wk.startedAt == startedAt {
			sim.sendHeartbeat(wk)
		}
	})
}

// sendHeartbeat sends a heartbeat with all runs and ends of a worker. If there
// is no answer within a second, the worker sends the next one to a random VM.
func (sim *simulation) sendHeartbeat(wk *workerSim) {
	if !wk.up || wk.pending != nil || wk.silent {
		return
	}
	sim.advance(wk)
	wk.sequence++
	if sim.rng.Float64() < 0.1 {
		wk.target = sim.rng.IntN(len(sim.vms))
	}
	hb := &heartbeatSim{worker: wk, startedAt: wk.startedAt, sent: sim.now, sequence: wk.sequence, vm: sim.vms[wk.target]}
	wk.pending, wk.reportedEnd = hb, wk.lastEnd
	sim.at(sim.now.Add(simCallTimeout), func() {
		if wk.pending == hb {
			wk.pending, wk.target = nil, sim.rng.IntN(len(sim.vms))
			sim.sendHeartbeat(wk)
		}
	})
	if sim.now < wk.unheardUntil {
		return
	}
	msg := wk.report(sim.now)
	sim.noteListed(msg)
	sim.deliver(hb, msg)
	if sim.rng.Float64() < sim.repeatedShare {
		sim.at(sim.after(5000), func() { sim.receive(hb, msg) })
	}
}

// deliver delivers a heartbeat, late or not.
func (sim *simulation) deliver(hb *heartbeatSim, msg Heartbeat) {
	arrive := sim.after(sim.delayMs())
	if sim.rng.Float64() < sim.lateShare {
		arrive = sim.after(5000)
	}
	sim.at(arrive, func() { sim.receive(hb, msg) })
}

// report returns the heartbeat that describes the worker.
func (wk *workerSim) report(now model.Instant) Heartbeat {
	msg := Heartbeat{
		Incarnation: NewIncarnation(model.WorkerID(wk.name), wk.startedAt), Sequence: wk.sequence, Clock: wk.clock(now), Service: "svc", Centre: wk.centre,
		Address: wk.address, Rack: wk.rack, Labels: wk.labels, Size: wk.size, Draining: wk.draining, Ended: slices.Clone(wk.ended),
	}
	for _, id := range wk.tasks() {
		ru := wk.runs[id]
		msg.Runs = append(msg.Runs, RunReport{Task: id, Attempt: ru.attempt, Percent: ru.percent(now)})
	}
	if wk.draining {
		msg.Remaining = max(0, wk.exitsAt.Sub(now))
	}
	if wk.maxEnds > 0 && len(msg.Ended) >= wk.maxEnds {
		msg.Ended, msg.EndsTruncated = msg.Ended[:wk.maxEnds], true
	}
	return msg
}

// clock returns the worker's steady clock.
func (wk *workerSim) clock(now model.Instant) time.Duration {
	return time.Millisecond + time.Duration(float64(now.Sub(wk.bootedAt))/(1+wk.leaseStretch))
}

// percent returns the progress of the run.
func (ru *runSim) percent(now model.Instant) int {
	elapsed := now.Sub(ru.startedAt)
	switch {
	case ru.hung:
		return 0
	case ru.longRunning && elapsed >= ru.servesAfter:
		return fullPace
	case ru.longRunning || ru.endsAt == 0:
		return 0
	}
	return int(fullPace * elapsed / ru.endsAt.Sub(ru.startedAt))
}

// handleAnswer makes a worker carry out the orders of an answer, unless the
// worker has restarted or sent a further heartbeat since, or the answer arrives
// more than a second after the heartbeat was sent.
func (sim *simulation) handleAnswer(hb *heartbeatSim, ans Answer) {
	wk := hb.worker
	if wk.pending != hb || wk.startedAt != hb.startedAt || !wk.up || sim.now.Sub(hb.sent) > simCallTimeout {
		return
	}
	wk.pending = nil
	sim.scheduleHeartbeat(wk, sim.now.Add(max(ans.HeartbeatDelay, 20*time.Millisecond)))
	if ans.Refused || ans.Term < wk.term {
		return
	}
	wk.term = ans.Term
	sim.advance(wk)
	if sim.now >= wk.leaseEnd {
		wk.lapsedEnd = wk.lastEnd
	}
	if ans.LeaseDuration > 0 {
		lease := time.Duration(float64(ans.LeaseDuration) * (1 + wk.leaseStretch))
		wk.leaseEnd = max(wk.leaseEnd, hb.sent.Add(lease))
		sim.advanceAt(wk, wk.leaseEnd)
	}
	wk.ended = slices.DeleteFunc(wk.ended, func(er EndReport) bool {
		if er.Number <= ans.Acknowledged && er.Number > wk.lapsedEnd && er.Outcome == Succeeded {
			sim.acknowledged[er.Task] = true
		}
		return er.Number <= ans.Acknowledged
	})
	for _, ord := range ans.Stops {
		sim.stopRun(wk, ord)
	}
	if ans.LeaseDuration > 0 {
		for _, ord := range ans.Starts {
			sim.startRun(wk, ord)
		}
	}
	if wk.lastEnd > wk.reportedEnd {
		sim.scheduleHeartbeat(wk, min(wk.next, sim.now.Add(simEndDelay)))
	}
}

// stopRun carries out a stop order.
func (sim *simulation) stopRun(wk *workerSim, ord StopOrder) {
	wk.highestAttempt[ord.Task] = max(wk.highestAttempt[ord.Task], ord.Attempt)
	ru := wk.runs[ord.Task]
	if ru == nil || ru.attempt > ord.Attempt || ru.stopsAt > 0 {
		return
	}
	if sim.maxStop == 0 {
		sim.end(wk, ord.Task, ru, Stopped)
		return
	}
	ru.stopsAt = sim.now.Add(sim.between(sim.minStop, sim.maxStop))
	sim.advanceAt(wk, ru.stopsAt)
}

// startRun carries out a start order, and records a violation if the task
// already runs on another worker or its success was acknowledged, or if the
// worker has no room for it.
func (sim *simulation) startRun(wk *workerSim, ord StartOrder) {
	if wk.runs[ord.Task] != nil || ord.Attempt <= wk.highestAttempt[ord.Task] {
		return
	}
	sim.starts++
	if sim.acknowledged[ord.Task] {
		sim.violated("%v starts after its success was acknowledged", ord.Task)
	}
	sim.checkListed(ord.Task)
	wk.runs[ord.Task] = sim.newRun(wk, ord)
	if !wk.runs[ord.Task].size.FitsIn(wk.size) || !(model.Resources{}).FitsIn(wk.free()) {
		sim.violated("%v brings %s over its capacity: %+v free", ord.Task, wk.name, wk.free())
	}
	if sim.liveAttempts[ord.Task] == nil {
		sim.liveAttempts[ord.Task] = map[*workerSim]int{}
	}
	sim.liveAttempts[ord.Task][wk] = ord.Attempt
	for other := range sim.liveAttempts[ord.Task] {
		if other != wk && other.up && sim.now < other.leaseEnd {
			sim.violated("%v runs on several workers, with the attempts %v", ord.Task, sim.liveAttempts[ord.Task])
		}
	}
	if sim.observer != nil {
		sim.observer.started(ord.Task)
	}
}

// newRun returns a run that a worker starts now.
func (sim *simulation) newRun(wk *workerSim, ord StartOrder) *runSim {
	ru := &runSim{attempt: ord.Attempt, startedAt: sim.now, hung: sim.now < wk.hangingUntil}
	spec := &sim.specs[ord.Task.job][ord.Task.step]
	ru.size, ru.longRunning = spec.reservation(), spec.LongRunning
	dur, oc := sim.chooseRun(wk, ord.Task)
	ru.outcome = oc
	if ru.longRunning {
		ru.servesAfter = sim.between(200*time.Millisecond, 800*time.Millisecond)
	}
	switch {
	case sim.now < wk.failingUntil:
		dur, ru.outcome = sim.between(50*time.Millisecond, 400*time.Millisecond), Failed
	case sim.now < wk.slowUntil:
		dur, ru.servesAfter = 5*dur, 5*ru.servesAfter
	}
	if dur > 0 && !ru.hung {
		ru.endsAt = sim.now.Add(dur)
		sim.advanceAt(wk, ru.endsAt)
	}
	return ru
}
