package flow

import "guavarail/core/model"

// trackWaits records since when tasks have had no run, steps have waited and jobs
// have been idle, after an operation was applied. Every VM does so by its own
// clock, so that a new leader knows the times. A VM that was behind or has
// restarted finds them too short, never too long.
func (pl *Planner) trackWaits(now model.Instant, msg Applied) {
	op := msg.Op
	if msg.Verdict != Accepted {
		return
	}
	switch op.kind {
	case OpSubmit:
		// The occurrences of a job that repeats are not due yet.
		if jb := pl.st.jobs[op.id]; jb != nil && jb.spec.Repetitions == 0 {
			jb.idleSince = now
			jb.trackSteps(now, jb.occurrence(0))
		}
	case OpStart:
		if jb, occ, _, ok := pl.st.find(op.task); ok {
			jb.idleSince = 0
			sp := &occ.steps[op.task.step]
			sp.waitingSince = now
			sp.trackWait(now, true)
		}
	case OpEnd:
		pl.trackEnd(now, op)
	}
}

// trackEnd records since when a task, and what it belongs to, has had no run,
// after the end of a run was applied.
func (pl *Planner) trackEnd(now model.Instant, op Op) {
	jb, occ, tk, ok := pl.st.find(op.task)
	if !ok {
		return
	}
	if op.outcome == Failed {
		sp := &occ.steps[op.task.step]
		sp.failedAttempt = max(sp.failedAttempt, op.attempt)
	}
	if op.outcome.carriedOut() {
		tk.ran, tk.idleSince = true, now
	}
	if jb.liveRuns == 0 && jb.idleSince == 0 && occ.openSteps > 0 {
		jb.idleSince = now
	}
	if occ.steps[op.task.step].openTasks == 0 {
		// Other steps may have become ready.
		jb.trackSteps(now, occ)
		return
	}
	occ.steps[op.task.step].trackWait(now, true)
}

// carriedOut reports whether a run with this outcome has run, as far as the
// outcome tells.
func (oc Outcome) carriedOut() bool { return oc != NotStarted && oc != GangIncomplete }

// trackSteps calls trackWait for the steps of an occurrence that is due.
func (jb *job) trackSteps(now model.Instant, occ *occurrence) {
	for s := range occ.steps {
		occ.steps[s].trackWait(now, occ.ready(&jb.spec.Steps[s]))
	}
}

// trackWait updates waitingSince, and reports whether the step waits: it is ready
// and has tasks without a run.
func (sp *step) trackWait(now model.Instant, ready bool) bool {
	switch {
	case sp.idleTasks == 0 || !ready:
		sp.waitingSince = 0
		return false
	case sp.waitingSince == 0:
		sp.waitingSince = now
	}
	return true
}
