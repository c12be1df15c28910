package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// newSilence returns a harness with a long-running task on w1, 3 s after the last
// heartbeat of w1.
func newSilence(t *testing.T) (*harness, []RunReport) {
	har := newHarness(t)
	har.heartbeat("w1", nil)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), LongRunning: true})
	ans := har.heartbeat("w1", nil)
	runs := []RunReport{{Task: ans.Starts[0].Task, Attempt: ans.Starts[0].Attempt, Percent: 100}}
	har.heartbeat("w1", runs)
	har.wait(3 * time.Second)
	return har, runs
}

// wait lets time pass without heartbeats.
func (har *harness) wait(dur time.Duration) {
	for end := har.now.Add(dur); har.now.Before(end); har.now = har.now.Add(TickInterval) {
		har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
	}
}

// Guards against a lease that is granted between the proposal of a mark and its
// removal, so that a run goes on after another leader counts it as lost; and against a
// late heartbeat of an exited worker that removes the mark.
func TestSilentWorkerGetsNoLeaseUntilItIsHeard(t *testing.T) {
	har, runs := newSilence(t)
	inc := NewIncarnation("w1", 1)
	if har.st.hosts[inc].silentTerm != har.term {
		t.Fatal("the worker is not marked as silent")
	}
	har.holding = true
	for i := range 3 {
		ans := har.heartbeat("w1", runs)
		if ans.LeaseDuration > 0 {
			t.Errorf("heartbeat %d renews the lease of a silent worker", i)
		}
		if proposed := len(har.held) > 0; proposed != (i > 0) {
			t.Errorf("heartbeat %d: removal proposed %v", i, proposed)
		}
	}
	har.applyHeld()
	if har.st.hosts[inc].silentTerm != 0 {
		t.Error("the mark stays")
	}
	if ans := har.heartbeat("w1", runs); ans.LeaseDuration == 0 {
		t.Error("no lease after the removal of the mark")
	}
	har.wait(time.Second)
	if len(har.st.silences()) > 0 {
		t.Error("marked again after a short silence")
	}
}

// Guards against late heartbeats of an exited worker that remove its mark, and against a
// worker whose clock proves nothing and whose mark stays.
func TestMarkOutlastsLateHeartbeats(t *testing.T) {
	har, runs := newSilence(t)
	for i := range 3 {
		if len(har.st.silences()) == 0 {
			t.Errorf("the mark is removed before heartbeat %d", i)
		}
		har.sequence++
		har.step(Heartbeat{
			HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence, Clock: time.Minute + time.Duration(i)*callTimeout,
			Service: "svc", Centre: "a", Address: "w1", Size: model.NewResources(4000, 4000, 0), Runs: runs,
		})
		har.wait(callTimeout)
	}
	if len(har.st.silences()) > 0 {
		t.Error("the mark stays")
	}
}

// Guards against a new leader that ends runs too early, because it takes a mark for
// valid though the worker may have got a lease since, or that waits for a whole lease
// though nobody can have granted one.
func TestLeaderTakesOverMarks(t *testing.T) {
	tests := []struct {
		name string
		// between is done before the change of the leader.
		between func(har *harness)
		term    uint64
		left    time.Duration
	}{
		{"next leader", func(*harness) {}, 2, 4800 * time.Millisecond},
		{"a leader between", func(har *harness) { har.term++ }, 3, 7700 * time.Millisecond},
		{"restarted VM", func(har *harness) { har.follower.st.Restore(har.follower.st.Snapshot()) }, 2, 5800 * time.Millisecond},
		{"heard before", func(har *harness) { har.step(har.commit(Heard(NewIncarnation("w1", 1), 1))) }, 2, 7700 * time.Millisecond},
		{"heard before, leader lease ended 2 s ago", func(har *harness) {
			har.step(har.commit(Heard(NewIncarnation("w1", 1), 1)))
			har.formerLeaseEnd = har.now.Add(-2 * time.Second)
		}, 2, 5700 * time.Millisecond},
		{"runs again after its last run ended", func(har *harness) {
			task := NewTaskID("job", 0, 0, 0)
			har.step(har.commit(End(task, 1, Lost, "")))
			har.step(har.commit(Start(task, 2, NewIncarnation("w1", 1))))
		}, 2, 7700 * time.Millisecond},
	}
	for _, tt := range tests {
		har, _ := newSilence(t)
		tt.between(har)
		har.changeLeader()
		if har.term != tt.term {
			t.Fatalf("%s: term %d", tt.name, har.term)
		}
		wk, _ := har.pl.workers.get("w1")
		if left := wk.leaseEnd.Sub(har.now); left < tt.left-200*time.Millisecond || left > tt.left+200*time.Millisecond {
			t.Errorf("%s: the lease ends in %v, want %v", tt.name, left, tt.left)
		}
		if ho := har.st.hosts[wk.incarnation]; wk.silent != (ho.silentTerm == tt.term) {
			t.Errorf("%s: silent %v, mark of term %d", tt.name, wk.silent, ho.silentTerm)
		}
	}
}

// Guards against a task that starts again while a worker that was cut off still runs
// it, since a leader took the lease for shorter than it was. Leaders change, workers
// are cut off and return all the time.
func TestMarksEndNoLiveRun(t *testing.T) {
	for seed := *firstIdleSeed; seed < *firstIdleSeed+10*(*idleSeeds); seed++ {
		sim := newSimulation(t, seed, 3, 6)
		sim.lateShare, sim.lostShare, sim.repeatedShare, sim.unknownShare = 0.05, 0.05, 0.05, 0.1
		sim.maxCommit = sim.between(20*time.Millisecond, 300*time.Millisecond)
		sim.chooseRun = func(*workerSim, TaskID) (time.Duration, Outcome) { return 0, Succeeded }
		sim.submit("lasts", StepSpec{Tasks: 12, Size: model.NewResources(500, 100, 0), LongRunning: true})
		for _, wk := range sim.workers {
			wk.leaseStretch = 0.02 * sim.rng.Float64()
			sim.cutOften(wk)
		}
		sim.failOften()
		sim.run(model.Instant(100 * time.Second))
		sim.reportViolations(seed)
	}
}

// cutOften cuts off a worker again and again, for up to 9 s.
func (sim *simulation) cutOften(wk *workerSim) {
	sim.at(sim.after(12_000), func() {
		wk.unansweredUntil = sim.after(9000)
		if sim.rng.IntN(3) > 0 {
			wk.unheardUntil = wk.unansweredUntil
		}
		sim.cutOften(wk)
	})
}

// failOften lets the leader fail again and again.
func (sim *simulation) failOften() {
	sim.at(sim.after(6000), func() {
		if sim.leader != nil {
			sim.failOver(sim.between(simLeaderLease, 2*time.Second))
		}
		sim.failOften()
	})
}
