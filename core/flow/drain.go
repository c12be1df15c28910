package flow

import (
	"strconv"

	"guavarail/core/model"
)

// Drain replaces the set of workers that are drained for maintenance: they get no further
// tasks, and runs that may be stopped are. It is repeated while workers are drained, because
// what may be stopped changes. The value is set if the time no longer suffices to wait for the
// end of the worker's runs.
type Drain struct{ Late map[model.WorkerID]bool }

func (Drain) input() {}

// DrainLoad is what runs on a worker, as far as its drain is concerned.
type DrainLoad struct {
	// Runs counts the runs that may be on the worker.
	Runs int
	// Bounded counts those of steps with StepSpec.MaxUnavailable.
	Bounded int
	// Stuck is set if a bounded run may never be stopped.
	Stuck bool
	// Blocked is set if a bounded run may not be stopped now.
	Blocked bool
}

// drains are the workers that are drained. The zero value has none.
type drains struct {
	late map[model.WorkerID]bool
	// addresses has the address of each drained worker that has been heard, so that one that
	// joins there in its place is drained as well.
	addresses map[string]model.WorkerID
}

// has reports whether a worker is drained.
func (dr *drains) has(wk *worker) bool {
	if len(dr.late) == 0 {
		return false
	}
	if _, ok := dr.late[wk.incarnation.worker]; ok {
		return true
	}
	_, ok := dr.addresses[wk.address]
	return ok && wk.address != ""
}

// isLate reports whether the time for the drain of a worker is short.
func (dr *drains) isLate(wk *worker) bool {
	if late, ok := dr.late[wk.incarnation.worker]; ok {
		return late
	}
	return dr.late[dr.addresses[wk.address]]
}

// set replaces the drained workers.
func (dr *drains) set(late map[model.WorkerID]bool, workers []*worker) {
	addresses := map[string]model.WorkerID{}
	for adr, id := range dr.addresses {
		if _, ok := late[id]; ok {
			addresses[adr] = id
		}
	}
	for _, wk := range workers {
		if _, ok := late[wk.incarnation.worker]; ok && wk.address != "" {
			addresses[wk.address] = wk.incarnation.worker
		}
	}
	dr.late, dr.addresses = late, addresses
}

// drain handles a Drain.
func (pl *Planner) drain(now model.Instant, msg Drain) {
	pl.drains.set(msg.Late, pl.workers.sorted)
	for _, wk := range pl.workers.sorted {
		drained := pl.drains.has(wk)
		if drained != wk.drained {
			wk.drained, pl.dirty, pl.recheckAnswers = drained, true, true
			pl.recordEvent("workerDrained", "", "", wk.incarnation.String(), "drained", strconv.FormatBool(drained), "runs", strconv.Itoa(len(wk.runs)))
		}
		if drained && pl.hasLeaderLease(now) {
			pl.evictDrained(wk)
		}
	}
}

// evictDrained marks runs on a drained worker for eviction: those of bounded steps as far as
// that permits, those with checkpoints, and once the time is short the others.
func (pl *Planner) evictDrained(wk *worker) {
	for _, pr := range wk.runs {
		if pr.planned || pr.ending || pr.evicting {
			continue
		}
		switch {
		case pr.bounded():
			if !pl.maySpare(pr) {
				continue
			}
		case pr.spec.Checkpoints && !pr.spec.Gang && !pr.spec.LongRunning:
		case !pl.drains.isLate(wk):
			continue
		}
		pl.evictFrom(wk, pr)
	}
}

// bounded reports whether only so many tasks of the run's step may be away.
func (pr *placedRun) bounded() bool {
	return pr.spec.LongRunning && pr.spec.MaxUnavailable >= 0 && !pr.job.status.Final() && !pr.state.done
}

// maySpare reports whether no more tasks of the run's step than it permits are away if the run
// is stopped. The other members of a gang stop with it.
func (pl *Planner) maySpare(pr *placedRun) bool {
	if pr.spec.Gang {
		return pr.spec.Tasks <= pr.spec.MaxUnavailable
	}
	away := pl.away(pr)
	if pl.atWork(pr.task, pr.attempt) {
		away++
	}
	return away <= pr.spec.MaxUnavailable
}

// away counts the tasks of the run's step that are not at work, for whatever cause.
func (pl *Planner) away(pr *placedRun) int {
	num := 0
	id := pr.task
	for i := range pr.step.tasks {
		tk := &pr.step.tasks[i]
		if tk.done {
			continue
		}
		id.index = i
		working := false
		for _, ru := range tk.runs {
			working = working || pl.atWork(id, ru.attempt)
		}
		if !working {
			num++
		}
	}
	return num
}

// atWork reports whether a run of a long-running task is serving and not about to be stopped.
func (pl *Planner) atWork(id TaskID, attempt int) bool {
	wk, pr := pl.findRun(id, attempt)
	return pr != nil && wk.reported && pr.reported && pr.percent >= fullPace && !pr.evicting && !pr.ending && !pl.stale(wk)
}

// DrainLoad returns what runs on a worker, on all of its incarnations that may have runs.
func (pl *Planner) DrainLoad(id model.WorkerID) DrainLoad {
	var out DrainLoad
	if wk, ok := pl.workers.get(id); ok {
		pl.addDrainLoad(&out, wk)
	}
	for _, wk := range pl.formerWorkers {
		if wk.incarnation.worker == id {
			pl.addDrainLoad(&out, wk)
		}
	}
	return out
}

func (pl *Planner) addDrainLoad(out *DrainLoad, wk *worker) {
	for _, pr := range wk.runs {
		out.Runs++
		if !pr.bounded() {
			continue
		}
		out.Bounded++
		if pr.evicting || pr.ending {
			continue
		}
		out.Stuck = out.Stuck || pr.spec.MaxUnavailable == 0 || pr.spec.Gang && pr.spec.Tasks > pr.spec.MaxUnavailable
		out.Blocked = out.Blocked || !pl.maySpare(pr)
	}
}
