package model

import "strconv"

// JobID identifies a job. It is unique in the fleet.
type JobID string

// TaskID identifies one task of a job.
type TaskID struct {
	job   JobID
	index int
}

// NewTaskID returns the identifier of the task with the given index.
func NewTaskID(job JobID, index int) TaskID { return TaskID{job: job, index: index} }

// Job returns the job of the task.
func (ti TaskID) Job() JobID { return ti.job }

// Index returns the index of the task in its job, from 0.
func (ti TaskID) Index() int { return ti.index }

// String returns the job and the index separated by a slash, as in logs and the
// API.
func (ti TaskID) String() string { return string(ti.job) + "/" + strconv.Itoa(ti.index) }

// Attempt numbers the attempts to run a task, from 1. Every record, command to a
// worker and report about the task carries it as the fencing token, so that those
// of an earlier attempt can be ignored.
type Attempt uint32

// Priority is the scheduling priority of a job.
type Priority uint8

// The priorities, lowest first. The zero value is batch.
const (
	Batch Priority = iota
	Service
	Urgent
)

// String returns the name of the priority in the API.
func (pr Priority) String() string {
	switch pr {
	case Service:
		return "service"
	case Urgent:
		return "urgent"
	}
	return "batch"
}

// ParsePriority returns the priority with the given name and whether there is
// one. The empty name is that of the zero value.
func ParsePriority(name string) (Priority, bool) {
	switch name {
	case "batch", "":
		return Batch, true
	case "service":
		return Service, true
	case "urgent":
		return Urgent, true
	}
	return Batch, false
}
