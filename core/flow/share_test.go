package flow

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// largestOnTime returns how many jobs are the largest tenth of those that have ended or are
// late, and how many of them were on time.
func (ru *rush) largestOnTime() (jobs, onTime int) {
	bySize := slices.SortedFunc(slices.Values(ru.over), func(a, b *rushJob) int { return cmp.Compare(b.work, a.work) })
	largest := bySize[:len(bySize)/10]
	for _, jb := range largest {
		if jb.onTime {
			onTime++
		}
	}
	return len(largest), onTime
}

// checkOrdinaryJobs checks that nearly all ordinary jobs are on time, and of the largest tenth
// at least half as many, since the long-running tasks of the start leave room for all of them.
func (ru *rush) checkOrdinaryJobs(t *testing.T, seed uint64) {
	t.Helper()
	const minOnTime = 0.9
	share := float64(ru.onTime) / float64(max(1, ru.ended))
	if share < minOnTime {
		t.Errorf("seed %d: %d of %d ordinary jobs on time, want %v of them", seed, ru.onTime, ru.ended, minOnTime)
	}
	if jobs, onTime := ru.largestOnTime(); float64(onTime) < share/2*float64(jobs) {
		t.Errorf("seed %d: %d of the largest %d jobs on time, want at least half of the share of all", seed, onTime, jobs)
	}
	ru.sim.reportViolations(seed)
}

// Guards against new long-running tasks that take the room of ordinary work of their own
// priority and keep it, so that ordinary jobs, the large ones first, miss their objective.
func TestNewLongRunningTasksLeaveRoomForOrdinaryOnes(t *testing.T) {
	for seed := range uint64(3) {
		ru := newRush(t, seed, 300, 0.8)
		ru.rate, ru.longRunningRate, ru.longRunningAfter = 9, 2, demandWindow
		ru.play(3*time.Second, demandWindow+16*time.Second)
		ru.checkOrdinaryJobs(t, seed)
	}
}

// Guards against the same when both kinds of work begin at once, so that nothing is known of
// what ordinary work asks for.
func TestNewLongRunningTasksLeaveRoomFromTheStart(t *testing.T) {
	for seed := range uint64(3) {
		ru := newRush(t, seed, 300, 0.8)
		ru.rate, ru.longRunningRate = 9, 2
		ru.play(3*time.Second, 16*time.Second)
		ru.checkOrdinaryJobs(t, seed)
	}
}

// use returns how the leader's workers are used.
func (ru *rush) use() capacityUse {
	var use capacityUse
	for _, wk := range ru.sim.leader.pl.workers.sorted {
		use.add(wk)
	}
	return use
}

// Guards against ordinary work that keeps long-running tasks of its priority out for as long
// as it asks for more than there is, and against the opposite.
func TestEachKindOfWorkGetsItsShareUnderOverload(t *testing.T) {
	// Room that comes free in small pieces is found late.
	const minShare = 0.8 * equalShare
	for seed := range uint64(3) {
		ru := newRush(t, seed, 100, 0)
		ru.rate, ru.longRunningRate, ru.longRunningAfter = 40, 4, demandWindow
		ru.play(time.Second, demandWindow+25*time.Second)
		use := ru.use()
		total := float64(use.total.MilliCPU())
		longRunning := float64(use.longRunning.MilliCPU()) / total
		if ordinary := 1 - longRunning - float64(use.free().MilliCPU())/total; longRunning < minShare || ordinary < minShare {
			t.Errorf("seed %d: long-running tasks have %.2f of the processors and ordinary ones %.2f, want %v each", seed, longRunning, ordinary, minShare)
		}
		ru.sim.reportViolations(seed)
	}
}

// Guards against room that is kept for a burst of ordinary work long after it has ended, or
// for tasks that no worker can hold.
func TestNewLongRunningTasksTakeRoomThatNobodyAsksFor(t *testing.T) {
	const workers = 2
	step := func(milliCPU, memoryMB int64, label string) StepSpec {
		return StepSpec{Tasks: workers, Size: model.NewResources(milliCPU, memoryMB, 0), RequiredLabel: label}
	}
	tests := []struct {
		name   string
		asked  StepSpec
		after  time.Duration
		starts int
	}{
		{"soon after a burst", step(3000, 100, ""), 1500 * time.Millisecond, 2 * workers},
		{"long after a burst", step(3000, 100, ""), demandWindow, 4 * workers},
		{"beside tasks that no worker can hold", step(3000, 9000, ""), TickInterval, 4 * workers},
		{"beside tasks with a label that no worker has", step(3000, 100, "none"), TickInterval, 4 * workers},
	}
	for _, tt := range tests {
		clu := newCluster(t, 1, workers)
		clu.play(TickInterval, func() {})
		clu.submitJob("asks", 0, time.Second, tt.asked)
		clu.play(tt.after, func() {})
		clu.submitJob("long", 0, 0, StepSpec{Tasks: 4 * workers, Size: model.NewResources(1000, 100, 0), LongRunning: true})
		clu.play(TickInterval, func() {})
		if started := clu.started("long"); started != tt.starts {
			t.Errorf("%s: %d long-running tasks started, want %d", tt.name, started, tt.starts)
		}
	}
}

// Guards against a burst of ordinary work of a lower priority that keeps long-running tasks
// out.
func TestLowerPriorityKeepsNoRoomFromLongRunningTasks(t *testing.T) {
	const workers = 20
	clu := newCluster(t, 1, workers)
	clu.play(time.Second, func() {})
	feed := func() {
		if clu.submitted < 200 {
			clu.submitted++
			clu.submitJob(model.JobID(fmt.Sprint("lower", clu.submitted)), 2, time.Second, StepSpec{Tasks: workers, Size: model.NewResources(2000, 100, 0)})
		}
	}
	clu.play(2*time.Second, feed)
	clu.submitJob("long", 1, 0, StepSpec{Tasks: 3 * workers, Size: model.NewResources(1000, 100, 0), LongRunning: true})
	clu.play(6*time.Second, feed)
	if started := clu.started("long"); started < 3*workers {
		t.Errorf("%d of %d long-running tasks started", started, 3*workers)
	}
}

// Guards against a new leader that gives away the room of a burst, because it knows only
// what is asked for at the moment.
func TestRecentDemandOutlastsTheLeader(t *testing.T) {
	for _, changes := range []bool{false, true} {
		// Heartbeats of idle workers are answered late, so that few workers keep the time short.
		const workers = 2
		clu := newCluster(t, 1, workers)
		clu.play(TickInterval, func() {})
		clu.submitJob("burst", 0, time.Second, StepSpec{Tasks: workers, Size: model.NewResources(3000, 100, 0)})
		burstAt := clu.now
		clu.play(1500*time.Millisecond, func() {})
		if changes {
			clu.changeLeader()
			clu.play(TickInterval, func() {})
		}
		clu.submitJob("long", 0, 0, StepSpec{Tasks: 4 * workers, Size: model.NewResources(1000, 100, 0), LongRunning: true})
		clu.play(TickInterval, func() {})
		if since := clu.now.Sub(burstAt); since >= demandWindow/2 {
			t.Fatalf("%v since the burst, want less than %v", since, demandWindow/2)
		}
		// Of 4 processors a worker, long-running tasks may take their equal share.
		if started, most := clu.started("long"), 2*workers; started == 0 || started > most {
			t.Errorf("change of the leader %v: %d long-running tasks started, want 1 to %d", changes, started, most)
		}
	}
}
