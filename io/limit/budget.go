// Package limit shares the memory and the connections of a process among its clients, as
// package buffer decides, and reports what was refused.
package limit

import (
	"expvar"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/buffer"
)

const (
	// memoryDivisor divides the memory of a VM: the result is what clients may hold,
	// together with what they have released and is not collected yet. The process needs
	// room for its own state, and for garbage of other kinds.
	memoryDivisor = 3
	// minMemory is the least that clients may hold, in bytes. A class may have half of it,
	// enough to forward one call of 4 MiB.
	minMemory = 32 << 20
	// reservedFiles is the number of file descriptors for files, listeners and connections
	// that the process opens, but at most half of all.
	reservedFiles = 300
)

var (
	// heldBytes is the memory that the clients of the process hold, limitBytes what they
	// may hold, and openConnections their number of connections.
	heldBytes       = expvar.NewInt("requestMemoryBytes")
	limitBytes      = expvar.NewInt("requestMemoryLimitBytes")
	openConnections = expvar.NewInt("requestConnections")
	// uncollectedBytes is the memory that clients have released and that is not collected
	// yet, and collections the number of collections that were started to free it.
	uncollectedBytes = expvar.NewInt("requestMemoryUncollectedBytes")
	collections      = expvar.NewInt("requestMemoryCollections")
)

// Config describes a budget. A field that is 0 sets no bound.
type Config struct {
	// MemoryMB is the memory of the VM in megabytes.
	MemoryMB int
	// Files is the number of file descriptors that the process may have.
	Files int
	// PerAddress bounds the connections of callers from one address.
	PerAddress int
	Log        hclog.Logger
}

// OrMachine returns the configuration with the bounds of a machine in place of those that are
// not set.
func (cfg Config) OrMachine(ma Machine) Config {
	if cfg.MemoryMB == 0 {
		cfg.MemoryMB = int(ma.memory >> 20)
	}
	if cfg.Files == 0 {
		cfg.Files = ma.files
	}
	return cfg
}

// Budget shares the bounds of a process among all its listeners. A nil budget and the
// zero value have no bounds. It is safe for concurrent use. A mutex guards the decision
// because an actor would add two goroutine switches to each reservation.
type Budget struct {
	report *Report
	// mu guards the fields below and what state points to.
	mu sync.Mutex
	// state is nil if there is no bound. It does not change.
	state     *buffer.Budget
	leases    map[buffer.ID]*Lease
	last      buffer.ID
	collector collector
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
		Memory: memory, Connections: cfg.Files - min(reservedFiles, cfg.Files/2), PerAddress: cfg.PerAddress, Deferred: memory > 0, Claim: bud.claim,
	})
	bud.mu.Lock()
	defer bud.mu.Unlock()
	bud.beginGeneration()
	return bud
}

// Bounded reports whether there is a bound.
func (bud *Budget) Bounded() bool { return bud != nil && bud.state != nil }

// claim implements buffer.Claim. The caller holds the mutex. A link that has served a request
// since the last call is never closed, because other requests may be in flight on it.
func (bud *Budget) claim(id buffer.ID, idle bool) bool {
	le := bud.leases[id]
	if (idle || le.link) && le.state.CompareAndSwap(active, unfinished) {
		return false
	}
	return le.state.CompareAndSwap(unfinished, closing) || le.state.CompareAndSwap(active, closing)
}

// Connect returns the lease of a connection, and false if it must be closed. evict must
// not block; it is called at most once, when the connection must end.
func (bud *Budget) Connect(cl buffer.Class, address string, evict func()) (*Lease, bool) {
	return bud.admit(&Lease{bud: bud, evict: evict}, cl, address)
}

// Link returns the lease of a link to another VM, as Connect does.
func (bud *Budget) Link(evict func()) (*Lease, bool) {
	return bud.admit(&Lease{bud: bud, evict: evict, link: true}, buffer.VMs, "")
}

// admit adds the lease of a connection. It returns false if there is no room for it.
func (bud *Budget) admit(le *Lease, cl buffer.Class, address string) (*Lease, bool) {
	if !bud.Bounded() {
		return nil, true
	}
	ok, short := bud.connect(le, cl, address)
	for end := time.Now().Add(connectWait); short && time.Now().Before(end); {
		bud.collect()
		time.Sleep(connectPoll)
		ok, short = bud.connect(le, cl, address)
	}
	if !ok {
		bud.report.Count(RefusedConnection)
		return nil, false
	}
	return le, true
}

// connect adds the lease of a connection, unless there is no room for it now. short means that
// only a collection makes room.
func (bud *Budget) connect(le *Lease, cl buffer.Class, address string) (ok, short bool) {
	bud.updateEvicting(func(state *buffer.Budget) []buffer.ID {
		bud.add(le)
		closes, admitted := state.Connect(le.id, cl, address)
		if ok = admitted; !ok {
			delete(bud.leases, le.id)
			short = state.Short(cl)
		}
		return closes
	})
	return ok, short
}

// Enter returns the lease of a message that is not a connection of its own. evict is that
// of Connect.
func (bud *Budget) Enter(cl buffer.Class, evict func()) *Lease {
	if !bud.Bounded() {
		return nil
	}
	bud.mu.Lock()
	defer bud.mu.Unlock()
	le := &Lease{bud: bud, evict: evict}
	bud.add(le)
	bud.state.Enter(le.id, cl)
	return le
}

// add adds a lease under a new identifier. The caller holds the mutex.
func (bud *Budget) add(le *Lease) {
	bud.last++
	le.id, le.granted = bud.last, make(chan struct{}, 1)
	bud.leases[le.id] = le
}

// find returns the leases with the given identifiers. The caller holds the mutex.
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

// publish updates the metrics after a change; before is what was held before it. The
// caller holds the mutex.
func (bud *Budget) publish(before int64) {
	heldBytes.Add(bud.state.Held() - before)
	uncollectedBytes.Set(bud.state.Uncollected())
	openConnections.Set(int64(bud.state.Open()))
}

// updateEvicting applies a change that returns the leases to evict, and evicts them.
func (bud *Budget) updateEvicting(change func(state *buffer.Budget) []buffer.ID) {
	bud.mu.Lock()
	before := bud.state.Held()
	evicted := bud.find(change(bud.state))
	bud.publish(before)
	bud.mu.Unlock()
	bud.evict(evicted)
}

// update applies a change that returns the waiting leases to which it granted memory.
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

// open returns the number of open connections.
func (bud *Budget) open() int {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	return bud.state.Open()
}

// Count counts a refusal and logs it. A nil budget or zero value only counts it.
func (bud *Budget) Count(kind Kind) {
	if bud == nil {
		refusals.Add(string(kind))
		return
	}
	bud.report.Count(kind)
}
