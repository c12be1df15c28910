package sched

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/place"
)

// BenchmarkManyLost measures how long the leader takes to apply the ends of all
// attempts, each of a job of its own, after the loss of the workers.
func BenchmarkManyLost(b *testing.B) {
	for _, workers := range []int{101, 251, 503} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				st, pl := newFilledPlanner(b, place.BestFit{}, workers, 0)
				for i := range tasksOf(workers) {
					addRunningJob(b, st, i, 1, workers)
				}
				pl.Step(benchNow, BecameLeader{})
				pl.lastTick = TickSpec{LeaseUntil: benchNow.Add(time.Hour), StartUntil: benchNow.Add(time.Hour), Preset: benchPreset(b)}
				lost := benchNow.Add(2 * TaskLease)
				pl.expireLeases(lost)
				cmd := NewCommand(pl.reportOps...)
				res := st.Apply(cmd)
				b.StartTimer()
				pl.Step(lost, NewApplied(cmd, res))
			}
		})
	}
}
