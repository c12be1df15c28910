package cell

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"guavarail/core/fence"
	"guavarail/core/model"
	"guavarail/io/wire"
)

// defaultValidity is for how long a call is valid that doesn't tell: callers of operators'
// calls give up after 1 s.
const defaultValidity = 900 * time.Millisecond

// watch is a fence.Watch that several goroutines use.
type watch struct {
	mu sync.Mutex
	// seen is guarded by mu.
	seen fence.Watch
}

// arrival returns fence.Watch.Arrival. It reads the clock under the lock, so that the times
// that the watch sees don't go back.
func (wa *watch) arrival(clock func() model.Instant) model.Instant {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	return wa.seen.Arrival(clock())
}

// Arrival returns a time before which a call can't have arrived that a front end has just
// read, for Call.Arrived.
func (vm *VM) Arrival() model.Instant { return vm.watch.arrival(vm.clock) }

// withArrival fills in when a call arrived and for how long it is valid.
func (vm *VM) withArrival(cal Call) Call {
	if cal.Arrived == 0 {
		cal.Arrived = vm.Arrival()
	}
	if cal.Valid <= 0 {
		cal.Valid = defaultValidity
	}
	return cal
}

// expired reports whether a call has expired by the clock of this VM.
func (vm *VM) expired(cal Call) bool { return !vm.clock().Before(cal.Arrived.Add(cal.Valid)) }

// mark sets the mark of a call that is passed on to the leader. It returns false if the
// ticket of the leader is out of date. The leader issues none if it is of an earlier
// version.
func (vm *VM) mark(msg *wire.CellCall, cal Call, tic fence.Ticket) bool {
	if tic == (fence.Ticket{}) {
		return true
	}
	mk := tic.Mark(cal.Arrived, cal.Valid)
	msg.TicketTerm, msg.TicketClock, msg.WaitedNs = mk.Term(), uint64(mk.IssuedAt()), mk.Waited().Nanoseconds()
	msg.ValidMs = uint32(mk.ValidFor().Milliseconds())
	return tic.Valid(vm.clock())
}

// admit checks the mark of a call of another VM, and returns when the call expires; 0 for a
// call without a mark, from a VM of an earlier version. A *quorum.NotLeaderError means that
// the ticket is of another term, an *ExpiredError that the caller no longer waits.
func (vm *VM) admit(msg *wire.CellCall, term uint64) (model.Instant, error) {
	if msg.GetTicketTerm() == 0 {
		return 0, nil
	}
	if msg.GetTicketTerm() != term {
		return 0, errors.Trace(newNotLeaderError())
	}
	mk := fence.NewMark(msg.GetTicketTerm(), model.Instant(msg.GetTicketClock()), time.Duration(msg.GetWaitedNs()), time.Duration(msg.GetValidMs())*time.Millisecond)
	if !vm.clock().Before(mk.Expiry()) {
		return 0, errors.Trace(&ExpiredError{})
	}
	return mk.Expiry(), nil
}

// expiryKey is the key of the expiry of a call in its context.
type expiryKey struct{}

// withExpiry returns a context for a call that expires at a time of this VM's clock. What
// it proposes after that is dropped.
func withExpiry(ctx context.Context, expiry model.Instant) context.Context {
	if expiry == 0 {
		return ctx
	}
	return context.WithValue(ctx, expiryKey{}, expiry)
}

// expiryOf returns when the call of a context expires, 0 for never.
func expiryOf(ctx context.Context) model.Instant {
	expiry, _ := ctx.Value(expiryKey{}).(model.Instant)
	return expiry
}
