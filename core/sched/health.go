package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

const (
	// removeAfter is how long a worker without attempts may be silent before
	// it is forgotten; a replaced VM returns under another name.
	removeAfter = 10 * time.Minute
	// settleTime is how long after a takeover jobs are not yet judged too
	// large, because workers may still be registering.
	settleTime = 15 * time.Second
)

// attribute tells the failure tracker and the learned sizes how an attempt ended.
func (pl *Planner[P]) attribute(now model.Instant, slot int32, lv *live, oc Outcome) {
	wid, spec := pl.st.workers[slot].id, &lv.ref.job.spec
	back := false
	switch oc {
	case Succeeded:
		back = pl.failures.Succeeded(wid, spec.ID)
		pl.kinds.took(spec.Kind, lv.since.age(now))
	case Stopped:
		back = pl.failures.Ran(wid, spec.ID)
	case Broke:
		pl.failures.Failed(wid, spec.ID)
		pl.judge(now, wid, spec.ID)
	case Lost, NotStarted:
		return
	}
	if lv.peak != (amount{}) && oc != Broke {
		pl.kinds.used(spec.Kind, lv.peak)
	}
	if back {
		pl.note("workerTrusted", event.Subject{Worker: wid})
	}
}

// judge puts the worker in quarantine or ends the job, whichever failed.
func (pl *Planner[P]) judge(now model.Instant, wid model.WorkerID, id model.JobID) {
	known := 0
	for _, wk := range pl.st.workers {
		if wk.known {
			known++
		}
	}
	if dur, ok := pl.failures.Quarantine(now, wid, known); ok {
		pl.note("workerQuarantined", event.Subject{Worker: wid}, event.NewField("forS", seconds(dur)))
	}
	if pl.failures.KeepsFailing(id, known) {
		pl.ending = append(pl.ending, Fail(id, ReasonKeepsFailing))
	}
}

// forget drops what is known of a job that ended.
func (pl *Planner[P]) forget(jb *job) {
	pl.queue.forget(jb)
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

// repair ends jobs that can never run and removes workers that are gone.
func (pl *Planner[P]) repair(now model.Instant) []Op {
	ops := pl.ending
	pl.ending = nil
	for _, wid := range pl.failures.EndQuarantines(now) {
		pl.note("workerOnProbation", event.Subject{Worker: wid})
		if slot, ok := pl.st.slots[wid]; ok {
			pl.refresh(slot)
		}
	}
	if now.Sub(pl.started) < settleTime || len(pl.sizes) == 0 {
		return ops
	}
	for _, ln := range pl.queue.lines {
		for pri := range ln.jobs {
			for _, bl := range ln.jobs[pri] {
				if _, ok := bl.peek(); ok && !pl.fitsSomewhere(bl.job.spec.Size) {
					ops = append(ops, Fail(bl.job.spec.ID, ReasonTooLarge))
				}
			}
		}
	}
	return append(ops, pl.removals(now)...)
}

func (pl *Planner[P]) removals(now model.Instant) []Op {
	var ops []Op
	for slot, wk := range pl.st.workers {
		wst := &pl.statuses[slot]
		if wk.known && len(wk.refs) == 0 && !wst.heard && now.Sub(max(wst.seen, pl.started)) > removeAfter {
			ops = append(ops, Remove(wk.id))
		}
	}
	return ops
}
