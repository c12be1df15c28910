package sched

import (
	"time"

	"guavarail/core/health"
	"guavarail/core/model"
)

// WaitReason returns why the oldest waiting task of the job is not started yet,
// or NoReason if none waits. Replicas that are not the leader return NoReason.
func (pl *Planner[P]) WaitReason(now model.Instant, id model.JobID) Reason {
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
	case pl.lastTick.Out:
		return ReasonCentreOut
	case !pl.mayStart(now):
		return ReasonNoPermit
	}
	return bl.reason
}

// WorkerState is the leader's view of a worker.
type WorkerState struct {
	standing           health.Standing
	silent             bool
	unreportedAttempts int
}

// Standing returns whether the worker is in good standing, in quarantine or on
// probation.
func (ws WorkerState) Standing() health.Standing { return ws.standing }

// Silent reports whether the worker sent no report to this leader within
// reportTimeout.
func (ws WorkerState) Silent() bool { return ws.silent }

// UnreportedAttempts returns the number of live attempts on the worker that may
// or may not still run, because the worker is silent.
func (ws WorkerState) UnreportedAttempts() int { return ws.unreportedAttempts }

// WorkerState returns the leader's view of a worker. A worker that is not
// registered counts as silent.
func (pl *Planner[P]) WorkerState(id model.WorkerID) WorkerState {
	_, idx, ok := pl.st.worker(id)
	if !ok || int(idx) >= len(pl.statuses) {
		return WorkerState{silent: true}
	}
	wst := &pl.statuses[idx]
	ws := WorkerState{standing: pl.failures.Standing(id), silent: !wst.reporting}
	if ws.silent {
		ws.unreportedAttempts = len(wst.attempts)
	}
	return ws
}

// KindEstimate returns the usage at which tasks of the kind are sized and their
// median run time; zero until there are enough samples.
func (pl *Planner[P]) KindEstimate(kind string) (model.Resources, time.Duration) {
	size, _ := pl.kinds.size(kind)
	dur, _ := pl.kinds.runTime(kind)
	return size, dur
}
