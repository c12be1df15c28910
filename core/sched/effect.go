package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// Effect is what a planner asks for.
type Effect interface{ effect() }

// Propose asks to propose a command in the group.
type Propose struct {
	cmd Command
}

// Command returns the command.
func (pr Propose) Command() Command { return pr.cmd }

// Note asks to add an event to the timeline.
type Note struct {
	ev event.Event
}

// Event returns the event.
func (no Note) Event() event.Event { return no.ev }

// Answer completes one poll of a worker.
type Answer struct {
	worker model.WorkerID
	poll   uint64
	tag    uint64
	leases []Lease
	orders []Order
}

// Worker returns the worker that polled.
func (an Answer) Worker() model.WorkerID { return an.worker }

// Poll identifies the poll.
func (an Answer) Poll() uint64 { return an.poll }

// Tag is returned by the worker in its next report.
func (an Answer) Tag() uint64 { return an.tag }

// Leases returns the renewed leases. The worker counts each from the time it
// sent the report.
func (an Answer) Leases() []Lease { return append([]Lease(nil), an.leases...) }

// Orders returns the orders.
func (an Answer) Orders() []Order { return append([]Order(nil), an.orders...) }

// Lease is the right of a worker to go on with an attempt for TaskLease.
type Lease struct {
	task    model.TaskID
	attempt model.Attempt
}

// Task returns the task.
func (le Lease) Task() model.TaskID { return le.task }

// Attempt returns the attempt.
func (le Lease) Attempt() model.Attempt { return le.attempt }

// OrderKind says what a worker is asked to do.
type OrderKind uint8

// The kinds of orders.
const (
	// OrderStart: start the attempt, unless this or a later attempt of the
	// task was seen or stopped, or the start window has passed.
	OrderStart OrderKind = iota + 1
	// OrderStop: take a checkpoint if Grace is not zero, then stop.
	OrderStop
	// OrderCheckpoint: take a checkpoint and go on.
	OrderCheckpoint
	// OrderThrottle: limit the attempt to Limit; a zero limit lifts it.
	OrderThrottle
	// OrderForget: the end of the attempt is recorded; report it no more.
	OrderForget
)

var orderNames = [...]string{"none", "start", "stop", "checkpoint", "throttle", "forget"}

// String returns the name used in the API.
func (ok OrderKind) String() string { return nameOf(orderNames[:], int(ok)) }

// Order asks a worker to do something with one attempt.
type Order struct {
	kind             OrderKind
	task             model.TaskID
	attempt          model.Attempt
	taskKind         string
	priority         model.Priority
	size             model.Resources
	resume, fallback Checkpoint
	grace            time.Duration
	issuedAfter      time.Duration
}

// Kind says what to do.
func (or Order) Kind() OrderKind { return or.kind }

// Task returns the task.
func (or Order) Task() model.TaskID { return or.task }

// Attempt returns the attempt.
func (or Order) Attempt() model.Attempt { return or.attempt }

// TaskKind returns the kind of the job, for a start.
func (or Order) TaskKind() string { return or.taskKind }

// Priority returns the priority of the job, for a start.
func (or Order) Priority() model.Priority { return or.priority }

// Size returns the commitment for a start and the limit for a throttle.
func (or Order) Size() model.Resources { return or.size }

// Resume returns the checkpoint to resume from, for a start.
func (or Order) Resume() Checkpoint { return or.resume }

// Fallback returns the checkpoint to use when Resume cannot be read.
func (or Order) Fallback() Checkpoint { return or.fallback }

// Grace returns how long a stop may take to write a checkpoint.
func (or Order) Grace() time.Duration { return or.grace }

// IssuedAfter returns the time from the receipt of the poll to the issue of a
// start. The worker starts only until it sent the poll + IssuedAfter +
// StartWindow on its own clock.
func (or Order) IssuedAfter() time.Duration { return or.issuedAfter }

func (Propose) effect() {}
func (Note) effect()    {}
func (Answer) effect()  {}
