package flow

import (
	"slices"

	"guavarail/core/blame"
	"guavarail/core/model"
	"guavarail/core/share"
)

// Status is the state of a job as its submitter sees it. State stores a started
// job that has not ended as Queued; visibleStatus makes it Running.
type Status uint8

// The states of a job.
const (
	Queued Status = iota
	Running
	Completed
	JobFailed
	Cancelled
)

var statusNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the name for logs.
func (sta Status) String() string { return nameOf(statusNames[:], int(sta)) }

// Final reports whether the job has ended, so that no further run starts.
func (sta Status) Final() bool { return sta >= Completed }

// run is one attempt of a task that may still be on a worker.
type run struct {
	attempt     int
	incarnation Incarnation
}

// task is the state of one task of a step.
type task struct {
	// runs are the attempts that may still be on a worker. Only tasks of a
	// Speculative step have more than one.
	runs []run
	// attempt is the highest attempt number used so far, 0 before the first
	// run.
	attempt int
	// failures counts the runs that failed. The first task of a gang counts
	// those of the whole gang.
	failures int
	done     bool
	// checkpoint is where the next run resumes, "" for the beginning.
	checkpoint string
	// plannedStarts counts the starts that the leader has decided and that are
	// not applied yet. It is not replicated.
	plannedStarts int
	// ran is set once a run of the task has ended that was carried out, as far as
	// this VM knows. It is not replicated.
	ran bool
	// idleSince is when the last run that was carried out ended, at the earliest, or
	// else when this VM first found, as the leader, that the task may start; 0
	// before. It is not replicated.
	idleSince model.Instant
}

// waiting reports whether the leader may place the task.
func (tk *task) waiting() bool { return !tk.done && len(tk.runs) == 0 && tk.plannedStarts == 0 }

// find returns the index of a run in tk.runs, or -1.
func (tk *task) find(attempt int) int {
	return slices.IndexFunc(tk.runs, func(ru run) bool { return ru.attempt == attempt })
}

// step is the state of one step of an occurrence.
type step struct {
	tasks []task
	// openTasks counts the tasks that are not done.
	openTasks int
	// idleTasks counts the tasks that are not done and have no run.
	idleTasks int
	// waitingSince is when this VM last started a task of the step or applied the
	// start of one, or first found the step ready with idle tasks; 0 while it is
	// not. It is not replicated.
	waitingSince model.Instant
	// quotaSince is when a plan first found, since the last start of the step, that it waits
	// for the quota of its workspace, 0 before. It is not replicated.
	quotaSince model.Instant
	// claims is the number of claims that the leader last made for the step. It is not
	// replicated.
	claims int
	// progress is what the runs of the step told the last forecast of the leader. It is not
	// replicated.
	progress stepProgress
	// turn is the overdue turn of the step, nil for none, and nextTurn is when it
	// may get the next one. They are not replicated.
	turn     *overdueTurn
	nextTurn model.Instant
	// failedAttempt is the highest attempt number of a gang of which this VM has seen
	// a failure. It is not replicated.
	failedAttempt int
	// work counts the failures of the tasks on this leader. It is not replicated.
	work blame.Work
}

// occurrence is one execution of all steps of a job. A job that does not repeat
// has exactly one.
type occurrence struct {
	steps []step
	// openSteps counts the steps with open tasks.
	openSteps int
}

func newOccurrence(steps []StepSpec) *occurrence {
	occ := &occurrence{steps: make([]step, len(steps)), openSteps: len(steps)}
	for i := range occ.steps {
		num := steps[i].Tasks
		occ.steps[i] = step{tasks: make([]task, num), openTasks: num, idleTasks: num}
	}
	return occ
}

// ready reports whether all steps that the step of spec depends on are complete.
func (occ *occurrence) ready(spec *StepSpec) bool {
	for _, dep := range spec.After {
		if occ.steps[dep].openTasks > 0 {
			return false
		}
	}
	return true
}

// job is one submitted job.
type job struct {
	Job
	// occurrences holds the occurrences that were accessed so far, by their
	// index, from 0.
	occurrences map[int]*occurrence
	// finished counts the complete occurrences.
	finished int
	// started is set once the first run of the job is recorded.
	started bool
	// liveRuns counts the runs that may still be on workers.
	liveRuns int
	status   Status
	// sequence is the position of the job in the order of submission.
	sequence uint64
	// endSeenAt is when this leader first found that the job had ended; its
	// retention counts from then. It is not replicated.
	endSeenAt model.Instant
	// idleSince is the time since which a due occurrence has had open steps
	// while the job had no run, as far as this VM knows, 0 otherwise. It is not
	// replicated.
	idleSince model.Instant
	// load forecasts the load of a serving job. It is not replicated.
	load loadForecast
	// readings holds the recent readings of the job's serving tasks, one for
	// each task. It is not replicated.
	readings []pressureReading
	// waitRecordedAt is when the last event about waiting tasks of the job was
	// recorded. It is not replicated.
	waitRecordedAt model.Instant
	// suspectRecordedAt is the same for events about failures on several workers.
	suspectRecordedAt model.Instant
	// formerService is the service from which a configuration has moved the job, whose workers
	// may still have runs of it. It is not replicated.
	formerService model.ServiceID
	// seat is that of the job's workspace in round, the round of plans of the leader. They
	// are not replicated.
	seat  *seat
	round *share.Round[model.ServiceID, model.WorkspaceID]
}

