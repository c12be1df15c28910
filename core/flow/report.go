package flow

import (
	"slices"
	"strconv"

	"guavarail/core/model"
)

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
	pl.unstick(now, wk)
	pl.gauge(now, wk)
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
		if !pd.seen || rr.Percent != pd.percent || pd.spec.Lasting && rr.Percent >= fullPace {
			pd.movedAt = now
		}
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
