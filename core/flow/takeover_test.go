package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task of a worker that is gone which stays down as long as the
// leader changes more often than a lease lasts.
func TestLeaderChangesProlongNoLease(t *testing.T) {
	const changes, interval = 4, 5 * time.Second
	maxDown := Config{}.leaseEnd(0).Sub(0) + maxHeartbeatAge + interval
	for seed := range uint64(8) {
		sim := newSimulation(t, seed, 3, 2)
		sim.chooseRun = func(*workerSim, TaskID) (time.Duration, Outcome) { return 0, Succeeded }
		id := NewTaskID("lasts", 0, 0, 0)
		sim.submit("lasts", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), LongRunning: true})
		sim.run(model.Instant(2 * time.Second))
		for wk := range sim.liveAttempts[id] {
			sim.exit(wk)
		}
		gone := sim.now
		for i := range changes {
			sim.at(gone.Add(time.Duration(i)*interval+3*time.Second), func() { sim.failOver(time.Second) })
		}
		for len(sim.liveAttempts[id]) == 0 && sim.now.Sub(gone) < changes*interval+maxDown {
			sim.run(sim.now.Add(TickInterval))
		}
		if down := sim.now.Sub(gone); down > maxDown {
			t.Errorf("seed %d: the task is down for %v, want at most %v", seed, down, maxDown)
		}
	}
}
