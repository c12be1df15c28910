package limit

import (
	"context"
	"runtime"
	"sync"
	"time"
)

const (
	// collectShare is how many times as long as a collection the process runs without
	// starting the next one, so that collections take at most a quarter of the time.
	collectShare = 3
	// collectPoll is the interval at which one that waits for memory checks whether a
	// collection would free some.
	collectPoll = 20 * time.Millisecond
	// connectWait bounds the wait of a new connection for a collection, and connectPoll is
	// the interval at which it checks for one.
	connectWait = 200 * time.Millisecond
	connectPoll = 5 * time.Millisecond
)

// collector tells the decision which memory has been collected, and starts collections that
// free memory for which others wait.
//
// A generation begins when a sentinel is allocated. The sentinel dies in a collection that
// started later, which also frees what had been released before.
type collector struct {
	// running is held while this process starts a collection by itself. It guards next,
	// before which no other one is started.
	running sync.Mutex
	next    time.Time
	// generation is guarded by Budget.mu.
	generation uint64
}

// sentinel is an object whose death shows that a collection has ended. The pointer keeps it
// from being allocated together with others.
type sentinel struct{ _ *sentinel }

// beginGeneration begins a generation. The caller holds the mutex.
func (bud *Budget) beginGeneration() {
	bud.state.BeginCollection()
	bud.collector.generation++
	runtime.AddCleanup(&sentinel{}, bud.endGeneration, bud.collector.generation)
}

// endGeneration ends a generation whose sentinel has died, unless a later one has begun.
func (bud *Budget) endGeneration(generation uint64) {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	if generation != bud.collector.generation {
		return
	}
	for _, le := range bud.find(bud.state.EndCollection()) {
		le.wake()
	}
	bud.beginGeneration()
	uncollectedBytes.Set(bud.state.Uncollected())
}

// collect starts a collection and waits for its end, if one would free memory that is needed
// and the last one is long enough ago.
func (bud *Budget) collect() {
	if !bud.collector.running.TryLock() {
		return
	}
	defer bud.collector.running.Unlock()
	start := time.Now()
	if start.Before(bud.collector.next) || !bud.beginNeeded() {
		return
	}
	runtime.GC()
	collections.Add(1)
	end := time.Now()
	bud.collector.next = end.Add(collectShare * end.Sub(start))
}

// beginNeeded begins a generation if a collection would free memory that is needed.
func (bud *Budget) beginNeeded() bool {
	bud.mu.Lock()
	defer bud.mu.Unlock()
	if !bud.state.NeedsCollection() {
		return false
	}
	bud.beginGeneration()
	return true
}

// awaitMemory waits until the lease is woken, the time has passed or ctx ends, and starts
// collections meanwhile.
func (le *Lease) awaitMemory(ctx context.Context, most time.Duration) {
	end := time.NewTimer(most)
	defer end.Stop()
	poll := time.NewTicker(collectPoll)
	defer poll.Stop()
	for {
		le.bud.collect()
		select {
		case <-le.granted:
			return
		case <-end.C:
			return
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}
