package flow

import (
	"slices"
	"strconv"

	"guavarail/core/model"
)

// placed is a run on a worker, as the leader sees it.
type placed struct {
	job     *job
	spec    *StepSpec
	task    TaskID
	attempt int
	// size is what the run takes of the worker.
	size model.Resources
	// since is when the run was decided or taken over.
	since model.Instant
	// planned: the start is proposed and not applied yet.
	planned bool
	// ending: the end is proposed and not applied yet.
	ending bool
	// told: the start order went out as the answer to report toldIn.
	told   bool
	toldIn uint64
	// inherited: an earlier leader recorded the run, so that its order may have
	// been sent.
	inherited bool
	// seen: a report listed the run.
	seen bool
	// stopping: a stop order went out.
	stopping   bool
	checkpoint string
	percent    int
	// use is the share of the worker that a filler used at the last report.
	use float64
	// full is the share at full pace, 0 before it was read.
	full float64
	// pace is the share of its speed at which the run may work, in percent.
	pace int
	// stillSince is when the pace was changed last.
	stillSince model.Instant
	// evict: the run is to be stopped so that it starts elsewhere.
	evict bool
	// slowed: the worker was told a pace below 100 that it may still apply.
	slowed bool
}

func newPlaced(jb *job, task TaskID, attempt int, now model.Instant) *placed {
	spec := &jb.spec.Steps[task.step]
	return &placed{job: jb, spec: spec, task: task, attempt: attempt, size: spec.counted(), since: now, pace: fullPace}
}

// inherit marks a run that an earlier leader recorded.
func (pd *placed) inherit() *placed {
	pd.inherited = true
	return pd
}

// counted returns what a task takes of a worker. The processors of a filler
// are not counted.
func (sp *StepSpec) counted() model.Resources {
	if sp.Filler {
		return model.NewResources(0, sp.Size.MemoryMB(), sp.Size.Accelerators())
	}
	return sp.Size
}

// serves reports whether the tasks have callers of their own.
func (sp *StepSpec) serves() bool { return sp.TailTarget > 0 }

// worker is what the leader knows about one life of a worker.
type worker struct {
	life     Life
	service  model.ServiceID
	centre   model.CentreID
	address  string
	rack     string
	labels   []string
	size     model.Resources
	used     model.Resources
	draining bool
	// known is set by the first report to this leader.
	known    bool
	sequence uint64
	heard    model.Instant
	// lease is when everything that this worker runs is over for certain
	// unless it is renewed.
	lease   model.Instant
	expired bool
	placed  []*placed
	// poll is the report that waits for its answer while polled is set.
	poll     uint64
	polled   bool
	polledAt model.Instant
	// ends are the ended runs of the last report, by number.
	ends []EndReport
	// strays are runs that the state does not have on this worker.
	strays []StopOrder
	health health
	// serving counts the runs with a tail target, fillers the fillers.
	serving, fillers int
	// filling is what the fillers ask for, served what the serving tasks ask
	// for, in thousandths of a processor.
	filling, served int64
	// overSince is since when some serving task is over its target, 0 while
	// none is.
	overSince model.Instant
	// uses and expected are the shares of the fillers and the tails to expect
	// of the serving images.
	uses     []imageUse
	expected []expected
	echoes   []echo
}

func (wk *worker) free() model.Resources { return wk.size.Sub(wk.used) }

func (wk *worker) add(pd *placed) {
	wk.placed = append(wk.placed, pd)
	wk.used = wk.used.Add(pd.size)
	wk.count(pd, 1)
}

func (wk *worker) count(pd *placed, by int) {
	if pd.spec.serves() {
		wk.serving += by
		wk.served += int64(by) * pd.spec.Size.MilliCPU()
	}
	if pd.spec.Filler {
		wk.fillers += by
		wk.filling += int64(by) * pd.spec.Size.MilliCPU()
	}
}

func (wk *worker) drop(pd *placed) {
	pos := slices.Index(wk.placed, pd)
	if pos < 0 {
		return
	}
	wk.placed = slices.Delete(wk.placed, pos, pos+1)
	wk.used = wk.used.Sub(pd.size)
	wk.count(pd, -1)
}

func (wk *worker) find(task TaskID, attempt int) *placed {
	for _, pd := range wk.placed {
		if pd.attempt == attempt && pd.task == task {
			return pd
		}
	}
	return nil
}

// sameStep counts the runs of one step of one occurrence.
func (wk *worker) sameStep(task TaskID) int {
	num := 0
	for _, pd := range wk.placed {
		if pd.task.job == task.job && pd.task.occurrence == task.occurrence && pd.task.step == task.step {
			num++
		}
	}
	return num
}

// lifeOf returns the record of a life. A life that has not reported to this
// leader may still hold what an earlier one renewed.
func (pl *Planner) lifeOf(now model.Instant, li Life) *worker {
	if wk, ok := pl.workers.get(li.worker); ok {
		if wk.life == li {
			return wk
		}
		for _, old := range pl.former {
			if old.life == li {
				return old
			}
		}
		old := &worker{life: li, heard: now, lease: pl.bounds.leaseEnd(now)}
		pl.former = append(pl.former, old)
		return old
	}
	wk := &worker{life: li, heard: now, lease: pl.bounds.leaseEnd(now)}
	pl.workers.add(wk)
	return wk
}

