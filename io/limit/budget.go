// Package limit shares the memory and the connections of a process among its clients, as
// package buffer decides, and reports what was refused.
package limit

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/buffer"
)

const (
	// memoryDivisor is the share of a VM's memory that clients may hold. The garbage
	// collector lets the heap grow to twice of what is in use, and the process needs room
	// for its own state.
	memoryDivisor = 3
	// minMemory is the least that clients may hold, in bytes: a class may have half of it,
	// which is enough for one call of 4 MiB that is forwarded.
	minMemory = 32 << 20
	// keptFiles is the number of file descriptors that are kept for files, links and
	// listeners, but at most half of all.
	keptFiles = 400
	// maxWait bounds the wait for memory. A call that waits longer would miss its
	// deadline; its sender is told to retry.
	maxWait = 500 * time.Millisecond
)

var (
	// heldBytes is the memory that the clients of the process hold, limitBytes what they
	// may hold, and openConnections their number of connections.
	heldBytes       = expvar.NewInt("requestMemoryBytes")
	limitBytes      = expvar.NewInt("requestMemoryLimitBytes")
	openConnections = expvar.NewInt("requestConnections")
)

// RefusedError reports that there is no memory for a request, which was not carried out.
type RefusedError struct{}

// Error describes the failure.
func (err *RefusedError) Error() string {
	return "no memory for the request at this time, it was not carried out, send it again"
}

// Config describes a budget. A field that is 0 sets no bound.
type Config struct {
	// MemoryMB is the memory of the VM in megabytes.
	MemoryMB int
	// Files is the number of file descriptors that the process may have.
	Files int
	// PerAddress bounds the connections of one client address.
	PerAddress int
	Log        hclog.Logger
}

// Budget shares the bounds of a process among all its listeners. A nil budget and the
// zero value have no bounds. It is safe for concurrent use: it is used for each request of each connection,
// so a mutex guards the decision instead of a task that would add two switches to each.
type Budget struct {
	report *Report
	// mu guards the fields below and what state points to.
	mu sync.Mutex
	// state is nil if there is no bound. It does not change.
	state  *buffer.Budget
	leases map[buffer.ID]*Lease
	last   buffer.ID
}

// New returns a budget. Without a bound it only counts and logs what is refused.
func New(cfg Config) *Budget {
	if cfg.MemoryMB == 0 && cfg.Files == 0 && cfg.PerAddress == 0 {
		return &Budget{report: NewReport(cfg.Log)}
	}
	memory := int64(0)
	if cfg.MemoryMB > 0 {
		memory = max(int64(cfg.MemoryMB)<<20/memoryDivisor, minMemory)
	}
	limitBytes.Set(memory)
	bud := &Budget{report: NewReport(cfg.Log), leases: map[buffer.ID]*Lease{}}
	bud.state = buffer.New(buffer.Config{
		Memory: memory, Connections: cfg.Files - min(keptFiles, cfg.Files/2), PerAddress: cfg.PerAddress, Claim: bud.claim,
	})
	return bud
}

// Bounded reports whether there is a bound.
func (bud *Budget) Bounded() bool { return bud != nil && bud.state != nil }

// Lease is what one connection or message holds. A nil lease holds nothing and has no
// bounds. Reserve, Serve and Settle are called by one goroutine at a time.
type Lease struct {
	bud *Budget
	id  buffer.ID
	// evict ends the connection or the message. It must not block.
	evict func()
	// state is unfinished, active, served or closing.
	state atomic.Int32
	// heavy is set while the lease may hold more than a connection without a request. It
	// is used by the goroutine of Reserve, Serve and Settle.
	heavy bool
	// granted receives a value when the amount that the lease waits for was granted, or
	// when it has been evicted.
	granted chan struct{}
	close   sync.Once
}

// States of a lease.
const (
	// unfinished: no request has arrived as a whole since the last look of claim.
	unfinished int32 = iota
	// active: as before, but a request was served since the last look.
	active
	// served: a request has arrived as a whole and is being served.
	served
	// closing: the lease has been chosen to be closed.
	closing
)

// claim implements buffer.Claim. The caller holds the mutex.
func (bud *Budget) claim(id buffer.ID, idle bool) bool {
	le := bud.leases[id]
	if idle && le.state.CompareAndSwap(active, unfinished) {
		return false
	}
	return le.state.CompareAndSwap(unfinished, closing) || le.state.CompareAndSwap(active, closing)
}

