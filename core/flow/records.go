package flow

import (
	"maps"
	"slices"
	"strconv"
	"time"

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

// recordCheckPeriod is the time in which all records are compared with the state
// once.
const recordCheckPeriod = 2 * time.Second

// recordCheck compares the leader's records with the state, a part of them in each
// sweep. The zero value begins with the first.
type recordCheck struct {
	// nextJob and nextWorker are the indexes, in the planner's lists, at which the
	// next sweep goes on.
	nextJob, nextWorker int
	// planned has the result of plannedRecords once the current sweep needs it.
	planned map[TaskID]int
}

// checkPart returns the range of indexes, of a list of num, that a sweep checks,
// and where the next sweep goes on. next is where this one does.
func checkPart(next, num int) (from, to, after int) {
	const sweeps = int(recordCheckPeriod / sweepInterval)
	if next >= num {
		next = 0
	}
	to = min(num, next+1+num/sweeps)
	return next, to, to
}

// checkRecords compares a part of the leader's records with the state and repairs
// them. Call it while no operation waits for the next proposal.
func (pl *Planner) checkRecords(now model.Instant) {
	pl.check.planned = nil
	num := len(pl.openJobs)
	from, to, after := checkPart(pl.check.nextJob, num+len(pl.endedJobs))
	pl.check.nextJob = after
	for i := from; i < to; i++ {
		if i < num {
			pl.checkJob(now, pl.openJobs[i])
			continue
		}
		pl.checkJob(now, pl.endedJobs[i-num])
	}
	from, to, pl.check.nextWorker = checkPart(pl.check.nextWorker, len(pl.workers.sorted))
	for _, wk := range pl.workers.sorted[from:to] {
		pl.checkWorker(wk)
	}
	for _, wk := range pl.formerWorkers {
		pl.checkWorker(wk)
	}
}

// checkJob makes the records of the runs of a job that have none, and takes back
// its planned starts that have no record.
func (pl *Planner) checkJob(now model.Instant, jb *job) {
	for _, k := range slices.Sorted(maps.Keys(jb.occurrences)) {
		occ := jb.occurrences[k]
		if jb.liveRuns == 0 && occ.openSteps == 0 {
			continue
		}
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				pl.checkTask(now, NewTaskID(jb.ID(), k, s, i), &occ.steps[s].tasks[i])
			}
		}
	}
}

func (pl *Planner) checkTask(now model.Instant, id TaskID, tk *task) {
	for _, ru := range tk.runs {
		wk := pl.ensureWorker(now, ru.incarnation)
		pl.ensureRun(now, wk, id, ru.attempt)
		if ri := (runID{task: id, attempt: ru.attempt}); pl.placed[ri] != wk {
			pl.placed[ri] = wk
			pl.recordRepair("runOfAnotherWorker", id, ru.attempt, ru.incarnation)
		}
	}
	// Nearly all planned starts are of the next attempt.
	_, next := pl.findRun(id, tk.attempt+1)
	if tk.plannedStarts == 0 || tk.plannedStarts == 1 && next != nil && next.planned {
		return
	}
	if pl.check.planned == nil {
		pl.check.planned = pl.plannedRecords()
	}
	if num := pl.check.planned[id]; num < tk.plannedStarts {
		tk.plannedStarts = num
		pl.recordRepair("plannedStartWithoutRecord", id, tk.attempt+1, Incarnation{})
	}
}

// plannedRecords counts the records of starts that are not applied yet, by task.
func (pl *Planner) plannedRecords() map[TaskID]int {
	counts := map[TaskID]int{}
	for _, workers := range [][]*worker{pl.workers.sorted, pl.formerWorkers} {
		for _, wk := range workers {
			for _, pr := range wk.runs {
				if pr.planned {
					counts[pr.task]++
				}
			}
		}
	}
	return counts
}

// checkWorker drops the records of a worker that have no run in the state. Starts
// and ends that are in no proposal may be proposed again.
func (pl *Planner) checkWorker(wk *worker) {
	for i := len(wk.runs) - 1; i >= 0; i-- {
		pr := wk.runs[i]
		switch {
		case pr.planned && !pl.proposing:
			pl.discardPlanned(wk, pr)
			pl.recordRepair("startWithoutProposal", pr.task, pr.attempt, wk.incarnation)
		case !pr.planned && !pl.st.hasRun(pr.task, pr.attempt, wk.incarnation):
			pl.removeRun(wk, pr)
			pl.recordRepair("recordWithoutRun", pr.task, pr.attempt, wk.incarnation)
		case pr.ending && !pl.proposing:
			pr.ending = false
			pl.recordRepair("endWithoutProposal", pr.task, pr.attempt, wk.incarnation)
		}
	}
}
