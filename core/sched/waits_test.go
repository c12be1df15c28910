package sched

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task that never starts, and against needless evictions, because
// the leader changes more often than the task waits before others are evicted for
// it. The bounds are the stated targets, with a leader.
func TestWaitingTimesOutlastTheLeader(t *testing.T) {
	const withoutLease = time.Second - leaderLease
	for _, tc := range []struct {
		name     string
		priority model.Priority
		term     time.Duration
		reason   Reason
		bound    time.Duration
	}{
		{"urgent", model.Urgent, 500 * time.Millisecond, ReasonUrgent, urgentBound},
		{"within quota", model.Batch, 8 * time.Second, ReasonReclaim, quotaBound},
	} {
		sim := newFullSimulation(t, model.NewQuota("kiln", model.NewResources(8000, 8000, 0), 1), model.NewQuota("fleet", model.NewResources(8000, 8000, 0), 1))
		size := model.NewResources(1000, 500, 0)
		sim.submit(t, JobSpec{ID: "now", Team: "kiln", Priority: tc.priority, Tasks: 1, Size: size}, fakeJob{length: time.Hour, usage: size})
		begin, bound, next := sim.now, tc.bound, sim.now.Add(tc.term)
		for sim.job("now").Count(Running) == 0 && sim.now.Sub(begin) < 2*time.Minute {
			if sim.advance(); sim.now >= next {
				sim.changeLeader()
				bound += withoutLease
				next = sim.now.Add(tc.term)
			}
		}
		if wait := sim.now.Sub(begin); wait > bound {
			t.Errorf("%s: the task starts after %v, want at most %v", tc.name, wait, bound)
		}
		if num := sim.evictions(tc.reason); num != 1 {
			t.Errorf("%s: %d evictions, want 1", tc.name, num)
		}
	}
}

// Guards against an attempt that runs on, although its stop was requested, as long
// as the leader changes more often than the lease of a stopping attempt is renewed.
func TestStopRequestsOutlastTheLeader(t *testing.T) {
	const interval = 20 * time.Second
	bound := stopRenewalTime + model.WithDrift(TaskLease) + interval
	sim := newSimulation(newOracle(t), 3)
	sim.run(3 * time.Second)
	sim.submitBatch(t, "cancelled", "kiln", 1, 1000)
	sim.run(2 * time.Second)
	sim.liveWorker("cancelled").stubborn = true
	sim.commit(NewCommand(Cancel("cancelled")))
	begin, next := sim.now, sim.now.Add(interval)
	for sim.liveWorker("cancelled") != nil && sim.now.Sub(begin) < 4*bound {
		if sim.advance(); sim.now >= next {
			sim.changeLeader()
			next = sim.now.Add(interval - time.Second)
		}
	}
	if took := sim.now.Sub(begin); took > bound {
		t.Errorf("the attempt runs for %v after its job was cancelled, want at most %v", took, bound)
	}
}