// Connect returns the lease of a connection, and false if it must be closed. evict must
// not block; it is called at most once, when the connection must end.
func (bud *Budget) Connect(cl buffer.Class, address string, evict func()) (*Lease, bool) {
	if !bud.Bounded() {
		return nil, true
	}
	bud.mu.Lock()
	le := bud.add(evict)
	before := bud.state.Held()
	closes, ok := bud.state.Connect(le.id, cl, address)
	if !ok {
		delete(bud.leases, le.id)
	}
	evicted := bud.find(closes)
	bud.publish(before)
	bud.mu.Unlock()
	bud.evict(evicted)
	if !ok {
		bud.report.Count(RefusedConnection)
		return nil, false
	}
	return le, true
}

// Enter returns the lease of a message that is not a connection of its own. evict is that
// of Connect.
func (bud *Budget) Enter(cl buffer.Class, evict func()) *Lease {
	if !bud.Bounded() {
		return nil
	}
	bud.mu.Lock()
	defer bud.mu.Unlock()
	le := bud.add(evict)
	bud.state.Enter(le.id, cl)
	return le
}

// add returns a new lease.
func (bud *Budget) add(evict func()) *Lease {
	bud.last++
	le := &Lease{bud: bud, id: bud.last, evict: evict, granted: make(chan struct{}, 1)}
	bud.leases[le.id] = le
	return le
}

// find returns the leases with the given identifiers.
func (bud *Budget) find(ids []buffer.ID) []*Lease {
	var out []*Lease
	for _, id := range ids {
		out = append(out, bud.leases[id])
	}
	return out
}

// evict ends leases. It is called without the mutex.
func (bud *Budget) evict(leases []*Lease) {
	for _, le := range leases {
		bud.report.Count(Evicted)
		le.wake()
		le.evict()
	}
}

// publish publishes the metrics after a change.
func (bud *Budget) publish(before int64) {
	heldBytes.Add(bud.state.Held() - before)
	openConnections.Set(int64(bud.state.Open()))
}

// wake ends the wait of a lease.
func (le *Lease) wake() {
	select {
	case le.granted <- struct{}{}:
	default:
	}
}

// Reserve takes more memory and waits for it up to maxWait. It returns a *RefusedError if
// there is none or if the lease has been evicted.
func (le *Lease) Reserve(ctx context.Context, amount int64) error {
	if le == nil || amount <= 0 {
		return nil
	}
	switch le.reserve(amount) {
	case buffer.Granted:
		return nil
	case buffer.Refused:
		return errors.Trace(&RefusedError{})
	}
	tim := time.NewTimer(maxWait)
	defer tim.Stop()
	select {
	case <-le.granted:
	case <-tim.C:
	case <-ctx.Done():
	}
	return le.endWait()
}

// reserve asks for more memory and ends the leases that must make room.
func (le *Lease) reserve(amount int64) buffer.Verdict {
	bud := le.bud
	le.heavy = true
	bud.mu.Lock()
	before := bud.state.Held()
	verdict, closes := bud.state.Reserve(le.id, amount)
	evicted := bud.find(closes)
	bud.publish(before)
	bud.mu.Unlock()
	bud.evict(evicted)
	return verdict
}

// endWait ends the wait of a lease and reports whether it has got the memory.
func (le *Lease) endWait() error {
	waited := false
	le.bud.update(func(state *buffer.Budget) []buffer.ID {
		waited = !state.Waits(le.id) && !state.Closing(le.id)
		return state.Abandon(le.id)
	})
	select {
	case <-le.granted:
	default:
	}
	if !waited {
		return errors.Trace(&RefusedError{})
	}
	return nil
}

// update applies a change that may grant memory to leases that wait.
func (bud *Budget) update(change func(state *buffer.Budget) []buffer.ID) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	before := bud.state.Held()
	for _, le := range bud.find(change(bud.state)) {
		le.wake()
	}
	if bud.state.Held() != before {
		bud.publish(before)
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

// Settle marks the end of a request and releases the memory that it took.
func (le *Lease) Settle() {
	if le == nil {
		return
	}
	le.state.CompareAndSwap(served, active)
	if le.heavy {
		le.heavy = false
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

// open returns the number of open connections.
func (bud *Budget) open() int {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.state.Open()
}

// Count counts a refusal and logs it. A nil budget only counts it.
func (bud *Budget) Count(kind Kind) {
	if bud == nil {
		refusals.Add(string(kind))
		return
	}
	bud.report.Count(kind)
}
