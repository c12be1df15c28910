package flow

import (
	"slices"

	"guavarail/core/model"
)

// Apply applies one committed operation. It is deterministic, so that all
// replicas reach the same state.
func (st *State) Apply(op Op) Verdict {
	st.countPending(st.jobs[op.id], -1)
	verdict := st.change(op)
	st.countPending(st.jobs[op.id], 1)
	return verdict
}

// countPending adds by, 1 or -1, to the pending jobs of the queue if jb, which may be nil,
// is one of them.
func (st *State) countPending(jb *job, by int) {
	if jb == nil || jb.started || jb.status != Queued {
		return
	}
	if st.pending == nil {
		st.pending = map[string]int{}
	}
	st.pending[jb.spec.Queue] += by
}

// change changes the state as an operation asks for.
func (st *State) change(op Op) Verdict {
	switch op.kind {
	case OpSubmit:
		return st.submit(op.job)
	case OpCancel:
		return st.cancel(op)
	case OpStart:
		return st.start(op)
	case OpEnd:
		return st.end(op)
	case OpForget:
		return st.forget(op.id)
	case OpSilence:
		return st.markSilent(op)
	case OpHeard:
		return st.markHeard(op.incarnation)
	case OpLeft:
		return Accepted
	}
	return UnknownJob
}

// submit adds a job, unless the state has one with the same identifier or the job was
// cancelled before its submission arrived.
func (st *State) submit(jo Job) Verdict {
	if jb, ok := st.jobs[jo.ID()]; ok {
		if !NewCaller(jo.spec.Workspace).MayAccess(jb.spec.Workspace) {
			return Foreign
		}
		return Repeated
	}
	if st.withdrawals.has(jo) {
		return Withdrawn
	}
	if st.jobs == nil {
		st.jobs = map[model.JobID]*job{}
	}
	st.submitted++
	st.bytes += jo.Bytes()
	st.jobs[jo.ID()] = &job{Job: jo, occurrences: map[int]*occurrence{}, sequence: st.submitted}
	return Accepted
}

// cancel marks a job as cancelled. Its runs go on until the planner has stopped
// them. The owner is compared in log order, because another workspace may have submitted the
// identifier again since the caller's access was checked. A job that is not known is
// withdrawn: its submission may still be on its way.
func (st *State) cancel(op Op) Verdict {
	jb, ok := st.jobs[op.id]
	switch {
	case !ok:
		st.withdrawals.add(Withdrawal{Job: op.id, Workspace: op.caller.workspace, AtMs: op.atMs})
		return UnknownJob
	case !op.caller.MayAccess(jb.spec.Workspace):
		return Foreign
	case jb.status.Final():
		return Repeated
	}
	jb.status = Cancelled
	return Accepted
}

// forget drops an ended job that has no runs.
func (st *State) forget(id model.JobID) Verdict {
	jb, ok := st.jobs[id]
	if !ok || !jb.status.Final() || jb.liveRuns > 0 {
		return Stale
	}
	st.bytes -= jb.Bytes()
	delete(st.jobs, id)
	return Accepted
}

// start records the next run of a task. The check of the attempt number rejects
// a start that was decided on an older state.
func (st *State) start(op Op) Verdict {
	jb, occ, tk, ok := st.find(op.task)
	switch {
	case !ok:
		return UnknownJob
	case jb.status.Final():
		return Closed
	case tk.done || op.attempt <= tk.attempt:
		return Stale
	case len(tk.runs) > 0 && !jb.spec.Steps[op.task.step].Speculative:
		return Stale
	}
	spec, sp := &jb.spec.Steps[op.task.step], &occ.steps[op.task.step]
	if st.overQuota(jb, spec, sp) {
		return OverQuota
	}
	if len(tk.runs) == 0 {
		sp.idleTasks--
	}
	tk.attempt = op.attempt
	tk.runs = append(tk.runs, run{attempt: op.attempt, incarnation: op.incarnation})
	st.countRun(op.incarnation, 1)
	st.countUse(jb, spec, 1)
	jb.started = true
	jb.liveRuns++
	return Accepted
}

