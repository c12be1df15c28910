package route

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// Effect is one effect of the machine, which its owner carries out.
type Effect interface{ effect() }

// Reason is why a request was rejected or forwarded without running here.
type Reason uint8

// The reasons.
const (
	// NoBackend means that this VM knows no live backend server of the service.
	NoBackend Reason = iota + 1
	// QueueFull means that the queue of the service is full.
	QueueFull
	// OverShare means that the caller occupies more than its share of a full
	// queue.
	OverShare
	// TooLate means that the request can no longer meet its deadline.
	TooLate
	// RetriesSpent means that sending failed and the retry budget is spent.
	RetriesSpent
	// OutOfService means that the data centre does not accept the request.
	OutOfService
	// Stopping means that this VM is shutting down.
	Stopping
	// Withdrawn means that the caller disconnected before the request was sent.
	Withdrawn
)

// String returns the name of the reason in metrics and events.
func (re Reason) String() string {
	return [...]string{
		"none", "noBackend", "queueFull", "overShare", "tooLate", "retriesSpent",
		"outOfService", "stopping", "withdrawn",
	}[re]
}

// Dispatch sends a request to a backend server.
type Dispatch[K comparable] struct {
	key         K
	backend     Backend
	attempt     int
	deadline    model.Instant
	maxDeadline model.Instant
}

// Key identifies the request.
func (di Dispatch[K]) Key() K { return di.key }

// Backend returns the server to send the request to.
func (di Dispatch[K]) Backend() Backend { return di.backend }

// Attempt returns how many times the request was dispatched, from 1.
func (di Dispatch[K]) Attempt() int { return di.attempt }

// Deadline returns when the caller stops waiting for the response to start.
func (di Dispatch[K]) Deadline() model.Instant { return di.deadline }

// MaxDeadline returns the end of the maximum request time.
func (di Dispatch[K]) MaxDeadline() model.Instant { return di.maxDeadline }

// Reject answers a request with the statement that it was not run.
type Reject[K comparable] struct {
	key        K
	reason     Reason
	retryAfter time.Duration
}

// Key identifies the request.
func (rj Reject[K]) Key() K { return rj.key }

// Reason returns why the request was rejected.
func (rj Reject[K]) Reason() Reason { return rj.reason }

// RetryAfter returns how long the caller should wait before a retry.
func (rj Reject[K]) RetryAfter() time.Duration { return rj.retryAfter }

// Forward sends a request to another data centre. The machine keeps no record
// of it. If no data centre can be reached, the owner of the machine rejects the
// request for the given reason.
type Forward[K comparable] struct {
	key         K
	reason      Reason
	deadline    model.Instant
	maxDeadline model.Instant
}

// Deadline returns when the caller stops waiting for the response to start.
func (fo Forward[K]) Deadline() model.Instant { return fo.deadline }

// MaxDeadline returns the end of the maximum request time.
func (fo Forward[K]) MaxDeadline() model.Instant { return fo.maxDeadline }

// Key identifies the request.
func (fo Forward[K]) Key() K { return fo.key }

// Reason returns why the request is not run here.
func (fo Forward[K]) Reason() Reason { return fo.reason }

// Usage reports to the slot credit holder (slots.Holder) how many slots of a
// worker this VM uses and which limit the machine enforces.
type Usage struct {
	worker  model.WorkerID
	version uint64
	slots   int
	inUse   int
	wanted  int
}

// Worker returns the identifier of the worker.
func (us Usage) Worker() model.WorkerID { return us.worker }

// Slots returns the number of slots that the worker announced, 0 if it has no
// backend server.
func (us Usage) Slots() int { return us.slots }

// Version returns the version of the Credits that the machine enforces.
func (us Usage) Version() uint64 { return us.version }

// InUse returns the number of slots in use, including those of expired requests.
func (us Usage) InUse() int { return us.inUse }

// Wanted returns the number of credits that would serve the current load.
func (us Usage) Wanted() int { return us.wanted }

// Event is an event for the event log.
type Event struct{ event event.Event }

// Event returns the event.
func (ev Event) Event() event.Event { return ev.event }

func (Dispatch[K]) effect() {}
func (Reject[K]) effect()   {}
func (Forward[K]) effect()  {}
func (Usage) effect()       {}
func (Event) effect()       {}
