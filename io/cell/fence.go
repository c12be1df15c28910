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

// arrivalClock is a fence.Watch that several goroutines use. The zero value is ready.
type arrivalClock struct {
	// mu guards inner.
	mu    sync.Mutex
	inner fence.Watch
}

// arrival returns fence.Watch.Arrival. It reads the clock under the mutex, so that the
// times that the fence.Watch gets never decrease.
func (arc *arrivalClock) arrival(clock func() model.Instant) model.Instant {
	arc.mu.Lock()
	defer arc.mu.Unlock()
	return arc.inner.Arrival(clock())
}

// Arrival returns the earliest time at which a call that a front end has just read may have
// arrived, for Call.Arrived.
func (vm *VM) Arrival() model.Instant { return vm.arrivals.arrival(vm.clock) }

// expiry returns when the call expires on the clock of this VM, 0 for never.
func (cal Call) expiry() model.Instant {
	if cal.Valid == 0 {
		return 0
	}
	return cal.Arrived.Add(cal.Valid)
}

// expired reports whether a call has expired by the clock of this VM.
func (vm *VM) expired(cal Call) bool { return cal.Valid > 0 && !vm.clock().Before(cal.expiry()) }

// setMark sets the mark of a call that is forwarded to the leader. It returns false if the
// leader's ticket is out of date. A call that doesn't expire carries no mark, nor does one
// to a leader of an earlier version, which issues no ticket.
func (vm *VM) setMark(msg *wire.CellCall, cal Call, tic fence.Ticket) bool {
	if cal.Valid == 0 || tic == (fence.Ticket{}) {
		return true
	}
	mk := tic.Mark(cal.Arrived, cal.Valid)
	msg.TicketTerm, msg.TicketClock, msg.WaitedNs = mk.Term(), uint64(mk.IssuedAt()), mk.Waited().Nanoseconds()
	msg.ValidMs = uint32(mk.ValidFor().Milliseconds())
	return tic.Valid(vm.clock())
}

// checkMark checks the mark of a call of another VM, and returns when the call expires; 0 for a
// call without a mark, from a VM of an earlier version. A *quorum.NotLeaderError means that
// the ticket is of another term, an *ExpiredError that the caller no longer waits.
func (vm *VM) checkMark(msg *wire.CellCall, term uint64) (model.Instant, error) {
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
