package flow

import (
	"strconv"

	"guavarail/core/model"
)

func (pl *Planner) tick(now model.Instant) {
	if !pl.leads(now) || now.Sub(pl.swept) < sweepEvery {
		return
	}
	pl.swept = now
	pl.solve(now)
	// Occurrences fall due and reports grow old with time alone.
	pl.dirty = true
	for _, wk := range pl.workers.list {
		pl.withdraw(now, wk)
		pl.expire(now, wk)
	}
	for _, wk := range pl.workers.takeIf(func(wk *worker) bool {
		return len(wk.placed) == 0 && now.Sub(wk.heard) > forgetWorker
	}) {
		pl.note("workerForgotten", "", "", wk.life.String())
	}
	kept := pl.former[:0]
	for _, wk := range pl.former {
		pl.expire(now, wk)
		if len(wk.placed) > 0 {
			kept = append(kept, wk)
		}
	}
	pl.former = kept
	pl.forgetJobs(now)
}

// solve brings the estimates of interference and of slow workers up to date.
func (pl *Planner) solve(now model.Instant) {
	if now.Sub(pl.solved) < solveEvery {
		return
	}
	pl.solved = now
	pl.pairs.solve()
	pl.findSlow(now)
	for _, wk := range pl.workers.list {
		wk.refresh(pl)
	}
}

// expire ends the runs of a worker whose lease is over.
func (pl *Planner) expire(now model.Instant, wk *worker) {
	if now.Before(wk.lease) || len(wk.placed) == 0 {
		return
	}
	if !wk.expired {
		wk.expired = true
		pl.note("leaseExpired", "", "", wk.life.String(), "runs", strconv.Itoa(len(wk.placed)),
			"silentMs", strconv.FormatInt(now.Sub(wk.heard).Milliseconds(), 10))
	}
	pl.endAll(wk, Lost)
}

// withdraw ends starts that a silent worker did not fetch.
func (pl *Planner) withdraw(now model.Instant, wk *worker) {
	for _, pd := range wk.placed {
		if !pd.told && !pd.seen && !pd.inherited && now.Sub(pd.since) > fetchWait {
			pl.end(pd, NotStarted, pd.checkpoint)
		}
	}
}

// endAll proposes the end of every run on the worker.
func (pl *Planner) endAll(wk *worker, oc Outcome) {
	for _, pd := range wk.placed {
		pl.end(pd, oc, pd.checkpoint)
	}
}

// end proposes the end of a run once.
func (pl *Planner) end(pd *placed, oc Outcome, checkpoint string) {
	if pd.ending || pd.planned {
		return
	}
	pd.ending = true
	pl.queued = append(pl.queued, End(pd.task, pd.attempt, oc, checkpoint))
}

// forgetJobs drops the jobs that ended long ago and moves those that ended
// since out of the way.
func (pl *Planner) forgetJobs(now model.Instant) {
	open := pl.open[:0]
	for _, jb := range pl.open {
		if jb.status.Final() {
			jb.seen = now
			pl.closing = append(pl.closing, jb)
			continue
		}
		open = append(open, jb)
	}
	clear(pl.open[len(open):])
	pl.open = open
	closing := pl.closing[:0]
	for _, jb := range pl.closing {
		if jb.live == 0 && now.Sub(jb.seen) > pl.bounds.keep() {
			pl.queued = append(pl.queued, Forget(jb.ID()))
			continue
		}
		closing = append(closing, jb)
	}
	clear(pl.closing[len(closing):])
	pl.closing = closing
}
