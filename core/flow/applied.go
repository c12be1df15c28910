package flow

import (
	"strconv"

	"guavarail/core/model"
)

// clearPlanned resets the planned starts of all tasks of the job.
func (jb *job) clearPlanned() {
	for _, occ := range jb.occurrences {
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				occ.steps[s].tasks[i].planned = 0
			}
		}
	}
}

// applied updates the leader's records after an operation was applied to the
// state, whichever leader proposed it.
func (pl *Planner) applied(now model.Instant, msg Applied) {
	if !pl.leading {
		return
	}
	op := msg.Op
	switch op.kind {
	case OpSubmit:
		pl.appliedSubmit(msg)
	case OpCancel:
		pl.note("jobCancelled", op.id, "", "", "verdict", msg.Verdict.String())
		pl.dirty = true
	case OpStart:
		pl.appliedStart(now, msg)
	case OpEnd:
		pl.appliedEnd(now, msg)
	}
}

func (pl *Planner) appliedSubmit(msg Applied) {
	spec := &msg.Op.job.spec
	pl.note("jobSubmitted", spec.ID, "", "", "verdict", msg.Verdict.String(), "queue", spec.Queue,
		"priority", strconv.Itoa(spec.Priority), "steps", strconv.Itoa(len(spec.Steps)),
		"objectiveMs", strconv.FormatInt(msg.Op.job.Objective().Milliseconds(), 10))
	if msg.Verdict == Accepted {
		pl.openJobs = append(pl.openJobs, pl.st.jobs[msg.Op.id])
		pl.dirty = true
	}
}

func (pl *Planner) appliedStart(now model.Instant, msg Applied) {
	op := msg.Op
	wk := pl.ensureWorker(now, op.incarnation)
	pr := wk.find(op.task, op.attempt)
	if pr != nil && pr.planned {
		pr.planned = false
		if _, _, tk, ok := pl.st.find(op.task); ok && tk.planned > 0 {
			tk.planned--
		}
	}
	if msg.Verdict == Accepted {
		if pr == nil {
			wk.add(newPlacedRun(pl.st.jobs[op.id], op.task, op.attempt, now).markInherited())
		}
		return
	}
	if pr != nil {
		wk.remove(pr)
	}
	pl.dirty = true
	pl.note("startRejected", op.id, op.task.String(), op.incarnation.String(), "verdict", msg.Verdict.String())
}

func (pl *Planner) appliedEnd(now model.Instant, msg Applied) {
	op := msg.Op
	pl.dirty = true
	if msg.Verdict != Accepted {
		return
	}
	wk, pr := pl.findRun(op.task, op.attempt)
	if pr == nil {
		return
	}
	wk.remove(pr)
	pl.recordFillerEnd(now, wk, pr)
	pl.recordOutcome(now, wk, pr, op.outcome)
	jb := pl.st.jobs[op.id]
	if op.outcome != Succeeded && op.outcome != Stopped {
		pl.note("runEnded", op.id, op.task.String(), wk.incarnation.String(), "attempt", strconv.Itoa(op.attempt),
			"outcome", op.outcome.String())
	}
	if jb != nil && jb.status.Final() && jb.liveRuns == 0 {
		pl.note("jobEnded", op.id, "", "", "state", jb.status.String())
	}
}

// findRun returns a run and the worker that has it, or nils.
func (pl *Planner) findRun(task TaskID, attempt int) (*worker, *placedRun) {
	for _, wk := range pl.workers.sorted {
		if pr := wk.find(task, attempt); pr != nil {
			return wk, pr
		}
	}
	for _, wk := range pl.formerWorkers {
		if pr := wk.find(task, attempt); pr != nil {
			return wk, pr
		}
	}
	return nil, nil
}

// settled ends the current proposal. Operations that were not applied are
// planned again.
func (pl *Planner) settled(msg ProposalEnded) {
	if msg.Term != pl.term {
		return
	}
	pl.proposing, pl.dirty = false, true
	if msg.Applied {
		return
	}
	for _, wk := range pl.workers.sorted {
		pl.discardPlanned(wk)
	}
	for _, wk := range pl.formerWorkers {
		pl.discardPlanned(wk)
	}
}

// discardPlanned drops the proposed starts and ends of the runs of a worker.
func (pl *Planner) discardPlanned(wk *worker) {
	for i := len(wk.runs) - 1; i >= 0; i-- {
		pr := wk.runs[i]
		pr.ending = false
		if !pr.planned {
			continue
		}
		if _, _, tk, ok := pl.st.find(pr.task); ok && tk.planned > 0 {
			tk.planned--
		}
		wk.remove(pr)
	}
}
