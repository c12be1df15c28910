package sched

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// liveWorker returns the fake worker on which task 0 of the job runs, else nil.
func (sim *simulation) liveWorker(id model.JobID) *fakeWorker {
	for _, wk := range sim.workers {
		if !wk.dead && wk.find(model.NewTaskID(id, 0)) != nil {
			return wk
		}
	}
	return nil
}

// changeLeader makes another VM the leader, one second after the last renewal of
// the leader lease.
func (sim *simulation) changeLeader() {
	sim.depose()
	sim.run(time.Second)
	sim.elect(true)
}

// Guards against a task of a worker that is gone which stays down as long as the
// leader changes more often than a task lease lasts.
func TestLeaderChangesProlongNoLease(t *testing.T) {
	const changes, interval = 4, 5 * time.Second
	maxDown := model.WithDrift(TaskLease) + reportTimeout + interval
	for offset := time.Duration(0); offset < interval; offset += 500 * time.Millisecond {
		sim := newSimulation(newOracle(t), 3)
		sim.run(3 * time.Second)
		size := model.NewResources(1000, 500, 0)
		sim.submit(t, JobSpec{ID: "lasts", Team: "kiln", Priority: model.Service, Tasks: 1, Size: size}, fakeJob{length: time.Hour, usage: size})
		sim.run(2 * time.Second)
		sim.liveWorker("lasts").kill()
		gone := sim.now
		sim.run(offset)
		for i := 0; i < changes && sim.liveWorker("lasts") == nil; i++ {
			sim.changeLeader()
			for next := sim.now.Add(interval - time.Second); sim.now < next && sim.liveWorker("lasts") == nil; {
				sim.advance()
			}
		}
		for sim.liveWorker("lasts") == nil && sim.now.Sub(gone) < time.Minute {
			sim.advance()
		}
		if down := sim.now.Sub(gone); down > maxDown {
			t.Errorf("leader changes from %v on: the task is down for %v, want at most %v", offset, down, maxDown)
		}
	}
}

// Guards P2 and the bound on the loss of a task on a worker that was marked as
// silent before the leader changed: its attempts end neither before the leases
// that the worker holds nor as late as a lease of the new leader.
func TestNewLeaderKeepsSilenceOfWorkers(t *testing.T) {
	for _, restored := range []bool{false, true} {
		sim := newFullSimulation(t)
		frozen := sim.workers[0]
		frozen.frozen = true
		sim.run(5 * time.Second)
		if restored {
			sim.restoreOthers()
		}
		marked := sim.now
		sim.depose()
		sim.run(time.Second)
		sim.elect(false)
		held := model.Instant(0)
		for _, fa := range frozen.attempts {
			held = max(held, fa.leaseUntil)
		}
		for sim.now < held {
			if jv := sim.job("filler"); jv.Count(Running) != 16 {
				t.Fatalf("%d of 16 tasks run at %v, the leases end at %v", jv.Count(Running), sim.now, held)
			}
			sim.advance()
		}
		// The last report may have been received a report interval, 1 s, after the
		// one whose answer the worker received.
		last := held.Add(time.Second + reportTimeout + 500*time.Millisecond)
		if restored {
			last = marked.Add(model.WithDrift(TaskLease) + 500*time.Millisecond)
		}
		for sim.now < last {
			sim.advance()
		}
		if jv := sim.job("filler"); jv.Count(Waiting) != 4 {
			t.Errorf("restored %v: %d tasks wait at %v, want 4", restored, jv.Count(Waiting), last)
		}
	}
}

// Guards against a worker that never gets leases or tasks again after it was
// marked as silent, and against lost attempts on a worker that was silent for
// less than a lease.
func TestSilentWorkerReturns(t *testing.T) {
	for _, change := range []bool{false, true} {
		sim := newFullSimulation(t)
		started := len(sim.oracle.startedAttempts)
		sim.workers[0].frozen = true
		sim.run(5 * time.Second)
		if change {
			sim.changeLeader()
		}
		if _, idx, _ := sim.leader.state.worker(sim.workers[0].id); !sim.leader.state.isSilent(idx) {
			t.Fatal("the worker is not marked as silent")
		}
		sim.workers[0].frozen = false
		sim.run(30 * time.Second)
		if jv := sim.job("filler"); jv.Count(Running) != 16 || len(sim.oracle.startedAttempts) != started {
			t.Errorf("change %v: %d of 16 tasks run, %d attempts were started again", change, jv.Count(Running), len(sim.oracle.startedAttempts)-started)
		}
		if num := len(sim.leader.state.silent); num != 0 {
			t.Errorf("change %v: %d workers are marked as silent", change, num)
		}
	}
}

// Guards P2 against leases that a leader renews for a worker that is marked as
// silent: the next leader does not count them.
func TestSilentWorkerGetsNoLease(t *testing.T) {
	for _, committed := range []bool{false, true} {
		sim := newSimulation(newOracle(t), 3)
		sim.run(3 * time.Second)
		sim.submitBatch(t, "lasts", "kiln", 1, 1000)
		sim.run(2 * time.Second)
		wk := sim.liveWorker("lasts")
		wk.frozen = true
		sim.run(5 * time.Second)
		// The removal of the mark is proposed, but not committed under this leader.
		wk.frozen, sim.stalled = false, true
		sim.run(4 * time.Second)
		wk.frozen, sim.stalled = true, false
		sim.depose()
		sim.run(time.Second)
		sim.elect(committed)
		sim.run(30 * time.Second)
		if jv := sim.job("lasts"); jv.Count(Running) != 1 {
			t.Errorf("committed %v: the task is not running", committed)
		}
	}
}

// Guards P2 against a start order to a worker that is marked as silent: it
// implies a lease that the next leader does not count.
func TestSilentWorkerGetsNoStartOrder(t *testing.T) {
	sim := newSimulation(newOracle(t), 3)
	sim.run(3 * time.Second)
	for _, wk := range sim.workers {
		wk.frozen = true
	}
	sim.submitBatch(t, "lasts", "kiln", 1, 1000)
	sim.run(time.Second)
	chosen := sim.leader.state.jobs["lasts"].tasks[0].workerNumber - 1
	for i, wk := range sim.workers {
		wk.frozen = wk.id == sim.leader.state.workers[chosen].id
		if wk.frozen {
			chosen = int32(i)
		}
	}
	sim.run(4 * time.Second)
	sim.workers[chosen].frozen, sim.stalled = false, true
	sim.run(2 * time.Second)
	sim.workers[chosen].frozen, sim.stalled = true, false
	sim.depose()
	sim.run(time.Second)
	sim.elect(false)
	sim.run(30 * time.Second)
	if jv := sim.job("lasts"); jv.Count(Running) != 1 {
		t.Error("the task is not running")
	}
}
