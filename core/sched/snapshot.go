package sched

import (
	"slices"

	"guavarail/core/model"
)

// Snapshot is a copy of a State.
type Snapshot struct {
	submitted, completed uint64
	workers              []WorkerRecord
	jobs                 []JobRecord
}

// NewSnapshot returns a snapshot; workers are ordered by index.
func NewSnapshot(submitted, completed uint64, workers []WorkerRecord, jobs []JobRecord) Snapshot {
	return Snapshot{submitted: submitted, completed: completed, workers: workers, jobs: jobs}
}

// Submitted returns the number of all jobs that were ever submitted.
func (sn Snapshot) Submitted() uint64 { return sn.submitted }

// Completed returns the number of all jobs that ever completed: jobs whose
// tasks are all final, deleted ones included.
func (sn Snapshot) Completed() uint64 { return sn.completed }

// Workers returns the workers by index, from 0. The caller must not change
// them.
func (sn Snapshot) Workers() []WorkerRecord { return sn.workers }

// Jobs returns the jobs in the order of submission. The caller must not
// change them.
func (sn Snapshot) Jobs() []JobRecord { return sn.jobs }

// WorkerRecord is a worker in a snapshot.
type WorkerRecord struct {
	id         model.WorkerID
	rack       string
	size       model.Resources
	registered bool
	silent     bool
}

// NewWorkerRecord returns the record of a worker. registered is false for a
// removed worker that only task histories refer to.
func NewWorkerRecord(id model.WorkerID, rack string, size model.Resources, registered bool) WorkerRecord {
	return WorkerRecord{id: id, rack: rack, size: size, registered: registered}
}

// WithSilent returns a copy of the record of a worker that is marked as silent
// or is not.
func (wr WorkerRecord) WithSilent(silent bool) WorkerRecord {
	wr.silent = silent
	return wr
}

// ID returns the worker's name.
func (wr WorkerRecord) ID() model.WorkerID { return wr.id }

// Rack returns the worker's rack.
func (wr WorkerRecord) Rack() string { return wr.rack }

// Size returns the resources of the worker.
func (wr WorkerRecord) Size() model.Resources { return wr.size }

// Registered reports whether the worker is registered.
func (wr WorkerRecord) Registered() bool { return wr.registered }

// Silent reports whether the worker is marked as silent.
func (wr WorkerRecord) Silent() bool { return wr.silent }

// JobRecord is a job in a snapshot.
type JobRecord struct {
	spec           JobSpec
	sequence, done uint64
	closeReason    Reason
	tasks          []TaskRecord
}

// NewJobRecord returns the record of a job. sequence and done are its
// positions, from 1, in the orders of submission and completion; done is 0
// while a task is not final.
func NewJobRecord(spec JobSpec, sequence, done uint64, closeReason Reason, tasks []TaskRecord) JobRecord {
	return JobRecord{spec: spec, sequence: sequence, done: done, closeReason: closeReason, tasks: tasks}
}

// Spec returns the fields of the job.
func (jr JobRecord) Spec() JobSpec { return jr.spec }

// Sequence returns the position in the order of submission, from 1.
func (jr JobRecord) Sequence() uint64 { return jr.sequence }

// Done returns the position in the order of completion, from 1; 0 while a task
// is not final.
func (jr JobRecord) Done() uint64 { return jr.done }

// CloseReason returns why the job was cancelled or failed, else NoReason.
func (jr JobRecord) CloseReason() Reason { return jr.closeReason }

// Tasks returns the tasks. The caller must not change them.
func (jr JobRecord) Tasks() []TaskRecord { return jr.tasks }

// TaskRecord is a task in a snapshot.
type TaskRecord struct {
	tk task
}

// TaskSpec holds the fields of a TaskRecord.
type TaskSpec struct {
	State    TaskState
	Reason   Reason
	Borrowed bool
	Attempt  model.Attempt
	// WorkerNumber is the worker's index in the snapshot plus one, 0 for none.
	WorkerNumber     int32
	Size             model.Resources
	Newest, Previous Checkpoint
	History          []History
}

