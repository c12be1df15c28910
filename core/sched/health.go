package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

const (
	// workerRemovalTime is how long a worker without attempts may be silent before
	// it is forgotten; a replaced VM returns under another name.
	workerRemovalTime = 10 * time.Minute
	// registrationTime is how long after a takeover jobs are not yet judged too
	// large, because workers may still be registering.
	registrationTime = 15 * time.Second
)

// recordOutcome tells the failure tracker and the learned sizes how an attempt ended.
func (pl *Planner[P]) recordOutcome(now model.Instant, slot int32, lv *liveAttempt, oc Outcome) {
	wid, spec := pl.st.workers[slot].id, &lv.ref.job.spec
	restored := false
	switch oc {
	case Succeeded:
		restored = pl.failures.Succeeded(wid, spec.ID)
		pl.kinds.addRunTime(spec.Kind, lv.since.age(now))
	case Stopped:
		restored = pl.failures.Ran(wid, spec.ID)
	case Broke:
		pl.failures.Failed(wid, spec.ID)
		pl.checkFailures(now, wid, spec.ID)
	case Lost, NotStarted:
		return
	}
	if lv.peak != (amount{}) && oc != Broke {
		pl.kinds.addPeak(spec.Kind, lv.peak)
	}
	if restored {
		pl.emit("workerTrusted", event.Subject{Worker: wid})
	}
}

// checkFailures puts the worker in quarantine or ends the job, whichever failed.
func (pl *Planner[P]) checkFailures(now model.Instant, wid model.WorkerID, id model.JobID) {
	known := 0
	for _, wk := range pl.st.workers {
		if wk.registered {
			known++
		}
	}
	if dur, ok := pl.failures.Quarantine(now, wid, known); ok {
		pl.emit("workerQuarantined", event.Subject{Worker: wid}, event.NewField("forS", seconds(dur)))
	}
	if pl.failures.KeepsFailing(id, known) {
		pl.failOps = append(pl.failOps, Fail(id, ReasonKeepsFailing))
	}
}

// discardJob drops what is known of a job that ended.
func (pl *Planner[P]) discardJob(jb *job) {
	pl.queue.removeJob(jb)
	pl.failures.Forget(jb.spec.ID)
}

// endsJob reports whether operation i is the last end of a task of its job in
// the command.
func endsJob(cmd Command, i int) bool {
	for _, op := range cmd.ops[i+1:] {
		if op.kind == OpEnd && op.task.Job() == cmd.ops[i].task.Job() {
			return false
		}
	}
	return true
}

// planCleanup ends jobs that can never run and removes workers that are gone.
func (pl *Planner[P]) planCleanup(now model.Instant) []Op {
	ops := pl.failOps
	pl.failOps = nil
	for _, wid := range pl.failures.EndQuarantines(now) {
		pl.emit("workerOnProbation", event.Subject{Worker: wid})
		if slot, ok := pl.st.slots[wid]; ok {
			pl.updateIndex(slot)
		}
	}
	if now.Sub(pl.started) < registrationTime || len(pl.workerSizes) == 0 {
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
	for slot, wk := range pl.st.workers {
		wst := &pl.statuses[slot]
		if wk.registered && len(wk.refs) == 0 && !wst.reporting && now.Sub(max(wst.lastReport, pl.started)) > workerRemovalTime {
			ops = append(ops, Remove(wk.id))
		}
	}
	return ops
}
