package route

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// Effect is one action that the owner of the machine must carry out.
type Effect interface{ effect() }

// Reason is why a request was rejected or forwarded without running here. The
// zero value is no reason.
type Reason uint8

// The reasons.
const (
	// NoBackend means that no backend server of the service is alive: all have
	// left or have not announced themselves recently.
	NoBackend Reason = iota + 1
	// QueueFull means that the queue of the service is full.
	QueueFull
	// OverShare means that the queue of the service is full, several callers wait,
	// and none of them has more requests in the queue than this caller. It is also
	// the reason for a waiting request that a request of another caller replaces.
	OverShare
	// TooLate means that the request can no longer meet its deadline, or that the
	// deadline passed while the request waited.
	TooLate
	// RetriesSpent means that the request could not be sent and the retry budget
	// of the service is spent.
	RetriesSpent
	// OutOfService means that the data centre is out of service, or accepts only
	// a percentage of the requests and not this one.
	OutOfService
	// Stopping means that this VM is shutting down.
	Stopping
	// Withdrawn means that the caller disconnected while the request waited.
	Withdrawn
)

// String returns the name of the reason in metrics and events.
func (re Reason) String() string {
	return [...]string{
		"none", "noBackend", "queueFull", "overShare", "tooLate", "retriesSpent",
		"outOfService", "stopping", "withdrawn",
	}[re]
}

// Dispatch sends a request to a backend server. The owner answers it with Done,
// Unsent or, if the caller disconnects before the request is sent, Cancel.
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

// Attempt returns how many times the request was dispatched, including this
// time.
func (di Dispatch[K]) Attempt() int { return di.attempt }

// Deadline returns when the caller stops waiting for the response to start.
func (di Dispatch[K]) Deadline() model.Instant { return di.deadline }

// MaxDeadline returns the end of the maximum request time, which starts at the
// arrival. The owner must end the request by then, even after its caller got an
// answer.
func (di Dispatch[K]) MaxDeadline() model.Instant { return di.maxDeadline }

// Reject answers a request with an error that states that it was not run.
type Reject[K comparable] struct {
	key        K
	reason     Reason
	retryAfter time.Duration
}

// Key identifies the request.
func (rj Reject[K]) Key() K { return rj.key }

// Reason returns why the request was rejected.
func (rj Reject[K]) Reason() Reason { return rj.reason }

// RetryAfter returns how long the caller should wait before a retry: 1 to 3 s.
func (rj Reject[K]) RetryAfter() time.Duration { return rj.retryAfter }

// Forward sends a request to another data centre. The machine has no record of
// it afterwards. If no data centre can be reached, the owner of the machine
// rejects the request for the given reason.
type Forward[K comparable] struct {
	key         K
	reason      Reason
	deadline    model.Instant
	maxDeadline model.Instant
}

// Deadline returns when the caller stops waiting for the response to start.
func (fo Forward[K]) Deadline() model.Instant { return fo.deadline }

// MaxDeadline returns the end of the maximum request time, which starts at the
// arrival.
func (fo Forward[K]) MaxDeadline() model.Instant { return fo.maxDeadline }

// Key identifies the request.
func (fo Forward[K]) Key() K { return fo.key }

// Reason returns why the request is not run here.
func (fo Forward[K]) Reason() Reason { return fo.reason }

// Usage reports to the holder of the VM's slot credits (slots.Holder) how many
// slots of a worker this VM uses and which limit the machine enforces.
type Usage struct {
	worker  model.WorkerID
	version uint64
	slots   int
	inUse   int
	wanted  int
}

// Worker returns the identifier of the worker.
func (us Usage) Worker() model.WorkerID { return us.worker }

// Slots returns the total number of slots of the worker, as its backend servers
// announced it, or 0 if it has no backend server.
func (us Usage) Slots() int { return us.slots }

// Version returns the version of the Credits that the machine enforces, or 0
// before the first.
func (us Usage) Version() uint64 { return us.version }

// InUse returns the number of slots that this VM uses, including those of
// abandoned requests.
func (us Usage) InUse() int { return us.inUse }

// Wanted returns the number of credits that would serve the current load: the
// slots in use and an even part of the waiting requests, at most Slots.
func (us Usage) Wanted() int { return us.wanted }

// Event adds an event to the event log of the VM (package event).
type Event struct{ event event.Event }

// Event returns the event.
func (ev Event) Event() event.Event { return ev.event }

func (Dispatch[K]) effect() {}
func (Reject[K]) effect()   {}
func (Forward[K]) effect()  {}
func (Usage) effect()       {}
func (Event) effect()       {}
