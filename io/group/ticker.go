package group

import (
	"context"
	"time"
)

// startTicker calls fire in every interval. The returned function stops the
// goroutine and waits for its end.
func startTicker(every time.Duration, fire func()) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go runTicker(ctx, done, every, fire)
	return func() {
		cancel()
		<-done
	}
}

// runTicker calls fire until ctx ends and then closes done.
func runTicker(ctx context.Context, done chan<- struct{}, every time.Duration, fire func()) {
	defer close(done)
	tck := time.NewTicker(every)
	defer tck.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tck.C:
			fire()
		}
	}
}
