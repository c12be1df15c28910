// Package permit decides whether a data centre may start tasks. The leader of
// the data centre's group holds a start permission of a few seconds that the
// leader of the fleet group renews only while the data centre is in service,
// so that taking out a data centre also holds when it cannot be reached.
package permit

import (
	"time"

	"guavarail/core/model"
)

// Together with the life of an order at a worker, 500 ms, these stay under the
// 3 s after which no task may start in a data centre that was taken out.
const (
	// Validity is how long a permission lasts, counted from its request.
	Validity = 2 * time.Second
	// RenewEvery is the time between requests.
	RenewEvery = 500 * time.Millisecond
)

// maxPending bounds the requests that may be without an answer. Older ones
// could only bring a permission that is already over.
const maxPending = int(Validity / RenewEvery)

// Grant is the answer of the fleet leader to one request.
type Grant struct {
	sequence uint64
	allowed  bool
	drain    model.DrainMode
}

// NewGrant returns the answer to the request with the given sequence number.
func NewGrant(sequence uint64, allowed bool, drain model.DrainMode) Grant {
	return Grant{sequence: sequence, allowed: allowed, drain: drain}
}

// Sequence returns the number of the request that the grant answers.
func (gr Grant) Sequence() uint64 { return gr.sequence }

// Allowed reports whether tasks may start.
func (gr Grant) Allowed() bool { return gr.allowed }

// Drain says what happens to running batch tasks when starts are not allowed.
func (gr Grant) Drain() model.DrainMode { return gr.drain }

// request is one request that is without an answer.
type request struct {
	sequence uint64
	sent     model.Instant
}

// Holder keeps the start permission of one data centre. The zero value holds
// none.
type Holder struct {
	// next is larger than the sequence of every request sent.
	next uint64
	// pending is ordered by sequence and holds at most maxPending requests.
	pending []request
	// newest is the sequence of the newest answer; older ones are ignored.
	newest uint64
	// until is the end of the permission on the local clock; it lies at most
	// Validity after the sending of the request that brought it.
	until model.Instant
	// rampFrom is when starts were allowed again after a refusal.
	rampFrom model.Instant
	// out says that the newest answer refused.
	out bool
	// ramping says that rampFrom is set.
	ramping bool
	drain   model.DrainMode
}

// Request records a request sent at now and returns its sequence number.
func (ho *Holder) Request(now model.Instant) uint64 {
	ho.next++
	ho.pending = append(ho.pending, request{sequence: ho.next, sent: now})
	if len(ho.pending) > maxPending {
		ho.pending = ho.pending[1:]
	}
	return ho.next
}

// Receive takes over an answer. An answer that is older than one already seen,
// or that answers no pending request, changes nothing.
func (ho *Holder) Receive(now model.Instant, gr Grant) {
	sent, ok := ho.settle(gr.sequence)
	if !ok || gr.sequence <= ho.newest {
		return
	}
	ho.newest = gr.sequence
	ho.drain = gr.drain
	if !gr.allowed {
		ho.out, ho.ramping, ho.until = true, false, 0
		return
	}
	if ho.out {
		ho.out, ho.ramping, ho.rampFrom = false, true, now
	}
	ho.until = sent.Add(model.LessDrift(Validity))
}

// settle removes the pending request with the given sequence number and every
// older one.
func (ho *Holder) settle(sequence uint64) (model.Instant, bool) {
	for i, req := range ho.pending {
		if req.sequence == sequence {
			ho.pending = append([]request(nil), ho.pending[i+1:]...)
			return req.sent, true
		}
	}
	return 0, false
}

// Drop gives up the permission and forgets every pending request. A VM that
// stops leading its group calls it.
func (ho *Holder) Drop() {
	ho.pending, ho.until, ho.out, ho.ramping = nil, 0, false, false
}

// Valid reports whether a task may start at now.
func (ho *Holder) Valid(now model.Instant) bool { return now.Before(ho.until) }

// Until returns the end of the permission.
func (ho *Holder) Until() model.Instant { return ho.until }

// Out reports whether the newest answer said that the data centre is out of
// service, and what happens to running batch tasks.
func (ho *Holder) Out() (model.DrainMode, bool) { return ho.drain, ho.out }

// Percent returns how much of its starts the data centre may use at now.
func (ho *Holder) Percent(now model.Instant) int {
	switch {
	case !ho.Valid(now):
		return 0
	case ho.ramping:
		return Ramp(now.Sub(ho.rampFrom))
	}
	return rampFull
}
