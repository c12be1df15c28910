package model

import "strconv"

// JobID names a job; it is unique in the fleet.
type JobID string

// TaskID names one task of a job.
type TaskID struct {
	job   JobID
	index int
}

// NewTaskID returns the identifier of the task with the given index.
func NewTaskID(job JobID, index int) TaskID { return TaskID{job: job, index: index} }

// Job returns the job of the task.
func (ti TaskID) Job() JobID { return ti.job }

// Index returns the position of the task in its job, from 0.
func (ti TaskID) Index() int { return ti.index }

// String returns the form used in logs and the API.
func (ti TaskID) String() string { return string(ti.job) + "/" + strconv.Itoa(ti.index) }

// Attempt numbers the attempts of a task from 1. It is the fencing token in
// every record, order and report.
type Attempt uint32

// Priority orders work.
type Priority uint8

// The priorities, lowest first. The zero value is batch.
const (
	Batch Priority = iota
	Service
	Urgent
)

// String returns the name used in the API.
func (pr Priority) String() string {
	switch pr {
	case Service:
		return "service"
	case Urgent:
		return "urgent"
	}
	return "batch"
}

// ParsePriority returns the priority with the given name.
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
