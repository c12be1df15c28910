package sched

import "guavarail/core/model"

// trackChanges records since when tasks have waited, and since when their attempts
// should stop, after a command was applied. Every VM does so by its own clock, so
// that a new leader knows the times. A VM that applied the command late or restored
// a snapshot finds them too short, never too long.
func (pl *Planner[P]) trackChanges(now model.Instant, cmd Command, res Result) {
	for i := range min(len(cmd.ops), len(res.verdicts)) {
		if res.verdicts[i] == Accepted {
			pl.trackChange(now, &cmd.ops[i])
		}
	}
}

func (pl *Planner[P]) trackChange(now model.Instant, op *Op) {
	switch op.kind {
	case OpSubmit:
		pl.trackJob(now, op.job.spec.ID)
	case OpCancel, OpFail:
		for _, id := range op.jobs {
			pl.trackJob(now, id)
		}
	case OpEnd, OpEvict:
		if re, ok := pl.st.find(op.task); ok {
			re.task().changedAt = stampOf(now)
		}
	}
}

func (pl *Planner[P]) trackJob(now model.Instant, id model.JobID) {
	if jb, ok := pl.st.jobs[id]; ok {
		for i := range jb.tasks {
			jb.tasks[i].changedAt = stampOf(now)
		}
	}
}

// since returns since when the task has waited, or its attempt should stop; now if
// this VM has not seen it.
func (tk *task) since(now model.Instant) model.Instant {
	if tk.changedAt == 0 {
		return now
	}
	return min(tk.changedAt.instant(), now)
}
