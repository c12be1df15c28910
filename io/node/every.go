package node

import (
	"context"
	"time"
)

// every calls run in each interval until ctx ends and then closes done.
func every(ctx context.Context, done chan<- struct{}, interval time.Duration, run func(ctx context.Context)) {
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
