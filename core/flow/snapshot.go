package flow

import (
	"maps"
	"slices"
)

// Snapshot is a copy of State, with the jobs in the order of submission.
type Snapshot struct {
	submitted uint64
	jobs      []JobRecord
	silences  []SilenceRecord
	withdrawn []Withdrawal
}

// NewSnapshot returns a snapshot; jobs are in the order of submission, and silences
// in that of the names of the incarnations.
func NewSnapshot(submitted uint64, jobs []JobRecord, silences []SilenceRecord) Snapshot {
	return Snapshot{submitted: submitted, jobs: jobs, silences: silences}
}

// Submitted returns the number of jobs that were ever submitted.
func (sn Snapshot) Submitted() uint64 { return sn.submitted }

// Jobs returns the jobs in the order of submission.
func (sn Snapshot) Jobs() []JobRecord { return sn.jobs }

// Silences returns the marks of silent incarnations, ordered by name.
func (sn Snapshot) Silences() []SilenceRecord { return sn.silences }

// WithWithdrawals returns the snapshot with cancellations of unknown jobs, in log order.
func (sn Snapshot) WithWithdrawals(wds []Withdrawal) Snapshot {
	sn.withdrawn = wds
	return sn
}

// Withdrawals returns the cancellations of unknown jobs, in log order.
func (sn Snapshot) Withdrawals() []Withdrawal { return sn.withdrawn }

// JobRecord is one job of a snapshot.
type JobRecord struct {
	Spec    JobSpec
	Status  Status
	Started bool
	// Sequence is the position of the job in the order of submission, from 1.
	Sequence uint64
	Tasks    []TaskRecord
}

// TaskRecord is one task of a snapshot. Tasks that are in their initial state
// are left out.
type TaskRecord struct {
	Occurrence, Step, Index int
	// Attempt is the highest attempt number used so far, 0 for none.
	Attempt    int
	Failures   int
	Done       bool
	Checkpoint string
	Runs       []RunRecord
}

// RunRecord is one run of a snapshot that may still be on a worker.
type RunRecord struct {
	Attempt     int
	Incarnation Incarnation
}

// Snapshot returns a copy of the state.
func (st *State) Snapshot() Snapshot {
	snap := Snapshot{submitted: st.submitted, silences: st.silences(), withdrawn: slices.Clone(st.withdrawals.byAge)}
	for _, jb := range st.bySubmission() {
		snap.jobs = append(snap.jobs, jb.record())
	}
	return snap
}

func (jb *job) record() JobRecord {
	rec := JobRecord{Spec: jb.spec, Status: jb.status, Started: jb.started, Sequence: jb.sequence}
	for _, k := range slices.Sorted(maps.Keys(jb.occurrences)) {
		occ := jb.occurrences[k]
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				tk := &occ.steps[s].tasks[i]
				if tk.attempt == 0 && !tk.done && tk.failures == 0 && tk.checkpoint == "" {
					continue
				}
				tr := TaskRecord{
					Occurrence: k, Step: s, Index: i, Attempt: tk.attempt, Failures: tk.failures,
					Done: tk.done, Checkpoint: tk.checkpoint,
				}
				for _, ru := range tk.runs {
					tr.Runs = append(tr.Runs, RunRecord{Attempt: ru.attempt, Incarnation: ru.incarnation})
				}
				rec.Tasks = append(rec.Tasks, tr)
			}
		}
	}
	return rec
}

// Restore replaces the state with a snapshot.
func (st *State) Restore(snap Snapshot) {
	*st = State{submitted: snap.submitted}
	for i := range snap.jobs {
		st.restoreJob(&snap.jobs[i])
	}
	for _, rec := range snap.silences {
		st.restoreSilence(rec)
	}
	for _, wd := range snap.withdrawn {
		st.withdrawals.add(wd)
	}
}

func (st *State) restoreJob(rec *JobRecord) {
	jo, err := StoredJob(rec.Spec)
	if err != nil {
		// Unreachable: the job was validated before it was stored.
		return
	}
	submitted := st.submitted
	st.submit(jo)
	st.submitted = submitted
	jb := st.jobs[jo.ID()]
	jb.started, jb.sequence = rec.Started, rec.Sequence
	for i := range rec.Tasks {
		st.restoreTask(jb, &rec.Tasks[i])
	}
	// Restoring the last task may have changed the status.
	jb.status = rec.Status
	st.countPending(jb, 1)
}

func (st *State) restoreTask(jb *job, rec *TaskRecord) {
	id := NewTaskID(jb.ID(), rec.Occurrence, rec.Step, rec.Index)
	_, occ, tk, ok := st.find(id)
	if !ok {
		return
	}
	tk.attempt, tk.failures, tk.checkpoint = rec.Attempt, rec.Failures, rec.Checkpoint
	for _, rr := range rec.Runs {
		tk.runs = append(tk.runs, run{attempt: rr.Attempt, incarnation: rr.Incarnation})
		st.countRun(rr.Incarnation, 1)
		st.countUse(jb, &jb.spec.Steps[rec.Step], 1)
	}
	if len(tk.runs) > 0 {
		occ.steps[rec.Step].idleTasks--
		jb.liveRuns += len(tk.runs)
	}
	if rec.Done {
		st.complete(jb, occ, id, rec.Index)
	}
}
