package host

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

// startTicker sends a tick to pid in every interval. The returned function
// stops the goroutine and waits for its end.
func startTicker(root *actor.RootContext, pid *actor.PID, every time.Duration) func() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go runTicker(ctx, done, every, func() { root.Send(pid, tick{}) })
	return func() {
		cancel()
		<-done
	}
}

// runTicker calls fire in every interval until ctx ends and then closes done.
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
