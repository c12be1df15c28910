package entry

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
)

// tasks tracks the goroutines of requests, which may outlive their handlers.
type tasks struct {
	// ctx is the parent of the contexts of all requests. cancel aborts them.
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	// requestCount counts requests and numbers them from 1.
	requestCount atomic.Uint64
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// run starts fn on a counted goroutine. fn must return soon after ctx ends.
func (ta *tasks) run(ctx context.Context, fn func(ctx context.Context)) {
	ta.group.Add(1)
	go func() {
		defer ta.group.Done()
		fn(ctx)
	}()
}

// abort cancels all requests that are still in flight.
func (ta *tasks) abort() { ta.cancel() }

// wait returns nil when all goroutines have ended, or the error of ctx if that ends
// first.
func (ta *tasks) wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		ta.group.Wait()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// metrics counts requests by outcome and rejections by reason.
type metrics struct{ vars *expvar.Map }

func newMetrics() *metrics { return &metrics{vars: new(expvar.Map).Init()} }

// add increments the counter with the given name.
func (me *metrics) add(name string) { me.vars.Add(name, 1) }
