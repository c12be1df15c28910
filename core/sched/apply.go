package sched

import "guavarail/core/model"

func (st *State) submit(op *Op) Verdict {
	spec := op.job.spec
	if spec.Tasks < 1 {
		return UnknownJob
	}
	if existing, ok := st.jobs[spec.ID]; ok {
		if existing.spec != spec {
			return Conflict
		}
		return Repeated
	}
	if st.jobs == nil {
		st.jobs = map[model.JobID]*job{}
	}
	st.submitted++
	jb := &job{spec: spec, tasks: make([]task, spec.Tasks), sequence: st.submitted, open: spec.Tasks}
	for i := range jb.tasks {
		jb.tasks[i].size = pack(spec.Size)
		jb.tasks[i].addHistory(HistoryQueued, ReasonQueued)
	}
	st.jobs[spec.ID] = jb
	st.bytes += spec.bytes()
	return Accepted
}

// closeJobs closes the named jobs: their waiting tasks become final at once,
// live tasks when their attempt has ended. The verdict is Accepted if any job
// was closed, else UnknownJob if any job is missing, else Repeated.
func (st *State) closeJobs(ids []model.JobID, reason Reason) Verdict {
	verdict := Repeated
	for _, id := range ids {
		jb, ok := st.jobs[id]
		if !ok {
			if verdict != Accepted {
				verdict = UnknownJob
			}
			continue
		}
		if jb.closeReason != NoReason || jb.open == 0 {
			continue
		}
		verdict = Accepted
		st.closeJob(jb, reason)
	}
	return verdict
}

func (st *State) closeJob(jb *job, reason Reason) {
	jb.closeReason = reason
	for i := range jb.tasks {
		tk := &jb.tasks[i]
		switch tk.state {
		case Waiting:
			st.closeTask(ref{job: jb, index: int32(i)}, closedState(reason))
		case Starting, Running:
			tk.state, tk.reason = Stopping, reason
			tk.addHistory(HistoryStopRequested, reason)
		case Stopping, Finished, Failed, Cancelled:
		}
	}
}

func closedState(reason Reason) TaskState {
	if reason == ReasonCancelled {
		return Cancelled
	}
	return Failed
}

// closeTask puts a task without a live attempt into a final state. When the
// last task of a job is final, the job counts as completed, and the oldest
// completed jobs beyond retainedTasks are deleted.
func (st *State) closeTask(re ref, to TaskState) {
	tk := re.task()
	tk.state, tk.reason = to, re.job.closeReason
	if to != Finished {
		tk.addHistory(HistoryClosed, re.job.closeReason)
	}
	re.job.open--
	if re.job.open > 0 {
		return
	}
	st.completed++
	re.job.done = st.completed
	st.completedJobs = append(st.completedJobs, re.job.spec.ID)
	st.retainedTaskCount += len(re.job.tasks)
	for st.retainedTaskCount > retainedTasks && len(st.completedJobs) > 1 {
		oldest := st.completedJobs[0]
		st.completedJobs = st.completedJobs[1:]
		st.retainedTaskCount -= len(st.jobs[oldest].tasks)
		st.bytes -= st.jobs[oldest].spec.bytes()
		delete(st.jobs, oldest)
	}
}

func (st *State) registerWorker(op *Op) Verdict {
	if op.worker == "" || !packable(op.size) {
		return UnknownWorker
	}
	idx, ok := st.workerIndexes[op.worker]
	if !ok {
		if st.workerIndexes == nil {
			st.workerIndexes = map[model.WorkerID]int32{}
		}
		idx = int32(len(st.workers))
		st.workerIndexes[op.worker] = idx
		st.workers = append(st.workers, &worker{id: op.worker})
	}
	wk := st.workers[idx]
	if wk.registered && wk.rack == op.rack && wk.size == op.size {
		return Repeated
	}
	if !wk.committed.FitsIn(op.size) {
		return DoesNotFit
	}
	wk.registered, wk.rack, wk.size = true, op.rack, op.size
	return Accepted
}

func (st *State) removeWorker(op *Op) Verdict {
	wk, idx, ok := st.worker(op.worker)
	if !ok {
		return UnknownWorker
	}
	if len(wk.refs) > 0 {
		return InUse
	}
	wk.registered, wk.refs = false, nil
	delete(st.silent, idx)
	return Accepted
}