// occurrenceCount returns the number of occurrences of the whole job.
func (jb *job) occurrenceCount() int { return max(1, jb.spec.Repetitions) }

// occurrence returns occurrence k and creates it on first access.
func (jb *job) occurrence(k int) *occurrence {
	occ, ok := jb.occurrences[k]
	if !ok {
		occ = newOccurrence(jb.spec.Steps)
		jb.occurrences[k] = occ
	}
	return occ
}

// visibleStatus returns the status that the submitter sees.
func (jb *job) visibleStatus() Status {
	if jb.status == Queued && jb.started {
		return Running
	}
	return jb.status
}

// State is the replicated state of the jobs of a cell. The zero value is
// empty and ready to use.
type State struct {
	jobs map[model.JobID]*job
	// submitted counts the jobs submitted so far and numbers them in log order.
	submitted uint64
	// pending counts the jobs that have not started, by queue. It follows from jobs.
	pending map[string]int
	// bytes is the sum of Job.Bytes. It follows from jobs.
	bytes int64
	// hosts holds the incarnations of workers that have runs.
	hosts map[Incarnation]*host
	// terms are the quotas and weights of the workspaces in the configuration.
	terms map[model.WorkspaceID]share.Terms
	// termsSet counts the calls of SetTerms. It is not replicated.
	termsSet uint64
	// used is what the runs of each workspace may be using, at their declared sizes, and
	// reserved what they reserve on the workers of each service. Both follow from jobs.
	used     share.Accounts[model.WorkspaceID]
	reserved share.Accounts[poolCustomer]
	// undated is set if a mark of a host may have no leaseEnd. It is not replicated.
	undated bool
	// withdrawals are the jobs that were cancelled before they were submitted.
	withdrawals withdrawals
}

// Status returns the status and the queue of a job, and false if the job was
// never submitted or has been dropped.
func (st *State) Status(id model.JobID) (Status, string, bool) {
	jb, ok := st.jobs[id]
	if !ok {
		return Queued, "", false
	}
	return jb.visibleStatus(), jb.spec.Queue, true
}

// SetTerms replaces the quotas and weights of the workspaces. Like operations, it is applied
// in log order.
func (st *State) SetTerms(terms map[model.WorkspaceID]share.Terms) {
	st.terms = terms
	st.termsSet++
}

// SetServices moves jobs that have not ended to the service of their queue, whose workers run
// what has not started yet. Jobs of a queue without one stay where they are. Like operations,
// it is applied in log order.
func (st *State) SetServices(byQueue map[string]model.ServiceID) {
	for _, jb := range st.jobs {
		if name, ok := byQueue[jb.spec.Queue]; ok && name != jb.spec.Service && !jb.status.Final() {
			st.moveJob(jb, name)
		}
	}
}

// moveJob moves a job to a service, with what its runs reserve.
func (st *State) moveJob(jb *job, to model.ServiceID) {
	st.countRuns(jb, -1)
	jb.formerService, jb.spec.Service = jb.spec.Service, to
	st.countRuns(jb, 1)
}

// Pending returns the number of jobs of a queue that have not started.
func (st *State) Pending(queue string) int { return st.pending[queue] }

// Len returns the number of jobs in the state, including ended ones.
func (st *State) Len() int { return len(st.jobs) }

// bySubmission returns the jobs in the order of submission.
func (st *State) bySubmission() []*job {
	out := make([]*job, 0, len(st.jobs))
	for _, jb := range st.jobs {
		out = append(out, jb)
	}
	slices.SortFunc(out, func(a, b *job) int {
		if a.sequence < b.sequence {
			return -1
		}
		return 1
	})
	return out
}

// hasRun reports whether a run of a task may still be on the incarnation of a
// worker.
func (st *State) hasRun(id TaskID, attempt int, inc Incarnation) bool {
	_, tk, ok := st.lookup(id)
	return ok && slices.Contains(tk.runs, run{attempt: attempt, incarnation: inc})
}

// lookup resolves a task identifier like find, but changes nothing: it returns false as well
// if the occurrence was not accessed before.
func (st *State) lookup(id TaskID) (*job, *task, bool) {
	jb, ok := st.jobs[id.job]
	if !ok {
		return nil, nil, false
	}
	occ, ok := jb.occurrences[id.occurrence]
	if !ok || id.step >= len(occ.steps) || id.index >= len(occ.steps[id.step].tasks) {
		return nil, nil, false
	}
	return jb, &occ.steps[id.step].tasks[id.index], true
}

// find resolves a task identifier, and returns false if the state does not
// contain the job or the job has no such task. It creates the occurrence on
// first access.
func (st *State) find(id TaskID) (*job, *occurrence, *task, bool) {
	jb, ok := st.jobs[id.job]
	if !ok || id.occurrence >= jb.occurrenceCount() || id.step >= len(jb.spec.Steps) || id.index >= jb.spec.Steps[id.step].Tasks {
		return nil, nil, nil, false
	}
	occ := jb.occurrence(id.occurrence)
	return jb, occ, &occ.steps[id.step].tasks[id.index], true
}
