package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

const (
	// workerRemovalTime is how long a worker without attempts may send no
	// report before it is removed. The worker of a VM that replaces another
	// registers under another name, so the old record would stay forever.
	workerRemovalTime = 10 * time.Minute
	// registrationTime is the time after this VM became leader during which no
	// job is failed as too large, because workers may still be registering.
	registrationTime = 15 * time.Second
)

// recordOutcome passes the outcome of an attempt to the failure tracker. The
// statistics of its kind get the run time if it succeeded, and the peak usage
// if it is known and the attempt succeeded or was stopped. Lost and NotStarted
// are passed to neither.
func (pl *Planner[P]) recordOutcome(now model.Instant, idx int32, la *liveAttempt, oc Outcome) {
	wid, spec := pl.st.workers[idx].id, &la.ref.job.spec
	restored := false
	switch oc {
	case Succeeded:
		restored = pl.failures.Succeeded(wid, spec.ID)
		pl.kinds.addRunTime(spec.Kind, la.recordedAt.age(now))
	case Stopped:
		restored = pl.failures.Ran(wid, spec.ID)
	case Errored:
		pl.failures.Failed(wid, spec.ID)
		pl.checkFailures(now, wid, spec.ID)
	case Lost, NotStarted:
		return
	}
	if la.peak != (amount{}) && oc != Errored {
		pl.kinds.addPeak(spec.Kind, la.peak)
	}
	if restored {
		// The event "workerTrusted" means that the worker passed its
		// probation, see package health.
		pl.emit("workerTrusted", event.Subject{Worker: wid})
	}
}

// checkFailures puts the worker in quarantine if enough failures are attributed
// to it and, independently, queues an operation that fails the job if the job
// keeps failing. Package health defines both conditions.
func (pl *Planner[P]) checkFailures(now model.Instant, wid model.WorkerID, id model.JobID) {
	workers := 0
	for _, wk := range pl.st.workers {
		if wk.registered {
			workers++
		}
	}
	if dur, ok := pl.failures.Quarantine(now, wid, workers); ok {
		pl.emit("workerQuarantined", event.Subject{Worker: wid}, event.NewField("forS", seconds(dur)))
	}
	if pl.failures.KeepsFailing(id, workers) {
		pl.failOps = append(pl.failOps, Fail(id, ReasonKeepsFailing))
	}
}

// discardJob removes the leader-only state of a job none of whose tasks will run
// again, see TaskState.Final.
func (pl *Planner[P]) discardJob(jb *job) {
	pl.queue.removeJob(jb)
	pl.failures.RemoveJob(jb.spec.ID)
}

// lastEnds returns the index of the last OpEnd for each job in the command.
func lastEnds(cmd Command) map[model.JobID]int {
	last := map[model.JobID]int{}
	for i := range cmd.ops {
		if cmd.ops[i].kind == OpEnd {
			last[cmd.ops[i].task.Job()] = i
		}
	}
	return last
}

// planCleanup returns the operations that fail jobs that keep failing or fit on
// no worker, and that remove workers that stopped reporting. It also moves
// workers whose quarantine has passed to probation.
func (pl *Planner[P]) planCleanup(now model.Instant) []Op {
	ops := pl.failOps
	pl.failOps = nil
	for _, wid := range pl.failures.EndQuarantines(now) {
		pl.emit("workerOnProbation", event.Subject{Worker: wid})
		if idx, ok := pl.st.workerIndexes[wid]; ok {
			// A worker on probation may get a task, so it returns to the
			// placement index.
			pl.updateIndex(idx)
		}
	}
	if now.Sub(pl.leadingSince) < registrationTime || len(pl.workerSizes) == 0 {
		return ops
	}
	for _, tq := range pl.queue.teamOrder {
		for pri := range tq.backlogs {
			for _, bl := range tq.backlogs[pri] {
				if _, ok := bl.peek(); ok && !pl.fitsAnyWorker(bl.job.spec.Size) {
					ops = append(ops, Fail(bl.job.spec.ID, ReasonTooLarge))
				}
			}
		}
	}
	return append(ops, pl.workerRemovals(now)...)
}

func (pl *Planner[P]) workerRemovals(now model.Instant) []Op {
	var ops []Op
	for idx, wk := range pl.st.workers {
		wst := &pl.statuses[idx]
		if wk.registered && len(wk.refs) == 0 && !wst.reporting && now.Sub(max(wst.lastReport, pl.leadingSince)) > workerRemovalTime {
			ops = append(ops, RemoveWorker(wk.id))
		}
	}
	return ops
}
