package limit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"guavarail/core/buffer"
)

// maxWait bounds the wait for memory. A call that waits longer would miss its
// deadline; its sender is told to retry.
const maxWait = 500 * time.Millisecond

// NoMemoryError reports that there is no memory for a request, which was not carried out.
type NoMemoryError struct{}

// Error describes the failure.
func (err *NoMemoryError) Error() string {
	return "no memory for the request at this time, it was not carried out, send it again"
}

// Lease is what one connection or message holds. A nil lease holds nothing and has no
// bounds. Reserve, Serve and Settle are called by one goroutine at a time.
type Lease struct {
	bud *Budget
	id  buffer.ID
	// evict ends the connection or the message. It must not block.
	evict func()
	// state is unfinished, active, served or closing.
	state atomic.Int32
	// link is set for a link to another VM; see Budget.claim. It does not change.
	link bool
	// reserved is set if Reserve was called since the last Settle. Only the goroutine of
	// Reserve, Serve and Settle uses it.
	reserved bool
	// granted receives a value when the amount that the lease waits for was granted, or
	// when it has been evicted.
	granted chan struct{}
	close   sync.Once
}

// States of a lease.
const (
	// unfinished: no request has arrived as a whole since claim last looked at the lease.
	unfinished int32 = iota
	// active: as unfinished, but a request was served since claim last looked.
	active
	// served: a request has arrived as a whole and is being served.
	served
	// closing: the lease has been chosen to be closed.
	closing
)

// Reserve takes more memory and waits for it up to maxWait. It returns a *NoMemoryError if
// there is none or if the lease has been evicted.
func (le *Lease) Reserve(ctx context.Context, amount int64) error {
	if le == nil || amount <= 0 {
		return nil
	}
	switch le.reserve(amount) {
	case buffer.Granted:
		return nil
	case buffer.Refused:
		return errors.Trace(&NoMemoryError{})
	}
	le.awaitMemory(ctx, maxWait)
	return le.endWait()
}

// reserve asks for more memory and ends the leases that must make room.
func (le *Lease) reserve(amount int64) buffer.Verdict {
	le.reserved = true
	var verdict buffer.Verdict
	le.bud.updateEvicting(func(state *buffer.Budget) (closes []buffer.ID) {
		verdict, closes = state.Reserve(le.id, amount)
		return closes
	})
	return verdict
}

// endWait ends the wait of a lease. It returns a *NoMemoryError if the memory was not
// granted.
func (le *Lease) endWait() error {
	granted := false
	le.bud.update(func(state *buffer.Budget) []buffer.ID {
		granted = !state.Waits(le.id) && !state.Closing(le.id)
		return state.Abandon(le.id)
	})
	select {
	case <-le.granted:
	default:
	}
	if !granted {
		return errors.Trace(&NoMemoryError{})
	}
	return nil
}

// wake ends the wait of a lease.
func (le *Lease) wake() {
	select {
	case le.granted <- struct{}{}:
	default:
	}
}

// Serve marks the request as arrived as a whole. It returns false if it must not be
// served, because the lease has been evicted.
func (le *Lease) Serve() bool {
	if le == nil {
		return true
	}
	return le.state.CompareAndSwap(unfinished, served) || le.state.CompareAndSwap(active, served) || le.state.Load() == served
}

// Release releases a part of the memory that the lease has reserved.
func (le *Lease) Release(amount int64) {
	if le == nil || amount <= 0 {
		return
	}
	le.bud.update(func(state *buffer.Budget) []buffer.ID { return state.Release(le.id, amount) })
}

// Touch marks that a link has served a request. It may be called by several goroutines.
func (le *Lease) Touch() {
	if le != nil {
		le.state.CompareAndSwap(unfinished, active)
	}
}

// Settle marks the end of a request and releases the memory that it took.
func (le *Lease) Settle() {
	if le == nil {
		return
	}
	le.state.CompareAndSwap(served, active)
	if le.reserved {
		le.reserved = false
		le.bud.update(func(state *buffer.Budget) []buffer.ID { return state.Settle(le.id) })
	}
}

// Close releases all that the lease holds. Later calls have no effect.
func (le *Lease) Close() {
	if le == nil {
		return
	}
	le.close.Do(func() {
		le.bud.update(func(state *buffer.Budget) []buffer.ID {
			delete(le.bud.leases, le.id)
			return state.Close(le.id)
		})
		openConnections.Set(int64(le.bud.open()))
	})
}
