package sched

import (
	"time"

	"guavarail/core/blame"
	"guavarail/core/model"
)

// Waits returns why the oldest waiting task of the job waits, as the leader
// sees it, and NoReason when none waits.
func (pl *Planner[P]) Waits(now model.Instant, id model.JobID) Reason {
	jb, ok := pl.st.jobs[id]
	if !ok {
		return NoReason
	}
	bl, ok := pl.queue.jobs[jb]
	if !ok {
		return NoReason
	}
	if _, ok := bl.peek(); !ok {
		return NoReason
	}
	switch {
	case pl.env.Out:
		return ReasonCentreOut
	case !pl.mayStart(now):
		return ReasonNoPermission
	}
	return bl.reason
}

// WorkerState is what the leader knows about a worker.
type WorkerState struct {
	standing blame.Standing
	silent   bool
	unknown  int
}

// Standing says whether the worker is in quarantine.
func (ws WorkerState) Standing() blame.Standing { return ws.standing }

// Silent reports whether the worker has missed reports.
func (ws WorkerState) Silent() bool { return ws.silent }

// Unknown returns the number of attempts of which it is not known whether they
// still run.
func (ws WorkerState) Unknown() int { return ws.unknown }

// WorkerState returns what the leader knows about a worker.
func (pl *Planner[P]) WorkerState(id model.WorkerID) WorkerState {
	_, slot, ok := pl.st.worker(id)
	if !ok || int(slot) >= len(pl.statuses) {
		return WorkerState{silent: true}
	}
	wst := &pl.statuses[slot]
	ws := WorkerState{standing: pl.failures.Standing(id), silent: !wst.reporting}
	if ws.silent {
		ws.unknown = len(wst.attempts)
	}
	return ws
}

// Learned returns the usage that tasks of the kind are given and their median
// run time; zero values are not known yet.
func (pl *Planner[P]) Learned(kind string) (model.Resources, time.Duration) {
	size, _ := pl.kinds.size(kind)
	dur, _ := pl.kinds.runTime(kind)
	return size, dur
}
