package shed

import (
	"time"

	"guavarail/core/model"
)

// View is what the scheduler knows about the cell at one time. Durations count from
// then.
type View struct {
	// Workers are the workers that may get tasks.
	Workers []Worker
	// Runs are the runs on these workers that will end, and the long-running tasks that
	// wait for a restart.
	Runs []Run
	// Jobs are the accepted jobs with open tasks that end by themselves, in any order.
	Jobs []Job
	// Full are the services whose tasks find no further room, though they need what is free.
	Full []Full
	// Quotas are what the jobs of workspaces may hold on all workers. A dimension that is 0
	// has no limit.
	Quotas map[model.WorkspaceID]model.Resources
}

// Full tells what the tasks of a service hold while others find no further room.
type Full struct {
	Service model.ServiceID
	// Filler selects which tasks are meant: fillers or others.
	Filler bool
	// MilliCPU is what they hold, in thousandths of a processor.
	MilliCPU float64
}

// Worker is a worker that may get tasks.
type Worker struct {
	Service model.ServiceID
	Labels  []string
	// Room is what the worker has besides long-running tasks.
	Room model.Resources
	// Count is the number of workers for which this one stands.
	Count int
	// IdleMilliCPU is what long-running tasks reserve of its processors and leave
	// idle, in thousandths of a processor. Fillers may use it.
	IdleMilliCPU float64
}

// Run is a run on a worker, or a task that will take room before all jobs.
type Run struct {
	Service model.ServiceID
	// Size is what the run holds. Its processors count for a filler too.
	Size   model.Resources
	Filler bool
	// Pinned marks a run of a long-running task, which holds nothing of Worker.Room.
	Pinned    bool
	Workspace model.WorkspaceID
	// Count is the number of runs for which this one stands.
	Count int
	// After is the expected time until the run ends; negative for never.
	After time.Duration
}

// Step is a step of a job.
type Step struct {
	// Tasks is the number of tasks that have neither ended nor started.
	Tasks int
	Size  model.Resources
	// Duration is the expected run time of a task.
	Duration time.Duration
	// RunningFor is the expected time until the runs of the step end; 0 without
	// runs.
	RunningFor time.Duration
	// After lists the earlier steps that must be complete before.
	After []int
	Label string
	// PerWorker bounds the tasks on one worker; 0 means no bound.
	PerWorker    int
	Gang, Filler bool
}

// Job is a job that was accepted, or that is to be decided.
type Job struct {
	ID       model.JobID
	Service  model.ServiceID
	Priority int
	// Workspace owns the job; empty for none.
	Workspace model.WorkspaceID
	// Kind names the jobs that are alike, for classes of size.
	Kind   string
	Centre model.CentreID
	// Left is the time until the objective is missed, and negative afterwards.
	Left time.Duration
	// Late is set if even the declared durations say that the objective is missed.
	Late bool
	// Rank orders the jobs of a priority that can meet their objective.
	Rank float64
	// Work is the declared work of the open tasks, in processor seconds.
	Work  float64
	Steps []Step
}

// filler reports whether any step consists of fillers.
func (jo *Job) filler() bool {
	for i := range jo.Steps {
		if jo.Steps[i].Filler {
			return true
		}
	}
	return false
}

// waits reports whether any task has not started.
func (jo *Job) waits() bool {
	for i := range jo.Steps {
		if jo.Steps[i].Tasks > 0 {
			return true
		}
	}
	return false
}

// judgeable reports whether the forecast covers the shape of the job.
func (jo *Job) judgeable() bool {
	for i := range jo.Steps {
		if st := &jo.Steps[i]; st.Duration <= 0 || st.Size.Accelerators() > 0 {
			return false
		}
	}
	return len(jo.Steps) > 0
}
