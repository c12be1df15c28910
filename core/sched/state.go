package sched

import "guavarail/core/model"

const (
	// historyLength is the number of history entries of a task; more would
	// exceed the budget of 256 bytes for a task.
	historyLength = 8
	// retainedTasks is the number of tasks, in all, up to which completed jobs
	// are retained for reads and to detect repeated submissions; about 13 MB.
	retainedTasks = 100_000
)

// task is one task; its job and index follow from where it is stored.
type task struct {
	// size is the commitment while the task is live, else that of the last
	// attempt, or the declared size before the first attempt.
	size amount
	// workerNumber is the number of the worker, which is its index plus one,
	// while the task is live, else 0.
	workerNumber int32
	attempt      model.Attempt
	// changedAt is when this VM applied the submission of the task, the end of its
	// last attempt or the request to stop the live one, whichever was last; 0 if
	// that was before a restart or a snapshot. It is not replicated.
	changedAt stamp
	// newest is the checkpoint that the next attempt resumes from, previous
	// the one to fall back to. newest is never before previous.
	newest, previous Checkpoint
	history          [historyLength]historyStep
	historyLen       uint8
	state            TaskState
	reason           Reason
	// borrowed: the live attempt is borrowed, see the package comment.
	borrowed bool
}

// historyStep is a packed History entry. It holds the low 16 bits of the
// attempt number, which suffice because a history covers only the last few
// attempts.
type historyStep struct {
	workerNumber int32
	attempt      uint16
	kind         HistoryKind
	reason       Reason
}

// historyEntries returns the history, oldest first.
func (tk *task) historyEntries() []History {
	out := make([]History, tk.historyLen)
	for i, hs := range tk.history[:tk.historyLen] {
		att := tk.attempt - model.Attempt(uint16(tk.attempt)-hs.attempt)
		out[i] = History{kind: hs.kind, reason: hs.reason, attempt: att, workerNumber: hs.workerNumber}
	}
	return out
}

func (tk *task) addHistory(kind HistoryKind, reason Reason) {
	hi := historyStep{kind: kind, reason: reason, attempt: uint16(tk.attempt), workerNumber: tk.workerNumber}
	if tk.historyLen == historyLength {
		copy(tk.history[:], tk.history[1:])
		tk.historyLen--
	}
	tk.history[tk.historyLen] = hi
	tk.historyLen++
}

// job is one submitted job with its tasks.
type job struct {
	spec  JobSpec
	tasks []task
	// sequence is the position in the order of submission, from 1.
	sequence uint64
	// open counts the tasks that are not in a final state.
	open int
	// closeReason is why the job was cancelled or failed, else NoReason; no
	// further attempt of a closed job starts.
	closeReason Reason
	// done is the position in the order of completion, from 1; 0 while a task
	// is not final.
	done uint64
}

// ref identifies a task.
type ref struct {
	job   *job
	index int32
}

func (re ref) task() *task { return &re.job.tasks[re.index] }

// isRestart reports whether the next attempt of the task replaces one of a service,
// which its callers miss until then.
func (re ref) isRestart() bool {
	return re.job.spec.Priority == model.Service && re.task().attempt > 0
}

func (re ref) id() model.TaskID { return model.NewTaskID(re.job.spec.ID, int(re.index)) }

// worker is one worker VM.
type worker struct {
	id   model.WorkerID
	rack string
	size model.Resources
	// committed is the sum of the commitments of refs. It is at most size in
	// every dimension (P1).
	committed model.Resources
	// refs are the live tasks on the worker.
	refs []ref
	// registered is false after the worker was removed; refs is empty then.
	registered bool
}

func (wk *worker) free() model.Resources { return wk.size.Sub(wk.committed) }

func (wk *worker) removeRef(re ref) {
	for i := range wk.refs {
		if wk.refs[i] == re {
			last := len(wk.refs) - 1
			wk.refs[i] = wk.refs[last]
			wk.refs[last] = ref{}
			wk.refs = wk.refs[:last]
			return
		}
	}
}

// State is the replicated state of the jobs of one data centre. The zero value
// is empty and ready to use.
type State struct {
	jobs map[model.JobID]*job
	// workers has an entry for every worker name that was ever registered, so
	// that task histories can name removed workers. workerIndexes has the index
	// of each name in workers.
	workers       []*worker
	workerIndexes map[model.WorkerID]int32
	// silent has the serial number of the mark of each worker that is marked as
	// silent, by the worker's index. silentMarks is the last serial number. The
	// numbers tell marks on this replica apart and are not replicated.
	silent      map[int32]uint64
	silentMarks uint64
	// submitted and completed count jobs; they give each job its position in
	// the orders of submission and completion.
	submitted, completed uint64
	// completedJobs lists the retained completed jobs in the order of
	// completion; retainedTaskCount is the number of their tasks.
	completedJobs     []model.JobID
	retainedTaskCount int
	// bytes is the sum of Job.Bytes. It follows from jobs.
	bytes int64
}

// Apply applies one committed command. It is deterministic, and each operation
// that is not accepted has no effect.
func (st *State) Apply(cmd Command) Result {
	res := Result{verdicts: make([]Verdict, len(cmd.ops))}
	for i := range cmd.ops {
		res.verdicts[i] = st.apply(&cmd.ops[i])
	}
	return res
}

func (st *State) apply(op *Op) Verdict {
	switch op.kind {
	case OpSubmit:
		return st.submit(op)
	case OpCancel:
		return st.closeJobs(op.jobs, ReasonCancelled)
	case OpFail:
		return st.closeJobs(op.jobs, op.reason)
	case OpRegisterWorker:
		return st.registerWorker(op)
	case OpRemoveWorker:
		return st.removeWorker(op)
	case OpMarkSilent:
		return st.markSilent(op)
	case OpClearSilent:
		return st.clearSilent(op)
	case OpStart:
		return st.start(op)
	case OpConfirm, OpEnd, OpCheckpoint, OpEvict, OpResize:
		return st.updateAttempt(op)
	}
	return UnknownJob
}

// find returns the task with the given identifier.
func (st *State) find(id model.TaskID) (ref, bool) {
	jb, ok := st.jobs[id.Job()]
	if !ok || id.Index() < 0 || id.Index() >= len(jb.tasks) {
		return ref{}, false
	}
	return ref{job: jb, index: int32(id.Index())}, true
}

// worker returns the registered worker with the given name and its index.
func (st *State) worker(id model.WorkerID) (*worker, int32, bool) {
	idx, ok := st.workerIndexes[id]
	if !ok || !st.workers[idx].registered {
		return nil, 0, false
	}
	return st.workers[idx], idx, true
}
