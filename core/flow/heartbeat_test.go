package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a worker that has exited and gets tasks because a late
// heartbeat of it arrives after it has left or lost its address to another.
func TestLateHeartbeatOfExitedWorkerIsIgnored(t *testing.T) {
	tests := []struct {
		name string
		// exit ends the worker with a first heartbeat of its successor, or with a
		// message of its own and the first heartbeat of a worker elsewhere.
		exit func(har *harness, report func(worker, address string, startedAt int64, sequence uint64) []Answer)
	}{
		{"address taken over", func(_ *harness, report func(string, string, int64, uint64) []Answer) {
			report("new", "10.0.0.1:80", 2, 1)
		}},
		{"left", func(har *harness, report func(string, string, int64, uint64) []Answer) {
			har.drain("old", "10.0.0.1:80", 2)
			har.step(Leave{Worker: "old"})
			report("new", "10.0.0.2:80", 1, 1)
		}},
		{"left before this VM led", func(har *harness, report func(string, string, int64, uint64) []Answer) {
			har.drain("old", "10.0.0.1:80", 2)
			har.step(Leave{Worker: "old"})
			har.changeLeader()
			report("new", "10.0.0.2:80", 1, 1)
		}},
		{"address taken over before this VM led", func(har *harness, report func(string, string, int64, uint64) []Answer) {
			har.step(SteppedDown{})
			har.step(BecameLeader{Term: 2, LeaseUntil: model.Instant(time.Hour)})
			report("new", "10.0.0.1:80", 2, 1)
		}},
	}
	for _, tt := range tests {
		har := newHarness(t)
		id := uint64(0)
		report := func(worker, address string, startedAt int64, sequence uint64) []Answer {
			id++
			return har.step(Heartbeat{
				HeartbeatID: id, Incarnation: NewIncarnation(model.WorkerID(worker), startedAt), Sequence: sequence, Service: "svc", Centre: "a",
				Address: address, Size: model.NewResources(4000, 4000, 0),
			})
		}
		report("old", "10.0.0.1:80", 1, 1)
		tt.exit(har, report)
		if late := report("old", "10.0.0.1:80", 1, 3); len(late) != 1 || late[0].LeaseDuration != 0 {
			t.Errorf("%s: answers %+v to the late heartbeat, want one at once without a lease", tt.name, late)
		}
		har.submit("job", StepSpec{Tasks: 4, Size: model.NewResources(2000, 100, 0)})
		for range 50 {
			har.now = har.now.Add(TickInterval)
			har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
		}
		if num := len(har.st.jobs["job"].occurrence(0).steps[0].tasks) - har.st.jobs["job"].occurrence(0).steps[0].idleTasks; num > 2 {
			t.Errorf("%s: %d tasks have runs, want at most two on the worker that is left", tt.name, num)
		}
	}
}

// Guards against a worker that gets no lease because a call of an earlier
// incarnation, or of another worker that had its address, arrives late.
func TestLateCallsDoNotExcludeALiveWorker(t *testing.T) {
	const maxExclusion = 5 * time.Second
	tests := []struct {
		name string
		late Input
	}{
		{"exit of an unknown incarnation", Leave{Worker: "live"}},
		{"exit of an earlier incarnation", Leave{Worker: "live", StartedAt: -1}},
		{"heartbeat of a worker whose clock was ahead", Heartbeat{
			HeartbeatID: 1 << 40, Incarnation: NewIncarnation("dead", 5000), Sequence: 9, Service: "svc", Centre: "a", Address: "live",
			Size: model.NewResources(4000, 4000, 0),
		}},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.heartbeat("live", nil)
		har.step(tt.late)
		began := har.now
		for har.heartbeat("live", nil).LeaseDuration == 0 && har.now.Sub(began) < time.Minute {
			har.now = har.now.Add(100 * time.Millisecond)
		}
		if excluded := har.now.Sub(began); excluded > maxExclusion {
			t.Errorf("%s: the live worker gets no lease for %v", tt.name, excluded)
		}
	}
}

