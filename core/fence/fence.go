// Package fence bounds the age of calls that one VM passes on to another. The VM that takes
// a call tells how long before or after the leader's latest ticket the call arrived, and
// the leader adds the time since it issued that ticket, by its own clock. A pause of the
// sender at any point after that counts, and no clock is compared with that of another VM.
package fence

import (
	"time"

	"guavarail/core/model"
)

// MaxTicketAge is how long after its receipt a ticket is used. The drift of two clocks
// in this time, at 2% each, is far below the margins of the callers' time-outs.
const MaxTicketAge = 1500 * time.Millisecond

// Ticket is a reading of the leader's clock in a term. The zero value is none.
type Ticket struct {
	term uint64
	// issuedAt is on the clock of the leader, receivedAt on that of the VM that got it.
	issuedAt, receivedAt model.Instant
}

// NewTicket returns a ticket that the leader of a term has issued. The receiver reads its
// clock for receivedAt once it has the answer.
func NewTicket(term uint64, issuedAt, receivedAt model.Instant) Ticket {
	return Ticket{term: term, issuedAt: issuedAt, receivedAt: receivedAt}
}

// Valid reports whether there is a ticket that may be used now.
func (ti Ticket) Valid(now model.Instant) bool {
	return ti.term > 0 && now.Sub(ti.receivedAt) <= MaxTicketAge
}

// Mark is what a call carries that arrived at a time of the receiver's clock and is valid
// for some time from then.
func (ti Ticket) Mark(arrived model.Instant, valid time.Duration) Mark {
	return Mark{term: ti.term, issuedAt: ti.issuedAt, waited: arrived.Sub(ti.receivedAt), valid: valid}
}

// Mark ties the arrival of a call at a VM to a ticket of the leader. The zero value is that
// of a call without one.
type Mark struct {
	term     uint64
	issuedAt model.Instant
	// waited is the time from the receipt of the ticket to the arrival of the call. It is
	// negative if the call arrived first.
	waited time.Duration
	valid  time.Duration
}

// NewMark returns a mark that a call has carried.
func NewMark(term uint64, issuedAt model.Instant, waited, valid time.Duration) Mark {
	return Mark{term: term, issuedAt: issuedAt, waited: waited, valid: valid}
}

// Term returns the term of the ticket, 0 for a call without one.
func (mk Mark) Term() uint64 { return mk.term }

// IssuedAt returns when the ticket was issued, by the clock of the leader.
func (mk Mark) IssuedAt() model.Instant { return mk.issuedAt }

// Waited returns the time from the receipt of the ticket to the arrival of the call.
func (mk Mark) Waited() time.Duration { return mk.waited }

// ValidFor returns for how long the call is valid from its arrival.
func (mk Mark) ValidFor() time.Duration { return mk.valid }

// Expiry returns when the call expires on the clock of the leader that issued the ticket.
// The call can't have arrived earlier, because the ticket was issued before it was
// received.
func (mk Mark) Expiry() model.Instant { return mk.issuedAt.Add(mk.waited + mk.valid) }
