package flow

// runID identifies a run: a task and the number of its attempt.
type runID struct {
	task    TaskID
	attempt int
}

// addRun adds a run to the records of a worker.
func (pl *Planner) addRun(wk *worker, pr *placedRun) {
	wk.add(pr)
	if pl.placed == nil {
		pl.placed = map[runID]*worker{}
	}
	pl.placed[runID{task: pr.task, attempt: pr.attempt}] = wk
}

// removeRun removes a run from the records of its worker.
func (pl *Planner) removeRun(wk *worker, pr *placedRun) {
	wk.remove(pr)
	id := runID{task: pr.task, attempt: pr.attempt}
	if pl.placed[id] == wk {
		delete(pl.placed, id)
	}
}

// findRun returns the records of a run and of its worker, or nil for both.
func (pl *Planner) findRun(task TaskID, attempt int) (*worker, *placedRun) {
	wk, ok := pl.placed[runID{task: task, attempt: attempt}]
	if !ok {
		return nil, nil
	}
	return wk, wk.find(task, attempt)
}
