package entry

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
)

// tasks counts the goroutines of requests, which may outlive their handlers.
type tasks struct {
	ctx    context.Context
	cancel context.CancelFunc
	group  sync.WaitGroup
	number atomic.Uint64
}

func newTasks() *tasks {
	ctx, cancel := context.WithCancel(context.Background())
	return &tasks{ctx: ctx, cancel: cancel}
}

// run starts fn as a counted goroutine that ends when ctx ends.
func (ta *tasks) run(ctx context.Context, fn func(ctx context.Context)) {
	ta.group.Add(1)
	go func() {
		defer ta.group.Done()
		fn(ctx)
	}()
}

// abort ends all requests that are still in flight.
func (ta *tasks) abort() { ta.cancel() }

// wait returns when all goroutines have ended or ctx ends.
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

func (me *metrics) add(name string) { me.vars.Add(name, 1) }
