package flow

import "strconv"

// isLateSuccess reports whether a worker reports the success of a run for which the state has
// another end, or of which a record has another end under way, and the task is not done.
func (pl *Planner) isLateSuccess(er *EndReport) bool {
	if er.Outcome != Succeeded || !pl.st.awaitsSuccess(er.Task, er.Attempt) {
		return false
	}
	_, pr := pl.findRun(er.Task, er.Attempt)
	return pr == nil || pr.ending && pr.reportedOutcome != Succeeded
}

// proposeLateSuccess proposes the success of a run whose end was recorded before the list arrived,
// because the lease of the worker had ended or a later incarnation was heard. It returns false if
// the end is none.
func (pl *Planner) proposeLateSuccess(er *EndReport) bool {
	if !pl.isLateSuccess(er) {
		return false
	}
	pl.pendingOps = append(pl.pendingOps, End(er.Task, er.Attempt, Succeeded, ""))
	pl.recordEvent("successHeardLate", er.Task.job, er.Task.String(), "", "attempt", strconv.Itoa(er.Attempt))
	return true
}
