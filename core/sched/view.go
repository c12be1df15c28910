package sched

import "guavarail/core/model"

// TaskView is a copy of a task for reads.
type TaskView struct {
	id     model.TaskID
	spec   TaskSpec
	worker model.WorkerID
	// names has the worker of each history entry, "" for none.
	names []model.WorkerID
}

// ID returns the task's identifier.
func (tv TaskView) ID() model.TaskID { return tv.id }

// State returns the state.
func (tv TaskView) State() TaskState { return tv.spec.State }

// Reason returns why the task stops or was closed, NoReason while an attempt
// starts or runs and after the task has finished. While the task waits, it is
// NoReason before the first attempt and ReasonQueued later; Planner.WaitReason
// returns the reason for waiting.
func (tv TaskView) Reason() Reason { return tv.spec.Reason }

// Attempt returns the number of the last attempt, 0 before the first.
func (tv TaskView) Attempt() model.Attempt { return tv.spec.Attempt }

// Worker returns the worker that has the live attempt, or "" for none.
func (tv TaskView) Worker() model.WorkerID { return tv.worker }

// Size returns the commitment of the live or last attempt, or the declared size
// before the first attempt.
func (tv TaskView) Size() model.Resources { return tv.spec.Size }

// Checkpoint returns the checkpoint that the next attempt resumes from, zero
// for none.
func (tv TaskView) Checkpoint() Checkpoint { return tv.spec.Newest }

// Borrowed reports whether the task has a live attempt that is borrowed, see
// the package comment.
func (tv TaskView) Borrowed() bool { return tv.spec.Borrowed }

// History returns the last entries, oldest first.
func (tv TaskView) History() []History { return append([]History(nil), tv.spec.History...) }

// HistoryWorker returns the worker of history entry i, or "" for none.
func (tv TaskView) HistoryWorker(i int) model.WorkerID { return tv.names[i] }

// JobView is a copy of a job for reads.
type JobView struct {
	spec        JobSpec
	closeReason Reason
	counts      [Cancelled + 1]int
}

// Spec returns the fields of the job.
func (jv JobView) Spec() JobSpec { return jv.spec }

// Reason returns why the job was cancelled or failed, else NoReason.
func (jv JobView) Reason() Reason { return jv.closeReason }

// Count returns the number of tasks in a state.
func (jv JobView) Count(ts TaskState) int { return jv.counts[ts] }

// State returns the state of the job as a whole: the first of Running,
// Starting, Stopping, Waiting, Cancelled, Failed and Finished that any task
// has.
func (jv JobView) State() TaskState {
	for _, ts := range []TaskState{Running, Starting, Stopping, Waiting, Cancelled, Failed} {
		if jv.counts[ts] > 0 {
			return ts
		}
	}
	return Finished
}

// WorkerView is a copy of a worker for reads.
type WorkerView struct {
	id              model.WorkerID
	rack            string
	size, committed model.Resources
	tasks           int
}

// ID returns the worker's name.
func (wv WorkerView) ID() model.WorkerID { return wv.id }

// Rack returns the rack.
func (wv WorkerView) Rack() string { return wv.rack }

// Size returns the resources of the worker.
func (wv WorkerView) Size() model.Resources { return wv.size }

// Committed returns the sum of the commitments.
func (wv WorkerView) Committed() model.Resources { return wv.committed }

// Tasks returns the number of live tasks.
func (wv WorkerView) Tasks() int { return wv.tasks }

// Job returns a copy of a job.
func (st *State) Job(id model.JobID) (JobView, bool) {
	jb, ok := st.jobs[id]
	if !ok {
		return JobView{}, false
	}
	return jb.view(), true
}

func (jb *job) view() JobView {
	jv := JobView{spec: jb.spec, closeReason: jb.closeReason}
	for i := range jb.tasks {
		jv.counts[jb.tasks[i].state]++
	}
	return jv
}

// Jobs returns copies of all jobs in the order of submission.
func (st *State) Jobs() []JobView {
	var out []JobView
	for _, jb := range st.inOrder() {
		out = append(out, jb.view())
	}
	return out
}

// Task returns a copy of a task.
func (st *State) Task(id model.TaskID) (TaskView, bool) {
	re, ok := st.find(id)
	if !ok {
		return TaskView{}, false
	}
	tr := TaskRecord{tk: *re.task()}
	tv := TaskView{id: id, spec: tr.Spec(), worker: st.workerName(tr.tk.workerNumber)}
	for _, hi := range tv.spec.History {
		tv.names = append(tv.names, st.workerName(hi.workerNumber))
	}
	return tv, true
}

func (st *State) workerName(num int32) model.WorkerID {
	if num <= 0 || int(num) > len(st.workers) {
		return ""
	}
	return st.workers[num-1].id
}

// Workers returns copies of the registered workers.
func (st *State) Workers() []WorkerView {
	var out []WorkerView
	for _, wk := range st.workers {
		if wk.registered {
			out = append(out, WorkerView{id: wk.id, rack: wk.rack, size: wk.size, committed: wk.committed, tasks: len(wk.refs)})
		}
	}
	return out
}
