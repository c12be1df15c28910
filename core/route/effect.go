package route

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// Effect is one effect of the machine.
type Effect interface{ effect() }

// Reason says why a request was rejected without running.
type Reason uint8

// The reasons.
const (
	// NoBackend means that no backend server of the service is known here.
	NoBackend Reason = iota + 1
	// QueueFull means that the queue of the service is full.
	QueueFull
	// OverShare means that the caller holds more than its share of a full queue.
	OverShare
	// TooLate means that the deadline cannot be met any more.
	TooLate
	// RetriesSpent means that sending failed and the retry budget is spent.
	RetriesSpent
	// OutOfService means that the data centre takes no requests now.
	OutOfService
	// Stopping means that this VM shuts down.
	Stopping
	// Withdrawn means that the caller went away before the request was sent.
	Withdrawn
)

// String returns the name used in metrics and events.
func (re Reason) String() string {
	return [...]string{
		"none", "noBackend", "queueFull", "overShare", "tooLate", "retriesSpent",
		"outOfService", "stopping", "withdrawn",
	}[re]
}

// Dispatch sends a request to a backend server.
type Dispatch[K comparable] struct {
	key      K
	backend  Backend
	attempt  int
	deadline model.Instant
	until    model.Instant
}

// Key identifies the request.
func (di Dispatch[K]) Key() K { return di.key }

// Backend returns the server to send to.
func (di Dispatch[K]) Backend() Backend { return di.backend }

// Attempt counts the servers chosen for the request, from 1.
func (di Dispatch[K]) Attempt() int { return di.attempt }

// Deadline returns when the caller stops waiting for the response to begin.
func (di Dispatch[K]) Deadline() model.Instant { return di.deadline }

// Until returns when the maximum request time is over.
func (di Dispatch[K]) Until() model.Instant { return di.until }

// Reject answers a request as not run.
type Reject[K comparable] struct {
	key        K
	reason     Reason
	retryAfter time.Duration
}

// Key identifies the request.
func (rj Reject[K]) Key() K { return rj.key }

// Reason says why.
func (rj Reject[K]) Reason() Reason { return rj.reason }

// RetryAfter says when the caller may try again.
func (rj Reject[K]) RetryAfter() time.Duration { return rj.retryAfter }

// Forward sends a request to another data centre. The machine does not count
// it any more. If none can be reached, it is rejected for the given reason.
type Forward[K comparable] struct {
	key      K
	reason   Reason
	deadline model.Instant
	until    model.Instant
}

// Deadline returns when the caller stops waiting for the response to begin.
func (fo Forward[K]) Deadline() model.Instant { return fo.deadline }

// Until returns when the maximum request time is over.
func (fo Forward[K]) Until() model.Instant { return fo.until }

// Key identifies the request.
func (fo Forward[K]) Key() K { return fo.key }

// Reason says why the request is not run here.
func (fo Forward[K]) Reason() Reason { return fo.reason }

// Usage tells the holder of slot credits what this VM uses of a worker and
// which limit the machine keeps to.
type Usage struct {
	worker  model.WorkerID
	version uint64
	slots   int
	inUse   int
	wanted  int
}

// Worker names the worker.
func (us Usage) Worker() model.WorkerID { return us.worker }

// Slots returns the slots that the worker announced.
func (us Usage) Slots() int { return us.slots }

// Version is that of the credits that the machine keeps to.
func (us Usage) Version() uint64 { return us.version }

// InUse returns the slots in use, including those of expired requests.
func (us Usage) InUse() int { return us.inUse }

// Wanted returns the credits that would serve the present load.
func (us Usage) Wanted() int { return us.wanted }

// Event reports something for the timeline.
type Event struct{ event event.Event }

// Event returns the event.
func (ev Event) Event() event.Event { return ev.event }

func (Dispatch[K]) effect() {}
func (Reject[K]) effect()   {}
func (Forward[K]) effect()  {}
func (Usage) effect()       {}
func (Event) effect()       {}