// start records the next attempt. The check of the attempt number rejects a
// start that was planned on an older state.
func (st *State) start(op *Op) Verdict {
	re, ok := st.find(op.task)
	if !ok {
		return UnknownJob
	}
	tk := re.task()
	if re.job.closeReason != NoReason {
		return Closed
	}
	if tk.state != Waiting || op.attempt != tk.attempt+1 || op.checkpoint != tk.newest {
		return StaleAttempt
	}
	wk, idx, ok := st.worker(op.worker)
	if !ok {
		return UnknownWorker
	}
	if st.isSilent(idx) {
		return SilentWorker
	}
	if !packable(op.size) || !op.size.FitsIn(wk.free()) {
		return DoesNotFit
	}
	tk.state, tk.attempt, tk.workerNumber, tk.size = Starting, op.attempt, idx+1, pack(op.size)
	tk.borrowed, tk.reason = op.borrowed, NoReason
	wk.committed = wk.committed.Add(op.size)
	wk.refs = append(wk.refs, re)
	tk.addHistory(HistoryStarted, NoReason)
	return Accepted
}

// updateAttempt applies an operation to a live attempt.
func (st *State) updateAttempt(op *Op) Verdict {
	re, ok := st.find(op.task)
	if !ok {
		return UnknownJob
	}
	tk := re.task()
	if op.attempt != tk.attempt || !tk.state.Live() {
		return StaleAttempt
	}
	switch op.kind {
	case OpConfirm:
		return tk.confirm(op.checkpoint)
	case OpCheckpoint:
		return tk.checkpoint(op.checkpoint)
	case OpEvict:
		if tk.state == Stopping {
			return Repeated
		}
		tk.state, tk.reason = Stopping, op.reason
		tk.addHistory(HistoryStopRequested, op.reason)
		return Accepted
	case OpResize:
		return st.resize(re, op.size)
	}
	st.end(re, op.outcome)
	return Accepted
}

// confirm records that the attempt runs. from is the checkpoint that it resumed
// from. If that is not the newest one, the worker could not read the newest
// one: it is discarded, and later attempts resume from the previous one, or
// from the beginning if from is not the previous one either.
func (tk *task) confirm(from Checkpoint) Verdict {
	if tk.state != Starting {
		return Repeated
	}
	tk.state = Running
	tk.addHistory(HistoryRunning, NoReason)
	if !tk.newest.IsZero() && tk.newest.attempt != tk.attempt && from != tk.newest {
		tk.newest = from
		if from != tk.previous {
			tk.newest = Checkpoint{}
		}
		tk.previous = Checkpoint{}
		tk.addHistory(HistoryCheckpointUnreadable, NoReason)
	}
	return Accepted
}

func (tk *task) checkpoint(cp Checkpoint) Verdict {
	if cp.attempt != tk.attempt || !tk.newest.Before(cp) {
		return Repeated
	}
	tk.previous, tk.newest = tk.newest, cp
	return Accepted
}

func (st *State) resize(re ref, size model.Resources) Verdict {
	tk := re.task()
	wk := st.workers[tk.workerNumber-1]
	rest := wk.committed.Sub(tk.size.resources())
	if !packable(size) || !rest.Add(size).FitsIn(wk.size) {
		return DoesNotFit
	}
	wk.committed = rest.Add(size)
	tk.size = pack(size)
	return Accepted
}

var outcomeHistory = [...]HistoryKind{
	0, HistorySucceeded, HistoryErrored, HistoryStopped, HistoryLost, HistoryNotStarted,
}

// end releases the commitment. A task that succeeded or whose job is closed
// becomes final; any other task waits for its next attempt.
func (st *State) end(re ref, oc Outcome) {
	tk := re.task()
	wk := st.workers[tk.workerNumber-1]
	wk.committed = wk.committed.Sub(tk.size.resources())
	wk.removeRef(re)
	kind := HistoryLost
	if int(oc) < len(outcomeHistory) && oc != 0 {
		kind = outcomeHistory[oc]
	}
	tk.addHistory(kind, tk.reason)
	tk.workerNumber, tk.borrowed = 0, false
	switch {
	case re.job.closeReason != NoReason:
		st.closeTask(re, closedState(re.job.closeReason))
	case oc == Succeeded:
		st.closeTask(re, Finished)
	default:
		tk.state, tk.reason = Waiting, ReasonQueued
		tk.addHistory(HistoryQueued, ReasonQueued)
	}
}
