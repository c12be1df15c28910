package host

import (
	"context"
	"time"
)

// Every calls run at the given interval on a new goroutine until ctx ends; the
// first call is one interval after the start. Calls do not overlap: intervals that
// end during a call are merged into one. The returned function ends the
// context that is passed to run and waits until the goroutine has ended.
func Every(ctx context.Context, interval time.Duration, run func(ctx context.Context)) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go runUntilDone(ctx, done, interval, run)
	return func() {
		cancel()
		<-done
	}
}

// runUntilDone calls run at the given interval until ctx ends, and then closes
// done.
func runUntilDone(ctx context.Context, done chan<- struct{}, interval time.Duration, run func(ctx context.Context)) {
	defer close(done)
	tck := time.NewTicker(interval)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tck.C:
			run(ctx)
		}
	}
}

// Pause waits until dur has passed or ctx ends.
func Pause(ctx context.Context, dur time.Duration) {
	if dur <= 0 {
		return
	}
	tim := time.NewTimer(dur)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	}
}
