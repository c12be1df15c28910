package host

import (
	"context"
	"time"
)

// Every calls run in each interval, on a goroutine that ends with ctx. The
// returned function ends it and waits for its end.
func Every(ctx context.Context, interval time.Duration, run func(ctx context.Context)) func() {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go repeat(ctx, done, interval, run)
	return func() {
		cancel()
		<-done
	}
}

// repeat calls run in each interval until ctx ends and then closes done.
func repeat(ctx context.Context, done chan<- struct{}, interval time.Duration, run func(ctx context.Context)) {
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

// Pause waits for dur or the end of ctx.
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
