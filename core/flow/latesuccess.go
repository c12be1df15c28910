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

// proposeLateSuccesses proposes the successes of runs whose ends were recorded before the list
// arrived, because the lease of the worker had ended or a later incarnation was heard.
func (pl *Planner) proposeLateSuccesses(ended []EndReport) {
	for i := range ended {
		if er := &ended[i]; pl.isLateSuccess(er) {
			pl.pendingOps = append(pl.pendingOps, End(er.Task, er.Attempt, Succeeded, ""))
			pl.recordEvent("successHeardLate", er.Task.job, er.Task.String(), "", "attempt", strconv.Itoa(er.Attempt))
		}
	}
}
