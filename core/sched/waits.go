package sched

import "guavarail/core/model"

// trackWaits records since when tasks have waited, after a command was applied.
// Every VM does so by its own clock, so that a new leader knows the times. A VM
// that applied the command late or restored a snapshot finds them too short,
// never too long.
func (pl *Planner[P]) trackWaits(now model.Instant, cmd Command, res Result) {
	for i := range min(len(cmd.ops), len(res.verdicts)) {
		op := &cmd.ops[i]
		if res.verdicts[i] != Accepted {
			continue
		}
		switch op.kind {
		case OpSubmit:
			if jb, ok := pl.st.jobs[op.job.spec.ID]; ok {
				for idx := range jb.tasks {
					jb.tasks[idx].waitingSince = stampOf(now)
				}
			}
		case OpEnd:
			if re, ok := pl.st.find(op.task); ok {
				re.task().waitingSince = stampOf(now)
			}
		}
	}
}

// waitsSince returns since when a waiting task has waited; now if this VM has not
// seen it.
func (tk *task) waitsSince(now model.Instant) model.Instant {
	if tk.waitingSince == 0 {
		return now
	}
	return min(tk.waitingSince.instant(), now)
}