// end removes a run and updates its task, step and job according to the
// outcome.
func (st *State) end(op Op) Verdict {
	jb, occ, tk, ok := st.find(op.task)
	if !ok {
		return UnknownJob
	}
	spec := &jb.spec.Steps[op.task.step]
	sp := &occ.steps[op.task.step]
	pos := tk.find(op.attempt)
	if pos < 0 {
		return st.endLate(op)
	}
	st.countRun(tk.runs[pos].incarnation, -1)
	st.countUse(jb, spec, -1)
	tk.runs = slices.Delete(tk.runs, pos, pos+1)
	jb.liveRuns--
	if !tk.done && len(tk.runs) == 0 {
		sp.idleTasks++
	}
	st.storeCheckpoint(spec, sp, tk, op.checkpoint)
	switch op.outcome {
	case Succeeded:
		// A long-running task starts again until its job is cancelled.
		if spec.LongRunning {
			break
		}
		st.succeed(jb, occ, op.task)
	case Failed:
		st.fail(jb, spec, sp, tk)
	}
	return Accepted
}

// endLate records the success of a run whose end was recorded before as another one, such as
// lost. A later run of the task is stopped then.
func (st *State) endLate(op Op) Verdict {
	if op.outcome != Succeeded || !st.awaitsSuccess(op.task, op.attempt) {
		return Stale
	}
	jb, occ, _, _ := st.find(op.task)
	st.succeed(jb, occ, op.task)
	return Accepted
}

// awaitsSuccess reports whether the success of a run that was started completes its task, which
// is not done yet.
func (st *State) awaitsSuccess(id TaskID, attempt int) bool {
	jb, tk, ok := st.lookup(id)
	return ok && !jb.status.Final() && !tk.done && attempt <= tk.attempt && !jb.spec.Steps[id.step].LongRunning
}

// succeed marks a task as done. The success of a task of a gang is that of all of them.
func (st *State) succeed(jb *job, occ *occurrence, id TaskID) {
	if !jb.spec.Steps[id.step].Gang {
		st.complete(jb, occ, id, id.index)
		return
	}
	for i := range occ.steps[id.step].tasks {
		st.complete(jb, occ, id, i)
	}
}

// fail counts a failure of a task and fails the job if the task has failed
// JobSpec.MaxFailures times. The failures of a gang are counted for the gang as
// a whole, on its first task. A long-running step never fails the job.
func (st *State) fail(jb *job, spec *StepSpec, sp *step, tk *task) {
	if spec.Gang {
		tk = &sp.tasks[0]
	}
	tk.failures++
	if spec.LongRunning || tk.done || jb.status.Final() {
		return
	}
	if jb.spec.MaxFailures > 0 && tk.failures >= jb.spec.MaxFailures {
		jb.status = JobFailed
	}
}

// storeCheckpoint stores the checkpoint of a run, unless it is empty. The tasks
// of a gang share one checkpoint.
func (st *State) storeCheckpoint(spec *StepSpec, sp *step, tk *task, checkpoint string) {
	if checkpoint == "" || !spec.Checkpoints {
		return
	}
	if !spec.Gang {
		tk.checkpoint = checkpoint
		return
	}
	for i := range sp.tasks {
		sp.tasks[i].checkpoint = checkpoint
	}
}

// complete marks a task as done, and its step, occurrence and job as complete
// when it was the last one open.
func (st *State) complete(jb *job, occ *occurrence, id TaskID, index int) {
	sp := &occ.steps[id.step]
	tk := &sp.tasks[index]
	if tk.done {
		return
	}
	tk.done, tk.checkpoint = true, ""
	if len(tk.runs) == 0 {
		sp.idleTasks--
	}
	sp.openTasks--
	if sp.openTasks > 0 {
		return
	}
	occ.openSteps--
	if occ.openSteps > 0 {
		return
	}
	jb.finished++
	if jb.finished == jb.occurrenceCount() && !jb.status.Final() {
		jb.status = Completed
	}
}
