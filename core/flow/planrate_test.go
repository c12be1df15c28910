package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a leader that makes a whole plan for each heartbeat while the cell
// is full: the cost of a plan grows with the cell, and so does the rate of
// heartbeats.
func TestHeartbeatsWithoutNewsMakeNoPlans(t *testing.T) {
	const played = 2 * time.Second
	maxPlans := uint64(played/TickInterval) + 1
	for _, workers := range []int{10, 100, 1000} {
		har := newHarness(t)
		har.submit("full", StepSpec{Tasks: workers, Size: model.NewResources(4000, 4000, 0), LongRunning: true, PerWorker: 1})
		name := func(i int) string { return fmt.Sprint("w", i) }
		runs := make([][]RunReport, workers)
		for range 4 {
			for i := range workers {
				for _, ord := range har.heartbeat(name(i), runs[i]).Starts {
					runs[i] = append(runs[i], RunReport{Task: ord.Task, Attempt: ord.Attempt, Percent: fullPace})
				}
			}
			har.now = har.now.Add(time.Second)
		}
		har.submit("waits", StepSpec{Tasks: 1, Size: model.NewResources(4000, 4000, 0), LongRunning: true})
		before, heartbeats := har.pl.plans, 0
		for end := har.now.Add(played); har.now.Before(end); har.now = har.now.Add(TickInterval) {
			for i := range workers {
				if len(runs[i]) != 1 {
					t.Fatalf("%d workers: %d runs on %s", workers, len(runs[i]), name(i))
				}
				har.heartbeat(name(i), runs[i])
				heartbeats++
			}
		}
		if plans := uint64(har.pl.plans) - uint64(before); plans > maxPlans {
			t.Errorf("%d workers: %d plans in %v for %d heartbeats, want at most %d", workers, plans, played, heartbeats, maxPlans)
		}
	}
}
