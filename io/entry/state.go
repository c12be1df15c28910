package entry

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
)

// goroutines tracks the goroutines that requests start, which may outlive their
// handlers. The zero value is not ready to use.
type goroutines struct {
	// ctx is the parent of the contexts of round trips and of calls that settle claims.
	// cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// requestCount counts requests and numbers them from 1.
	requestCount atomic.Uint64
}

func newGoroutines() *goroutines {
	ctx, cancel := context.WithCancel(context.Background())
	return &goroutines{ctx: ctx, cancel: cancel}
}

// run starts fn on a goroutine that wait waits for. fn must return soon after ctx ends.
func (gr *goroutines) run(ctx context.Context, fn func(ctx context.Context)) {
	gr.group.Add(1)
	go func() {
		defer gr.group.Done()
		fn(ctx)
	}()
}

// abort cancels the round trips and calls in progress.
func (gr *goroutines) abort() { gr.cancel() }

// wait returns nil when all goroutines have ended, or the error of ctx if that ends
// first.
func (gr *goroutines) wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		gr.group.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// metrics has the counters of the request path: requests by outcome, rejections by
// reason, and others such as late ends and rejected connections.
type metrics struct{ vars *expvar.Map }

func newMetrics() *metrics { return &metrics{vars: new(expvar.Map).Init()} }

// add increments the counter with the given name.
func (me *metrics) add(name string) { me.vars.Add(name, 1) }
