package flow

import (
	"strconv"

	"guavarail/core/model"
)

// ensureRun returns the record of a run on a worker, and creates it if the state
// has the run there. It returns nil if the state doesn't.
func (pl *Planner) ensureRun(now model.Instant, wk *worker, task TaskID, attempt int) *placedRun {
	if pr := wk.find(task, attempt); pr != nil {
		return pr
	}
	if !pl.st.hasRun(task, attempt, wk.incarnation) {
		return nil
	}
	pl.recordRepair("runWithoutRecord", task, attempt, wk.incarnation)
	return pl.inheritRun(now, wk, task, attempt)
}

// inheritRun adds the record of a run that the state has.
func (pl *Planner) inheritRun(now model.Instant, wk *worker, task TaskID, attempt int) *placedRun {
	jb, _, tk, _ := pl.st.find(task)
	pr := newPlacedRun(jb, task, attempt, now).markInherited()
	pr.checkpoint = tk.checkpoint
	pl.addRun(wk, pr)
	return pr
}

// recordRepair records that a record of this leader differed from the state.
func (pl *Planner) recordRepair(why string, task TaskID, attempt int, inc Incarnation) {
	pl.recordEvent("recordRepaired", task.job, task.String(), inc.String(), "why", why, "attempt", strconv.Itoa(attempt))
}
