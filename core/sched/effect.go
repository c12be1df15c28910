package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// Effect is an action that the planner asks its caller to carry out.
type Effect interface{ effect() }

// Propose asks the caller to propose a command in the group.
type Propose struct {
	cmd Command
}

// Command returns the command.
func (pr Propose) Command() Command { return pr.cmd }

// RecordEvent asks the caller to add an event to the timeline.
type RecordEvent struct {
	ev event.Event
}

// Event returns the event.
func (re RecordEvent) Event() event.Event { return re.ev }

// Answer completes one poll of a worker with lease renewals and orders.
type Answer struct {
	worker model.WorkerID
	poll   uint64
	tag    uint64
	leases []Lease
	orders []Order
}

// Worker returns the worker that polled.
func (an Answer) Worker() model.WorkerID { return an.worker }

// Poll returns the identifier of the poll.
func (an Answer) Poll() uint64 { return an.poll }

// Tag returns the number that the worker sends back as ReportSpec.Tag. The
// leader increases it with every report of any worker. A report whose tag is
// lower than that of the last handled report of the same worker was overtaken.
// Tag 0 means that the worker has received no answer since it started.
func (an Answer) Tag() uint64 { return an.tag }

// Leases returns the renewed leases. The worker counts each from the time it
// sent the report, not from the arrival of the answer.
func (an Answer) Leases() []Lease { return append([]Lease(nil), an.leases...) }

// Orders returns the orders for the worker's attempts.
func (an Answer) Orders() []Order { return append([]Order(nil), an.orders...) }

// Lease is a task lease: it permits a worker to continue an attempt for
// TaskLease.
type Lease struct {
	task    model.TaskID
	attempt model.Attempt
}

// Task returns the task.
func (le Lease) Task() model.TaskID { return le.task }

// Attempt returns the attempt.
func (le Lease) Attempt() model.Attempt { return le.attempt }

// OrderKind is the type of an order.
type OrderKind uint8

// The kinds of orders.
const (
	// OrderStart: start the attempt, unless the worker has already got a start
	// or stop order for this or a later attempt of the task, or StartWindow has
	// passed (see IssuedAfter).
	OrderStart OrderKind = iota + 1
	// OrderStop: stop the attempt, after a checkpoint if Grace is not zero.
	OrderStop
	// OrderCheckpoint: take a checkpoint and continue.
	OrderCheckpoint
	// OrderThrottle: limit the attempt to Size; zero removes the limit.
	OrderThrottle
	// OrderForget: omit the ended attempt from later reports, because its end
	// is recorded.
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

// Kind returns the type of the order.
func (or Order) Kind() OrderKind { return or.kind }

// Task returns the task.
func (or Order) Task() model.TaskID { return or.task }

// Attempt returns the attempt.
func (or Order) Attempt() model.Attempt { return or.attempt }

// TaskKind returns the job's JobSpec.Kind, for a start.
func (or Order) TaskKind() string { return or.taskKind }

// Priority returns the priority of the job, for a start.
func (or Order) Priority() model.Priority { return or.priority }

// Size returns the commitment for a start and the limit for a throttle.
func (or Order) Size() model.Resources { return or.size }

// Resume returns the checkpoint to resume from, for a start; zero to start from
// the beginning.
func (or Order) Resume() Checkpoint { return or.resume }

// Fallback returns the checkpoint to use if Resume cannot be read, zero for
// none.
func (or Order) Fallback() Checkpoint { return or.fallback }

// Grace returns how long the attempt may take to write a checkpoint before it
// is stopped, for a stop; 0 means to stop it at once without a checkpoint.
func (or Order) Grace() time.Duration { return or.grace }

// IssuedAfter returns the time from the receipt of the poll to the issue of a
// start order. On its own clock, the worker starts the attempt no later than
// the time it sent the poll + IssuedAfter + StartWindow.
func (or Order) IssuedAfter() time.Duration { return or.issuedAfter }

func (Propose) effect()     {}
func (RecordEvent) effect() {}
func (Answer) effect()      {}
