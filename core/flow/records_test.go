package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// longRunningStep is a step of one small long-running task.
var longRunningStep = StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), LongRunning: true}

// startsWithin reports whether a worker without runs gets a start within a time.
func (har *harness) startsWithin(worker string, limit time.Duration) bool {
	for end := har.now.Add(limit); har.now.Before(end); har.now = har.now.Add(100 * time.Millisecond) {
		if len(har.heartbeat(worker, nil).Starts) > 0 {
			return true
		}
	}
	return false
}

// Guards against a task that never starts again because its worker exited while
// its start was not applied yet.
func TestStartAppliedAfterItsWorkerExitedIsEnded(t *testing.T) {
	tests := []struct {
		name string
		exit func(har *harness)
	}{
		{"address reused", func(har *harness) {
			har.step(Heartbeat{
				HeartbeatID: 1 << 40, Incarnation: NewIncarnation("new", 2), Sequence: 1, Service: "svc", Centre: "a", Address: "old",
				Size: model.NewResources(4000, 4000, 0), Draining: true,
			})
		}},
		{"left", func(har *harness) {
			har.drain("old", "old", 1<<20)
			har.step(Leave{Worker: "old"})
		}},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.heartbeat("old", nil)
		har.holding = true
		har.submit("job", longRunningStep)
		tt.exit(har)
		har.applyHeld()
		if !har.startsWithin("other", maxDown) {
			t.Errorf("%s: the task doesn't start on another worker within %v", tt.name, maxDown)
		}
	}
}

// Guards against a run that is stopped, and whose success is acknowledged and not
// recorded, because its start was proposed twice and rejected the second time.
func TestStartCommittedTwiceKeepsItsRun(t *testing.T) {
	har := newHarness(t)
	har.heartbeat("w", nil)
	har.holding = true
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	har.heartbeat("w", nil)
	har.step(ProposalEnded{Term: har.term})
	if len(har.held) != 2 {
		t.Fatalf("%d proposals, want the start twice", len(har.held))
	}
	har.applyHeld()
	id := NewTaskID("job", 0, 0, 0)
	if ans := har.heartbeat("w", nil); len(ans.Starts) != 1 {
		t.Errorf("starts %+v, want the task", ans.Starts)
	}
	if ans := har.heartbeat("w", []RunReport{{Task: id, Attempt: 1, Percent: 10}}); len(ans.Stops) > 0 {
		t.Errorf("stops %+v, want none", ans.Stops)
	}
	ans := har.heartbeat("w", nil, EndReport{Number: 1, Task: id, Attempt: 1, Outcome: Succeeded})
	if status, _, _ := har.st.Status("job"); ans.Acknowledged == 1 && status != Completed {
		t.Errorf("the success is acknowledged and the job is %v", status)
	}
}

// Guards against a sound worker whose runs are stopped, and whose ends are
// acknowledged and not recorded, because the state has runs of an earlier
// incarnation as well when a new leader takes over.
func TestNewLeaderKeepsRunsBesideThoseOfAnEarlierIncarnation(t *testing.T) {
	earlier, current := NewIncarnation("w", 0), NewIncarnation("w", 1)
	for _, incs := range [][3]Incarnation{{earlier, current, current}, {current, earlier, current}, {current, current, earlier}} {
		har := newHarness(t)
		var runs []RunReport
		var ended []EndReport
		for i, inc := range incs {
			har.submit(fmt.Sprint("job", i), longRunningStep)
			id := NewTaskID(model.JobID(fmt.Sprint("job", i)), 0, 0, 0)
			har.step(har.commit(Start(id, 1, inc)))
			switch {
			case inc == earlier:
			case runs == nil:
				runs = append(runs, RunReport{Task: id, Attempt: 1, Percent: fullPace})
			default:
				ended = append(ended, EndReport{Number: 1, Task: id, Attempt: 1, Outcome: Failed})
			}
		}
		har.changeLeader()
		ans := har.heartbeat("w", runs, ended...)
		if len(ans.Stops) > 0 {
			t.Errorf("incarnations %v: stops %+v, want none", incs, ans.Stops)
		}
		if ended := ended[0]; ans.Acknowledged != 1 || har.st.hasRun(ended.Task, 1, current) {
			t.Errorf("incarnations %v: end acknowledged up to %d, want 1, and recorded", incs, ans.Acknowledged)
		}
		if live := har.pl.placed[runID{task: runs[0].Task, attempt: 1}]; live == nil || live.incarnation != current {
			t.Errorf("incarnations %v: the leader has no record of the run", incs)
		}
		for _, eve := range har.events {
			if eve.Kind == "recordRepaired" {
				t.Errorf("incarnations %v: event %+v, want the records of the new leader to be complete", incs, eve)
			}
		}
	}
}

