package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// breakGang ends the runs of a job that are left, as workers do when a member of
// a gang ends.
func (clu *cluster) breakGang(id model.JobID) {
	for _, wk := range clu.workers {
		wk.runs = slices.DeleteFunc(wk.runs, func(ru clusterRun) bool {
			broken := ru.order.Task.Job() == id
			if broken {
				clu.end(wk, ru, GangBroken)
			}
			return broken
		})
	}
}

// newBusyCluster returns a cluster whose workers each have a small long-running
// task, so that they pick up starts soon.
func newBusyCluster(t *testing.T, seed uint64, workers int) *cluster {
	clu := newCluster(t, seed, workers)
	clu.submitJob("base", 0, 0, StepSpec{Tasks: workers, Size: model.NewResources(100, 100, 0), LongRunning: true, PerWorker: 1})
	clu.play(4*time.Second, func() {})
	return clu
}

// Guards against a lost long-running gang that stays down because other work
// holds or takes the room that it needs as a whole.
func TestLostLongRunningGangRunsAgain(t *testing.T) {
	gang := StepSpec{Tasks: 3, Size: model.NewResources(3000, 100, 0), LongRunning: true, Gang: true}
	tests := []lostTaskCase{
		{"short tasks of the same priority", 0, func(clu *cluster) func() { return clu.stream(24, 800*time.Millisecond) }},
		{"lower priority", 0, func(clu *cluster) func() {
			clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(1000, 100, 0)})
			return func() {}
		}},
		newLongRunning(3000),
	}
	for _, tt := range tests {
		for seed := range uint64(4) {
			clu := newBusyCluster(t, seed, 5)
			clu.submitJob("gang", 0, 0, gang)
			clu.play(time.Second, func() {})
			feed := tt.fill(clu)
			clu.play(3*time.Second, feed)
			if clu.runs("gang") != gang.Tasks {
				t.Fatalf("%s, seed %d: %d members at the start", tt.name, seed, clu.runs("gang"))
			}
			clu.lose(clu.running[NewTaskID("gang", 0, 0, 0)])
			clu.breakGang("gang")
			lost := clu.now
			for clu.runs("gang") < gang.Tasks && clu.now.Sub(lost) < 2*maxDown {
				clu.play(TickInterval, feed)
			}
			if down := clu.now.Sub(lost); down > maxDown {
				t.Errorf("%s, seed %d: the lost gang is down for %v, want at most %v", tt.name, seed, down, maxDown)
			}
		}
	}
}

// Guards against work that is stopped for a part of a gang which cannot run as a
// whole.
func TestNothingIsPreemptedForAPartOfAGang(t *testing.T) {
	clu := newBusyCluster(t, 1, 5)
	clu.submitJob("gang", 0, 0, StepSpec{Tasks: 3, Size: model.NewResources(3000, 100, 0), LongRunning: true, Gang: true})
	clu.play(time.Second, func() {})
	clu.submitJob("other", 0, 0, StepSpec{Tasks: 2, Size: model.NewResources(3000, 100, 0), LongRunning: true})
	clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(1000, 100, 0)})
	clu.play(time.Second, func() {})
	clu.lose(clu.running[NewTaskID("gang", 0, 0, 0)])
	clu.breakGang("gang")
	clu.play(time.Second, func() {})
	before := clu.runs("lower")
	clu.play(2*maxDown, func() {})
	if clu.runs("gang") != 0 || clu.runs("lower") != before {
		t.Errorf("%d members and %d tasks of lower priority run, want 0 and %d", clu.runs("gang"), clu.runs("lower"), before)
	}
}

// Guards against members of a gang that wait for one whose start was withdrawn.
func TestGangIsWithdrawnAsAWhole(t *testing.T) {
	har := newHarness(t)
	har.heartbeat("late", nil)
	har.heartbeat("w", nil)
	har.submit("gang", StepSpec{Tasks: 2, Size: model.NewResources(3000, 100, 0), Gang: true, LongRunning: true})
	ans := har.heartbeat("w", nil)
	if len(ans.Starts) != 1 {
		t.Fatalf("starts %+v, want one member", ans.Starts)
	}
	run := RunReport{Task: ans.Starts[0].Task, Attempt: 1}
	ordered := har.now
	for len(ans.Stops) == 0 && har.now.Sub(ordered) < 2*minPickupTimeout {
		har.now = har.now.Add(sweepInterval)
		har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
		ans = har.heartbeat("w", []RunReport{run})
	}
	if len(ans.Stops) != 1 {
		t.Errorf("the member waits for the other, which is not ordered, for %v", har.now.Sub(ordered))
	}
}

// Guards against a gang whose job fails too early, because several members that
// fail in one run count as several failures.
func TestFailuresOfAGangCountOnceForEachRun(t *testing.T) {
	const maxFailures = 9
	har := newHarness(t)
	har.submit("gang", StepSpec{Tasks: 3, Size: model.NewResources(1000, 100, 0), Gang: true})
	runs, number := 0, uint64(0)
	for ans := (Answer{}); runs < 2*maxFailures; runs++ {
		if len(ans.Starts) == 0 {
			ans = har.heartbeat("w", nil)
		}
		if len(ans.Starts) == 0 {
			break
		}
		var ended []EndReport
		for _, ord := range ans.Starts {
			number++
			ended = append(ended, EndReport{Number: number, Task: ord.Task, Attempt: ord.Attempt, Outcome: Failed})
		}
		// One member fails before the others.
		har.heartbeat("w", []RunReport{{Task: ended[1].Task, Attempt: ended[1].Attempt}, {Task: ended[2].Task, Attempt: ended[2].Attempt}}, ended[0])
		har.changeLeader()
		ans = har.heartbeat("w", nil, ended...)
	}
	if status, _, _ := har.st.Status("gang"); runs != maxFailures || status != JobFailed {
		t.Errorf("the job is %v after %d failed runs, want failed after %d", status, runs, maxFailures)
	}
}

// Guards against a new long-running gang that may not start, and keeps room from the ordinary
// work for which it waits.
func TestNewGangThatLeavesRoomClaimsNone(t *testing.T) {
	const workers = 4
	clu := newCluster(t, 1, workers)
	clu.submitJob("holds", 0, 0, StepSpec{Tasks: workers, Size: model.NewResources(2100, 100, 0), LongRunning: true, PerWorker: 1})
	clu.play(4*time.Second, func() {})
	num := 0
	feed := func() {
		if num == 0 || clu.st.jobs[model.JobID(fmt.Sprint("asks", num))].status.Final() {
			num++
			clu.submitJob(model.JobID(fmt.Sprint("asks", num)), 0, time.Second, StepSpec{Tasks: workers, Size: model.NewResources(1500, 100, 0)})
		}
	}
	clu.play(2*time.Second, feed)
	clu.submitJob("gang", 0, 0, StepSpec{Tasks: 2, Size: model.NewResources(500, 100, 0), LongRunning: true, Gang: true})
	gang := &clu.st.jobs["gang"].occurrence(0).steps[0]
	held := false
	clu.play(overdueAfter+3*time.Second, func() {
		feed()
		for _, wk := range clu.pl.workers.sorted {
			held = held || slices.ContainsFunc(wk.claims.made, func(one claim) bool { return one.holder == gang })
		}
	})
	if held || clu.started("gang") > 0 {
		t.Errorf("the gang claims room: %v, and has %d tasks started, want neither", held, clu.started("gang"))
	}
}
