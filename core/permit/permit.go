// Package permit decides whether a data centre may start tasks. The leader of
// the data centre's group holds a start permit, or permit, that is valid for 2 s.
// The leader of the fleet group (package fleet), or fleet leader, renews it only
// while the data centre is in service, so that a data centre that is taken out of
// service stops starting tasks even if it is unreachable. After the return to service, the
// data centre admits a percentage of its load that increases in steps.
package permit

import (
	"time"

	"guavarail/core/model"
)

// No task may start in a data centre more than 3 s after it was taken out of
// service. The validity of a permit plus the 500 ms for which a worker may act
// on an order to start a task stay below that.
const (
	// Validity is how long a permit is valid, counted from when its request was
	// sent.
	Validity = 2 * time.Second
	// RenewInterval is the interval between requests for a permit.
	RenewInterval = 500 * time.Millisecond
)

// maxPending limits the number of undecided requests that are tracked. A permit
// that is issued for an older request has already expired.
const maxPending = int(Validity / RenewInterval)

// Decision is the decision of the fleet leader on one request for a permit.
type Decision struct {
	sequence uint64
	allowed  bool
	drain    model.DrainMode
}

// NewDecision returns the decision on the request with the given sequence number.
// drain is only relevant if allowed is false.
func NewDecision(sequence uint64, allowed bool, drain model.DrainMode) Decision {
	return Decision{sequence: sequence, allowed: allowed, drain: drain}
}

// Sequence returns the sequence number of the request.
func (de Decision) Sequence() uint64 { return de.sequence }

// Allowed reports whether tasks may start.
func (de Decision) Allowed() bool { return de.allowed }

// Drain returns what happens to running batch tasks if starts are not allowed.
func (de Decision) Drain() model.DrainMode { return de.drain }

// pendingRequest is a request without a decision.
type pendingRequest struct {
	sequence uint64
	sent     model.Instant
}

// Holder holds the start permit of one data centre and tracks its renewal. The
// zero value has no permit.
type Holder struct {
	// lastSequence is the sequence number of the last request.
	lastSequence uint64
	// pending holds at most maxPending requests, ordered by sequence number.
	pending []pendingRequest
	// lastDecided is the sequence number of the last request with a decision, or
	// 0. Decisions on earlier requests are ignored.
	lastDecided uint64
	// until is the end of the permit on the local clock, at most Validity after
	// the request for the permit was sent. It is 0 before the first permit and
	// after a denial or Reset.
	until model.Instant
	// rampStart is when a decision allowed starts again after a denial, if ramping
	// is set.
	rampStart model.Instant
	// outOfService is set if the last decision denied starts.
	outOfService bool
	// ramping is set if the last decision allowed starts after an earlier one had
	// denied them. It also stays set after the full load is admitted.
	ramping bool
	// drain is the drain mode of the last decision.
	drain model.DrainMode
}

// Request records a request for a permit that is sent at now, and returns its
// sequence number, which starts at 1.
func (ho *Holder) Request(now model.Instant) uint64 {
	ho.lastSequence++
	ho.pending = append(ho.pending, pendingRequest{sequence: ho.lastSequence, sent: now})
	if len(ho.pending) > maxPending {
		ho.pending = ho.pending[1:]
	}
	return ho.lastSequence
}

// Receive processes a decision that arrives at now. It ignores decisions on requests
// that are not pending or were sent before the last decided one.
func (ho *Holder) Receive(now model.Instant, de Decision) {
	sent, ok := ho.removePending(de.sequence)
	if !ok || de.sequence <= ho.lastDecided {
		return
	}
	ho.lastDecided = de.sequence
	ho.drain = de.drain
	if !de.allowed {
		ho.outOfService, ho.ramping, ho.until = true, false, 0
		return
	}
	if ho.outOfService {
		ho.outOfService, ho.ramping, ho.rampStart = false, true, now
	}
	ho.until = sent.Add(model.LessDrift(Validity))
}

// removePending removes the pending request with the given sequence number and all
// older ones. It returns when the request was sent, or false if it is not
// pending.
func (ho *Holder) removePending(sequence uint64) (model.Instant, bool) {
	for i, req := range ho.pending {
		if req.sequence == sequence {
			ho.pending = append([]pendingRequest(nil), ho.pending[i+1:]...)
			return req.sent, true
		}
	}
	return 0, false
}

// Reset discards the permit and all pending requests. It must be called when this
// VM stops leading its group.
func (ho *Holder) Reset() {
	ho.pending, ho.until, ho.outOfService, ho.ramping = nil, 0, false, false
}

// Valid reports whether a task may start at now.
func (ho *Holder) Valid(now model.Instant) bool { return now.Before(ho.until) }

// Until returns the end of the permit on the local clock. It is in the past if the
// permit has expired, and 0 if there is none.
func (ho *Holder) Until() model.Instant { return ho.until }

// OutOfService reports whether the data centre is out of service according to the
// last decision. If so, the drain mode decides what happens to its running batch
// tasks.
func (ho *Holder) OutOfService() (model.DrainMode, bool) { return ho.drain, ho.outOfService }

// AdmissionPercent returns the percentage of starts and requests that the data
// centre admits at now. It is 0 without a valid permit.
func (ho *Holder) AdmissionPercent(now model.Instant) int {
	switch {
	case !ho.Valid(now):
		return 0
	case ho.ramping:
		return RampPercent(now.Sub(ho.rampStart))
	}
	return fullPercent
}
