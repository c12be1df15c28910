package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// acknowledged returns the last end that is recorded together with all before
// it.
func (wk *worker) acknowledged() uint64 {
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
	if len(wk.ends) > 0 && wk.acknowledged() < wk.ends[len(wk.ends)-1].Number {
		return age >= endWait
	}
	if len(wk.ends) > 0 || len(wk.strays) > 0 {
		return age >= busyWait || !pl.flying
	}
	waiting, ready := false, false
	for _, pd := range wk.placed {
		waiting = waiting || pd.planned
		ready = ready || !pd.planned && (!pd.told && !pd.seen || pl.mustStop(pd))
	}
	if ready {
		// The starts of one command are applied one by one and go out together.
		return age >= busyWait || !waiting
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
func (pl *Planner) answer(now model.Instant, wk *worker) {
	ans := Answer{
		Poll: wk.poll, Term: pl.term, Hold: pl.bounds.hold(), Acknowledged: wk.acknowledged(), Again: pl.again(),
		Stops: slices.Clone(wk.strays),
	}
	for _, pd := range wk.placed {
		pl.order(now, wk, pd, &ans)
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

// again returns the pause before the next report of a busy worker.
func (pl *Planner) again() time.Duration {
	return min(mostAgain, max(busyAgain, time.Duration(len(pl.workers.list))*againPerWorker))
}

// mustPace reports whether the worker has to be told the pace of a run. A pace
// takes effect some time after its order, and a further order begins that time
// anew, so that orders keep a distance. Each is repeated because answers may be
// lost.
func (pl *Planner) mustPace(now model.Instant, pd *placed) bool {
	since := now.Sub(pd.toldPaceAt)
	switch {
	case pd.pace == fullPace && !pd.paced:
		return false
	case pd.pace == pd.toldPace:
		return since >= paceRepeat
	}
	return pd.toldPace == unknownPace || !pd.paced || since >= pl.bounds.paceDelay()+paceMargin
}

// order adds what the worker has to be told about one run.
func (pl *Planner) order(now model.Instant, wk *worker, pd *placed, ans *Answer) {
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
		if pl.mustPace(now, pd) {
			pd.paced, pd.toldPace, pd.toldPaceAt = true, pd.pace, now
			ans.Paces = append(ans.Paces, PaceOrder{Task: pd.task, Attempt: pd.attempt, Percent: pd.pace})
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