// beat takes in a report.
func (pl *Planner) beat(now model.Instant, be *Beat) {
	if !pl.leads(now) {
		pl.out = append(pl.out, Answer{Poll: be.Poll, Refused: true})
		return
	}
	wk, ok := pl.reporter(now, be)
	if !ok {
		// A late report of an earlier life, or one that was overtaken.
		pl.out = append(pl.out, Answer{Poll: be.Poll})
		return
	}
	if wk.polled {
		pl.out = append(pl.out, Answer{Poll: wk.poll})
	}
	wk.poll, wk.polled, wk.polledAt = be.Poll, true, now
	pl.learn(now, wk, be)
	pl.takeRuns(now, wk, be)
	pl.takeEnds(wk, be)
	pl.guard(now, wk, be)
	pl.dirty = true
}

// reporter returns the record of the life that reports, and false when the
// report is older than what is known.
func (pl *Planner) reporter(now model.Instant, be *Beat) (*worker, bool) {
	wk, ok := pl.workers.get(be.Life.worker)
	if ok && wk.life != be.Life {
		if be.Life.born < wk.life.born {
			return nil, false
		}
		pl.replaced(wk, "restarted")
		pl.workers.remove(wk)
		ok = false
	}
	if !ok {
		wk = &worker{life: be.Life, heard: now, lease: pl.bounds.leaseEnd(now)}
		pl.workers.add(wk)
	}
	if wk.known && be.Sequence <= wk.sequence {
		return nil, false
	}
	if !wk.known {
		pl.sameAddress(be)
	}
	return wk, true
}

// sameAddress ends earlier lives at the address of a new one.
func (pl *Planner) sameAddress(be *Beat) {
	for _, wk := range pl.workers.takeIf(func(wk *worker) bool {
		return wk.life.worker != be.Life.worker && wk.address != "" && wk.address == be.Address && wk.life.born < be.Life.born
	}) {
		pl.replaced(wk, "addressReused")
	}
}

// replaced ends the runs of a life that is over.
func (pl *Planner) replaced(wk *worker, why string) {
	pl.note("workerGone", "", "", wk.life.String(), "reason", why, "runs", strconv.Itoa(len(wk.placed)))
	if wk.polled {
		wk.polled = false
		pl.out = append(pl.out, Answer{Poll: wk.poll})
	}
	pl.endAll(wk, Lost)
	if len(wk.placed) > 0 {
		wk.lease = 0
		pl.former = append(pl.former, wk)
	}
}

// leave ends the runs of a worker that is about to exit.
func (pl *Planner) leave(id model.WorkerID) {
	if wk, ok := pl.workers.get(id); ok && pl.leading {
		pl.workers.remove(wk)
		pl.replaced(wk, "left")
	}
}

// learn takes in what the worker says about itself.
func (pl *Planner) learn(now model.Instant, wk *worker, be *Beat) {
	if !wk.known {
		pl.note("workerKnown", "", "", wk.life.String(), "service", string(be.Service), "centre", string(be.Centre),
			"address", be.Address, "milliCpu", strconv.FormatInt(be.Size.MilliCPU(), 10))
	}
	if be.Draining && !wk.draining {
		pl.note("workerDraining", "", "", wk.life.String(), "remainingMs", strconv.FormatInt(be.Remaining.Milliseconds(), 10),
			"runs", strconv.Itoa(len(wk.placed)))
	}
	wk.known, wk.sequence, wk.heard = true, be.Sequence, now
	wk.service, wk.centre, wk.address = be.Service, be.Centre, be.Address
	wk.size, wk.labels, wk.rack = be.Size, be.Labels, be.Rack
	wk.draining = be.Draining
}

// takeRuns compares the runs of a report with those of the state.
func (pl *Planner) takeRuns(now model.Instant, wk *worker, be *Beat) {
	wk.strays = wk.strays[:0]
	listed := make(map[*placed]bool, len(be.Runs))
	for i := range be.Runs {
		rr := &be.Runs[i]
		pd := wk.find(rr.Task, rr.Attempt)
		if pd == nil {
			wk.strays = append(wk.strays, StopOrder{Task: rr.Task, Attempt: rr.Attempt})
			continue
		}
		listed[pd] = true
		pd.seen, pd.stopping, pd.inherited, pd.percent = true, false, false, rr.Percent
		if rr.Checkpoint != "" {
			pd.checkpoint = rr.Checkpoint
		}
	}
	for i := range be.Ended {
		if pd := wk.find(be.Ended[i].Task, be.Ended[i].Attempt); pd != nil {
			listed[pd] = true
		}
	}
	for _, pd := range wk.placed {
		if !listed[pd] && !pd.planned {
			pl.unlisted(now, pd, be.Sequence)
		}
	}
}

