package flow

import (
	"strconv"

	"guavarail/core/model"
)

// unplan forgets starts that were proposed.
func (jb *job) unplan() {
	for _, occ := range jb.occurrences {
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				occ.steps[s].tasks[i].planned = 0
			}
		}
	}
}

// applied follows the state after an operation, whoever proposed it.
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
		pl.open = append(pl.open, pl.st.jobs[msg.Op.id])
		pl.dirty = true
	}
}

func (pl *Planner) appliedStart(now model.Instant, msg Applied) {
	op := msg.Op
	wk := pl.lifeOf(now, op.life)
	pd := wk.find(op.task, op.attempt)
	if pd != nil && pd.planned {
		pd.planned = false
		if _, _, tk, ok := pl.st.find(op.task); ok && tk.planned > 0 {
			tk.planned--
		}
	}
	if msg.Verdict == Accepted {
		if pd == nil {
			wk.add(newPlaced(pl.st.jobs[op.id], op.task, op.attempt, now).inherit())
		}
		return
	}
	if pd != nil {
		wk.drop(pd)
	}
	pl.dirty = true
	pl.note("startRejected", op.id, op.task.String(), op.life.String(), "verdict", msg.Verdict.String())
}

func (pl *Planner) appliedEnd(now model.Instant, msg Applied) {
	op := msg.Op
	pl.dirty = true
	if msg.Verdict != Accepted {
		return
	}
	wk, pd := pl.holder(op.task, op.attempt)
	if pd == nil {
		return
	}
	wk.drop(pd)
	pl.fell(now, wk, pd)
	pl.judge(now, wk, pd, op.outcome)
	jb := pl.st.jobs[op.id]
	if op.outcome != Succeeded && op.outcome != Stopped {
		pl.note("runEnded", op.id, op.task.String(), wk.life.String(), "attempt", strconv.Itoa(op.attempt),
			"outcome", op.outcome.String())
	}
	if jb != nil && jb.status.Final() && jb.live == 0 {
		pl.note("jobEnded", op.id, "", "", "state", jb.status.String())
	}
}

// holder returns the worker that has a run.
func (pl *Planner) holder(task TaskID, attempt int) (*worker, *placed) {
	for _, wk := range pl.workers.list {
		if pd := wk.find(task, attempt); pd != nil {
			return wk, pd
		}
	}
	for _, wk := range pl.former {
		if pd := wk.find(task, attempt); pd != nil {
			return wk, pd
		}
	}
	return nil, nil
}

// settled ends the proposal under way. What was not applied is decided anew.
func (pl *Planner) settled(msg Settled) {
	if msg.Term != pl.term {
		return
	}
	pl.flying, pl.dirty = false, true
	if msg.Applied {
		return
	}
	for _, wk := range pl.workers.list {
		pl.unplan(wk)
	}
	for _, wk := range pl.former {
		pl.unplan(wk)
	}
}

// unplan forgets what was proposed about the runs of a worker.
func (pl *Planner) unplan(wk *worker) {
	for i := len(wk.placed) - 1; i >= 0; i-- {
		pd := wk.placed[i]
		pd.ending = false
		if !pd.planned {
			continue
		}
		if _, _, tk, ok := pl.st.find(pd.task); ok && tk.planned > 0 {
			tk.planned--
		}
		wk.drop(pd)
	}
}