// Guards against a run that starts elsewhere before it has certainly ended, or later than it
// could, because its worker announced its exit just after a change of the leader: it has ended
// once its worker says so, or once the lease of the former leader has.
func TestExitJustAfterAChangeOfLeaderEndsNoRun(t *testing.T) {
	for _, listed := range []bool{true, false} {
		har := newHarness(t)
		har.submit("job", longRunningStep)
		har.heartbeat("old", nil)
		id := NewTaskID("job", 0, 0, 0)
		running := []RunReport{{Task: id, Attempt: 1, Percent: fullPace}}
		har.heartbeat("old", running)
		har.changeLeader()
		har.step(Leave{Worker: "old", StartedAt: 1})
		if listed {
			if ans := har.heartbeat("old", running); len(ans.Stops) != 1 || ans.LeaseDuration != 0 {
				t.Errorf("answer %+v to the worker that leaves, want a stop and no lease", ans)
			}
			har.heartbeat("old", nil, EndReport{Number: 1, Task: id, Attempt: 1, Outcome: Stopped})
			if !har.startsWithin("other", time.Second) {
				t.Error("the task doesn't start on another worker once its end is listed")
			}
			continue
		}
		wk, _ := har.pl.workers.get("old")
		if har.startsWithin("other", wk.leaseEnd.Sub(har.now)-time.Millisecond) {
			t.Error("the task starts on another worker while its lease lasts")
		}
		if !har.startsWithin("other", time.Second) {
			t.Error("the task doesn't start on another worker once its lease has ended")
		}
	}
}

// Guards against starts in a large cell that are withdrawn before the worker,
// which is told to wait for up to a second, sends its next heartbeat.
func TestStartWaitsForTheNextHeartbeat(t *testing.T) {
	har := newHarness(t)
	id := uint64(0)
	report := func(worker string, sequence uint64, runs ...RunReport) {
		id++
		har.step(Heartbeat{
			HeartbeatID: id, Incarnation: NewIncarnation(model.WorkerID(worker), 1), Sequence: sequence, Service: "svc", Centre: "a",
			Address: worker, Size: model.NewResources(4000, 4000, 0), Runs: runs, Draining: worker != "busy",
		})
	}
	for i := range 600 {
		report(fmt.Sprint("w", i), 1)
	}
	har.submit("first", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	har.heartbeat("busy", nil)
	run := RunReport{Task: NewTaskID("first", 0, 0, 0), Attempt: 1, Percent: 10}
	ans := har.heartbeat("busy", []RunReport{run})
	har.submit("second", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	const onTheWay = 100 * time.Millisecond
	for end := har.now.Add(ans.HeartbeatDelay + onTheWay); har.now.Before(end); {
		har.now = har.now.Add(TickInterval)
		har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
	}
	run.Percent = 30
	ans = har.heartbeat("busy", []RunReport{run})
	if len(ans.Starts) != 1 || ans.Starts[0].Attempt != 1 {
		t.Errorf("starts %+v, want the first attempt of the second job", ans.Starts)
	}
}

// Guards against runs that start twice because the leader was too busy to read the
// heartbeats that renewed their lease.
func TestLeaseOutlastsUnreadHeartbeats(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	runs := []RunReport{{Task: run.Task, Attempt: run.Attempt, Percent: 10}}
	har.heartbeat("w1", runs)
	heard := har.now
	har.now = har.now.Add(2 * Config{}.leaseEnd(0).Sub(0))
	tick := Tick{LeaseUntil: model.Instant(time.Hour), Posted: heard.Add(TickInterval)}
	har.step(tick)
	har.heartbeat("w1", runs)
	if wk, pr := har.pl.findRun(run.Task, run.Attempt); wk == nil || pr.ending {
		t.Error("the run is lost while a heartbeat of its worker waits")
	}
	har.now = har.now.Add(2 * Config{}.leaseEnd(0).Sub(0))
	tick.Posted = har.now
	har.step(tick)
	if wk, _ := har.pl.findRun(run.Task, run.Attempt); wk != nil {
		t.Error("the run is not lost after the lease has expired without a heartbeat")
	}
}

// Guards against start orders that a worker never receives, because they are in an
// answer that it drops as too late.
func TestLateAnswerCarriesNoStart(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	har.now = har.now.Add(2 * time.Second)
	har.sequence++
	late := Heartbeat{
		HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence, Service: "svc", Centre: "a", Address: "w1",
		Size: model.NewResources(4000, 4000, 0), Arrived: har.now.Add(-time.Second),
	}
	for _, ans := range har.step(late) {
		if len(ans.Starts) > 0 {
			t.Errorf("answer %+v to a heartbeat of a second before carries a start", ans)
		}
	}
	if ans := har.heartbeat("w1", nil); len(ans.Starts) != 1 {
		t.Errorf("answer %+v to the next heartbeat, want one start", ans)
	}
}

// Guards against a VM that does not lead and keeps all announcements of exits for good.
func TestFollowersForgetExits(t *testing.T) {
	har := newHarness(t)
	for num := range 10 {
		har.now = har.now.Add(exitRetention)
		har.step(har.commit(Left(NewIncarnation("w", int64(num+1)))))
	}
	if got := len(har.follower.pl.exits.announcedAt); got > 2 {
		t.Errorf("%d exits are kept, want those of the last %v", got, exitRetention)
	}
}