// NewTaskRecord returns the record of a task.
func NewTaskRecord(spec TaskSpec) TaskRecord {
	tk := task{
		size: pack(spec.Size), workerNumber: spec.WorkerNumber, attempt: spec.Attempt, newest: spec.Newest, previous: spec.Previous,
		state: spec.State, reason: spec.Reason, borrowed: spec.Borrowed,
	}
	for _, hi := range spec.History[:min(len(spec.History), historyLength)] {
		tk.history[tk.historyLen] = historyStep{kind: hi.kind, reason: hi.reason, attempt: uint16(hi.attempt), workerNumber: hi.workerNumber}
		tk.historyLen++
	}
	return TaskRecord{tk: tk}
}

// Spec returns the fields of the record.
func (tr *TaskRecord) Spec() TaskSpec {
	tk := &tr.tk
	return TaskSpec{
		State: tk.state, Reason: tk.reason, Borrowed: tk.borrowed, Attempt: tk.attempt, WorkerNumber: tk.workerNumber,
		Size: tk.size.resources(), Newest: tk.newest, Previous: tk.previous, History: tk.historyEntries(),
	}
}

// Snapshot returns a copy that later commands do not change.
func (st *State) Snapshot() Snapshot {
	sn := Snapshot{submitted: st.submitted, completed: st.completed}
	for idx, wk := range st.workers {
		rec := NewWorkerRecord(wk.id, wk.rack, wk.size, wk.registered)
		sn.workers = append(sn.workers, rec.WithSilent(st.isSilent(int32(idx))))
	}
	for _, jb := range st.inOrder() {
		rec := JobRecord{spec: jb.spec, sequence: jb.sequence, done: jb.done, closeReason: jb.closeReason}
		rec.tasks = make([]TaskRecord, len(jb.tasks))
		for i := range jb.tasks {
			rec.tasks[i].tk = jb.tasks[i]
		}
		sn.jobs = append(sn.jobs, rec)
	}
	return sn
}

// inOrder returns the jobs in the order of submission.
func (st *State) inOrder() []*job {
	out := make([]*job, 0, len(st.jobs))
	for _, jb := range st.jobs {
		out = append(out, jb)
	}
	slices.SortFunc(out, func(a, b *job) int { return int(a.sequence) - int(b.sequence) })
	return out
}

// Restore replaces the state by the content of a snapshot.
func (st *State) Restore(sn Snapshot) {
	*st = State{
		jobs: make(map[model.JobID]*job, len(sn.jobs)), workerIndexes: make(map[model.WorkerID]int32, len(sn.workers)),
		submitted: sn.submitted, completed: sn.completed, silentMarks: st.silentMarks,
	}
	for i, wr := range sn.workers {
		st.workerIndexes[wr.id] = int32(i)
		st.workers = append(st.workers, &worker{id: wr.id, rack: wr.rack, size: wr.size, registered: wr.registered})
		if wr.silent {
			st.addSilent(int32(i))
		}
	}
	var completed []*job
	for _, rec := range sn.jobs {
		jb := st.restoreJob(rec)
		st.jobs[jb.spec.ID] = jb
		st.bytes += jb.spec.bytes()
		if jb.done > 0 {
			completed = append(completed, jb)
		}
	}
	slices.SortFunc(completed, func(a, b *job) int { return int(a.done) - int(b.done) })
	for _, jb := range completed {
		st.completedJobs = append(st.completedJobs, jb.spec.ID)
		st.retainedTaskCount += len(jb.tasks)
	}
}

func (st *State) restoreJob(rec JobRecord) *job {
	jb := &job{spec: rec.spec, tasks: make([]task, len(rec.tasks)), sequence: rec.sequence, closeReason: rec.closeReason, done: rec.done}
	for i := range rec.tasks {
		tk := rec.tasks[i].tk
		jb.tasks[i] = tk
		if !tk.state.Final() {
			jb.open++
		}
		if tk.state.Live() && tk.workerNumber > 0 && int(tk.workerNumber) <= len(st.workers) {
			wk := st.workers[tk.workerNumber-1]
			wk.refs = append(wk.refs, ref{job: jb, index: int32(i)})
			wk.committed = wk.committed.Add(tk.size.resources())
		}
	}
	return jb
}