// unlisted deals with a run that a report does not list. The worker took no
// notice of an order if a later report does not list its run. An order of an
// earlier leader may be younger than a report that was long on its way, so it
// is repeated to the same worker until the lease of that time is over.
func (pl *Planner) unlisted(now model.Instant, pd *placed, sequence uint64) {
	switch {
	case pd.inherited && now.Before(pl.bounds.leaseEnd(pd.since)):
		pd.told = false
	case pd.inherited || pd.told && sequence > pd.toldIn:
		pl.end(pd, NotStarted, pd.checkpoint)
	}
}

// takeEnds proposes the ends that a report lists.
func (pl *Planner) takeEnds(wk *worker, be *Beat) {
	wk.ends = append(wk.ends[:0], be.Ended...)
	slices.SortFunc(wk.ends, func(a, b EndReport) int {
		switch {
		case a.Number < b.Number:
			return -1
		case a.Number > b.Number:
			return 1
		}
		return 0
	})
	for i := range wk.ends {
		er := &wk.ends[i]
		if pd := wk.find(er.Task, er.Attempt); pd != nil {
			checkpoint := er.Checkpoint
			if checkpoint == "" {
				checkpoint = pd.checkpoint
			}
			pl.end(pd, er.Outcome, checkpoint)
		}
	}
}

// ackedThrough returns the last end that is recorded together with all before
// it.
func (wk *worker) ackedThrough() uint64 {
	acked := uint64(0)
	for i := range wk.ends {
		er := &wk.ends[i]
		if wk.find(er.Task, er.Attempt) != nil {
			break
		}
		acked = er.Number
	}
	return acked
}

// due reports whether the report of the worker should be answered now.
func (pl *Planner) due(now model.Instant, wk *worker) bool {
	age := now.Sub(wk.polledAt)
	if len(wk.ends) > 0 && wk.ackedThrough() < wk.ends[len(wk.ends)-1].Number {
		return age >= endWait
	}
	if len(wk.ends) > 0 || len(wk.strays) > 0 {
		return age >= busyWait || !pl.flying
	}
	waiting := false
	for _, pd := range wk.placed {
		if pd.planned {
			waiting = true
			continue
		}
		if !pd.told && !pd.seen || pl.mustStop(pd) {
			return true
		}
	}
	if len(wk.placed) == 0 && !wk.draining {
		return age >= idleWait
	}
	return age >= busyWait || !waiting && !pl.flying
}

// mustStop reports whether the worker still has to be told to stop a run.
func (pl *Planner) mustStop(pd *placed) bool {
	if pd.ending || pd.stopping || pd.planned {
		return false
	}
	return pl.unwanted(pd)
}

// unwanted reports whether the run is of no more use.
func (pl *Planner) unwanted(pd *placed) bool {
	if pd.evict || pd.job.status.Final() {
		return true
	}
	occ := pd.job.occurrence(pd.task.occurrence)
	return occ.steps[pd.task.step].tasks[pd.task.index].done
}

// answer completes the report of a worker with its orders and renews its
// lease.
func (pl *Planner) answer(wk *worker) {
	ans := Answer{
		Poll: wk.poll, Term: pl.term, Hold: pl.bounds.hold(), AckedThrough: wk.ackedThrough(), Again: busyAgain,
		Stops: slices.Clone(wk.strays),
	}
	for _, pd := range wk.placed {
		pl.order(wk, pd, &ans)
	}
	if len(wk.placed) == 0 {
		ans.Again = idleAgain
	}
	wk.polled, wk.expired = false, false
	// The hold counts from the sending of the report, which was before it
	// arrived.
	wk.lease = max(wk.lease, pl.bounds.leaseEnd(wk.polledAt))
	pl.out = append(pl.out, ans)
}

// order adds what the worker has to be told about one run.
func (pl *Planner) order(wk *worker, pd *placed, ans *Answer) {
	if pd.planned || pd.ending {
		return
	}
	switch {
	case pl.unwanted(pd):
		if !pd.told && !pd.seen && !pd.inherited {
			pl.end(pd, NotStarted, pd.checkpoint)
			return
		}
		pd.stopping = true
		ans.Stops = append(ans.Stops, StopOrder{Task: pd.task, Attempt: pd.attempt})
	case pd.told || pd.seen:
		if pd.pace < fullPace || pd.slowed {
			ans.Paces = append(ans.Paces, PaceOrder{Task: pd.task, Attempt: pd.attempt, Percent: pd.pace})
			pd.slowed = pd.pace < fullPace
		}
	case wk.draining || pl.outage[wk.centre]:
		if !pd.inherited {
			pl.end(pd, NotStarted, pd.checkpoint)
		}
	default:
		pd.told, pd.toldIn = true, wk.sequence
		ans.Starts = append(ans.Starts, StartOrder{
			Task: pd.task, Attempt: pd.attempt, Body: pd.job.spec.Body, Checkpoint: pd.checkpoint,
		})
	}
}
