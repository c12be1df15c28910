package rest

// JobSubmit is the body of POST /v1/jobs. It can be sent again: the same ID with the
// same content is answered as accepted, with other content as a conflict.
type JobSubmit struct {
	ID   string `json:"id"`
	Team string `json:"team"`
	// Priority is batch (default), service or urgent.
	Priority string `json:"priority,omitempty"`
	// Kind groups jobs whose tasks do the same work; the scheduler learns sizes and run
	// times per kind. The default is the ID of the job.
	Kind  string `json:"kind,omitempty"`
	Tasks int    `json:"tasks"`
	// Size is the declared size of each task.
	Size Resources `json:"size"`
	// RunTimeMs is the declared run time of a task; 0 means unknown.
	RunTimeMs int64 `json:"runTimeMs,omitempty"`
	// Centre is the data centre that runs the job; the default is that of the VM
	// that accepts the job.
	Centre string `json:"centre,omitempty"`
}

// JobAccepted answers POST /v1/jobs.
type JobAccepted struct {
	ID     string `json:"id"`
	Centre string `json:"centre"`
	// Repeated reports that the same job had been submitted before.
	Repeated bool `json:"repeated,omitempty"`
}

// JobCancelled answers POST /v1/jobs/ID/cancel.
type JobCancelled struct {
	ID string `json:"id"`
	// State is always cancelled, even if Repeated is true.
	State string `json:"state"`
	// Repeated reports that the job had finished, failed or been cancelled before, so
	// that this call had no effect.
	Repeated bool `json:"repeated,omitempty"`
}

// Counts is the number of tasks in each state.
type Counts struct {
	Waiting int `json:"waiting"`
	// Starting: an attempt was assigned to a worker, which has not reported it yet.
	Starting int `json:"starting"`
	Running  int `json:"running"`
	// Stopping: the attempt was ordered to stop, and its end is not recorded.
	Stopping int `json:"stopping"`
	// Finished: an attempt succeeded.
	Finished int `json:"finished"`
	// Failed: the job failed, because it cannot run, before the task succeeded.
	Failed int `json:"failed"`
	// Cancelled: the job was cancelled before the task succeeded.
	Cancelled int `json:"cancelled"`
}

// Total returns the number of tasks in all states.
func (co Counts) Total() int {
	return co.Waiting + co.Starting + co.Running + co.Stopping + co.Finished + co.Failed + co.Cancelled
}

// Job is the body of one job.
type Job struct {
	ID       string `json:"id"`
	Centre   string `json:"centre"`
	Team     string `json:"team"`
	Priority string `json:"priority"`
	Kind     string `json:"kind"`
	// State is the first of running, starting, stopping, waiting, cancelled, failed and
	// finished that any of the tasks has.
	State string `json:"state"`
	// Size is the declared size of each task.
	Size      Resources `json:"size"`
	RunTimeMs int64     `json:"runTimeMs,omitempty"`
	Counts    Counts    `json:"counts"`
	// Reason is the reason why the job was cancelled or failed.
	Reason string `json:"reason,omitempty"`
	// Tasks is set by GET /v1/jobs/ID only.
	Tasks []Task `json:"tasks,omitempty"`
	// MoreTasks is the number of tasks that are left out of Tasks.
	MoreTasks int `json:"moreTasks,omitempty"`
}

// Task is one task of a job.
type Task struct {
	// Index is the index of the task in its job, from 0.
	Index int `json:"index"`
	// State is one of the states in Counts.
	State string `json:"state"`
	// Reason is the reason why the task waits, stops or ended.
	Reason string `json:"reason,omitempty"`
	// Detail describes in one sentence what the task lacks or what would help.
	Detail string `json:"detail,omitempty"`
	// WaitingMs is the time for which the task has waited, by the clock of the leader;
	// 0 if not known.
	WaitingMs int64 `json:"waitingMs,omitempty"`
	// Attempt is the number of the newest attempt; 0 before the first.
	Attempt uint32 `json:"attempt"`
	Worker  string `json:"worker,omitempty"`
	Rack    string `json:"rack,omitempty"`
	// Size is the amount of resources that is committed to the task on its worker.
	Size Resources `json:"size"`
	// Borrowed reports that the commitment exceeds the quota of the team.
	Borrowed bool `json:"borrowed,omitempty"`
	// Checkpoint is the checkpoint from which the next attempt resumes.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// History lists the newest state changes, in the order in which they happened.
	History []HistoryEntry `json:"history,omitempty"`
}

// Checkpoint identifies a checkpoint of a task: the attempt that wrote it and its
// number within the attempt.
type Checkpoint struct {
	Attempt  uint32 `json:"attempt"`
	Sequence uint32 `json:"sequence"`
}

// HistoryEntry is one state change in the history of a task.
type HistoryEntry struct {
	// Kind is queued, started, running, checkpointUnreadable, stopAsked (the worker
	// was ordered to stop the attempt), succeeded, failed, stopped, lost, notStarted
	// or closed (the task never runs again, as its job was cancelled or failed).
	Kind    string `json:"kind"`
	Reason  string `json:"reason,omitempty"`
	Attempt uint32 `json:"attempt,omitempty"`
	Worker  string `json:"worker,omitempty"`
}

// JobList answers GET /v1/jobs.
type JobList struct {
	Jobs []Job `json:"jobs"`
	// Unreachable lists the data centres that did not answer. Their jobs are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}