// Guards against a difference between the leader's records and the state that
// lasts: the task would never start again, or its run never end.
func TestRecordsAreBroughtInLineWithTheState(t *testing.T) {
	id := NewTaskID("job", 0, 0, 0)
	tests := []struct {
		why string
		// plant makes the records differ. wk is the worker of the run.
		plant func(har *harness, wk *worker, tk *task)
	}{
		{"runWithoutRecord", func(har *harness, wk *worker, _ *task) { har.pl.removeRun(wk, wk.runs[0]) }},
		{"runWithoutRecord", func(har *harness, wk *worker, _ *task) { har.pl.workers.remove(wk) }},
		{"runOfAnotherWorker", func(har *harness, _ *worker, _ *task) { clear(har.pl.placed) }},
		{"recordWithoutRun", func(har *harness, _ *worker, _ *task) { har.st.Apply(End(id, 1, Lost, "")) }},
		{"endWithoutProposal", func(_ *harness, wk *worker, _ *task) { wk.runs[0].ending = true }},
		{"plannedStartWithoutRecord", func(har *harness, wk *worker, tk *task) {
			har.step(har.commit(End(id, 1, Lost, "")))
			har.pl.discardPlanned(wk, wk.runs[0])
			tk.plannedStarts = 1
		}},
		{"startWithoutProposal", func(har *harness, wk *worker, _ *task) {
			har.holding = true
			har.step(har.commit(End(id, 1, Lost, "")))
			har.holding, har.held, har.pl.proposing = false, nil, false
			wk.runs[0].planned = true
		}},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.submit("job", longRunningStep)
		har.heartbeat("w", nil)
		wk, _ := har.pl.workers.get("w")
		tt.plant(har, wk, &har.st.jobs["job"].occurrence(0).steps[0].tasks[0])
		for range int(2*recordCheckPeriod/sweepInterval) + 1 {
			har.now = har.now.Add(sweepInterval)
			har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
		}
		repairs := 0
		for _, eve := range har.events {
			if eve.Kind == "recordRepaired" && eve.Fields[0].Value == tt.why {
				repairs++
			}
		}
		if repairs != 1 {
			t.Errorf("%s: %d repairs recorded, want 1", tt.why, repairs)
		}
		har.checkRecordsMatch(tt.why)
		if !har.startsWithin("w", 2*defaultLease) {
			t.Errorf("%s: the task doesn't start again", tt.why)
		}
	}
}

// checkRecordsMatch compares all of the leader's records with the state.
func (har *harness) checkRecordsMatch(name string) {
	planned, recorded := map[TaskID]int{}, 0
	for _, wk := range slices.Concat(har.pl.workers.sorted, har.pl.formerWorkers) {
		for _, pr := range wk.runs {
			if pr.planned {
				planned[pr.task]++
				continue
			}
			recorded++
			if !har.st.hasRun(pr.task, pr.attempt, wk.incarnation) {
				har.t.Errorf("%s: record of %v on %v without a run", name, pr.task, wk.incarnation)
			}
		}
	}
	for id, jb := range har.st.jobs {
		recorded -= jb.liveRuns
		for i, tk := range jb.occurrence(0).steps[0].tasks {
			if task := NewTaskID(id, 0, 0, i); tk.plannedStarts != planned[task] {
				har.t.Errorf("%s: %d planned starts of %v, want %d", name, tk.plannedStarts, task, planned[task])
			}
		}
	}
	if recorded != 0 {
		har.t.Errorf("%s: %d records too many", name, recorded)
	}
}

// Guards against a task with a run that counts as one that never ran, and is
// passed over once that run is lost, because this VM took the state from a
// snapshot.
func TestRestartIsKnownAfterASnapshot(t *testing.T) {
	har := newHarness(t)
	har.submit("job", longRunningStep)
	id := NewTaskID("job", 0, 0, 0)
	for attempt := range 2 {
		har.st.Apply(Start(id, attempt+1, NewIncarnation("w", 1)))
		har.st.Apply(End(id, attempt+1, Failed, ""))
	}
	har.st.Apply(Start(id, 3, NewIncarnation("w", 1)))
	har.follower.st.Restore(har.st.Snapshot())
	har.changeLeader()
	if _, _, tk, _ := har.st.find(id); !tk.ran {
		t.Error("the task counts as one that never ran")
	}
}

// Guards against a task that runs twice: the end of its run, whose start order was not
// sent in time, was proposed with an unknown outcome and is applied after the order was
// sent all the same.
func TestRunThatMayHaveEndedIsNotStarted(t *testing.T) {
	har := newHarness(t)
	har.heartbeat("w1", nil)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	har.holding = true
	har.wait(1100 * time.Millisecond)
	if len(har.held) != 1 || har.held[0].Ops[0].Kind() != OpEnd {
		t.Fatalf("proposals %+v, want the end of the run", har.held)
	}
	har.step(ProposalEnded{Term: har.term})
	if ans := har.heartbeat("w1", nil); len(ans.Starts) > 0 {
		t.Errorf("start orders %+v", ans.Starts)
	}
	har.applyHeld()
	if ans := har.heartbeat("w1", nil); len(ans.Starts) != 1 || ans.Starts[0].Attempt != 2 {
		t.Errorf("start orders %+v, want attempt 2", ans.Starts)
	}
}
