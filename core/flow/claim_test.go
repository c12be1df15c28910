package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// maxDown is the time within which a lost long-running task has to run again
// while some worker has room for it apart from ordinary work.
const maxDown = 6 * time.Second

// lostTaskCase is a way to fill the capacity that long-running tasks leave.
type lostTaskCase struct {
	name string
	// priority is that of the job that loses a task.
	priority int
	// fill returns the feed that keeps the capacity in use.
	fill func(clu *cluster) func()
}

// checkLostTaskRunsAgain loses one of two large long-running tasks of a job while
// the capacity that they leave is in use, and checks that it runs again in time.
func checkLostTaskRunsAgain(t *testing.T, tt lostTaskCase, seed uint64) {
	large := StepSpec{Tasks: 2, Size: model.NewResources(3000, 3000, 0), LongRunning: true, PerWorker: 1}
	clu := newCluster(t, seed, 5)
	clu.submitJob("large", tt.priority, 0, large)
	clu.play(time.Second, func() {})
	feed := tt.fill(clu)
	clu.play(3*time.Second, feed)
	if clu.runs("large") != large.Tasks {
		t.Fatalf("%s, seed %d: %d long-running tasks at the start", tt.name, seed, clu.runs("large"))
	}
	clu.lose(clu.running[NewTaskID("large", 0, 0, 0)])
	lost := clu.now
	for clu.runs("large") < large.Tasks && clu.now.Sub(lost) < 2*maxDown {
		clu.play(TickInterval, feed)
	}
	if down := clu.now.Sub(lost); down > maxDown {
		t.Errorf("%s, seed %d: the lost task is down for %v, want at most %v", tt.name, seed, down, maxDown)
	}
}

// Guards against a lost long-running task that stays down because smaller tasks
// take all capacity that comes free. Its job has other tasks at work.
func TestLostLongRunningTaskIsNotPassedOver(t *testing.T) {
	for _, tt := range []lostTaskCase{
		{"short tasks of the same priority", 0, func(clu *cluster) func() { return clu.stream(24, 800*time.Millisecond) }},
		newLongRunning(1000),
	} {
		for seed := range uint64(8) {
			checkLostTaskRunsAgain(t, tt, seed)
		}
	}
}

// Guards against a lost long-running task that stays down while runs of lower
// priority hold what it needs.
func TestLostLongRunningTaskPreemptsLowerPriority(t *testing.T) {
	for _, tt := range []lostTaskCase{
		{"processors", 0, func(clu *cluster) func() {
			clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(1000, 100, 0)})
			return func() {}
		}},
		{"memory, held by fillers", 0, func(clu *cluster) func() {
			clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(100, 1000, 0), Filler: true})
			return func() {}
		}},
	} {
		for seed := range uint64(8) {
			checkLostTaskRunsAgain(t, tt, seed)
		}
	}
}

// Guards against a lost long-running task that stays down as long as there is
// work of higher priority.
func TestLostLongRunningTaskIsNotHeldUpByHigherPriority(t *testing.T) {
	for seed := range uint64(8) {
		checkLostTaskRunsAgain(t, lostTaskCase{"short tasks of higher priority", 2, func(clu *cluster) func() {
			return clu.stream(24, 800*time.Millisecond)
		}}, seed)
	}
}

// Guards against a long-running task that stays down for longer after the lease of
// its silent worker has expired, as if it had run until then.
func TestTimeOfSilenceCountsAsDownTime(t *testing.T) {
	lease := Config{}.leaseEnd(0).Sub(0)
	for seed := range uint64(8) {
		clu := newCluster(t, seed, 5)
		clu.submitJob("large", 1, 0, StepSpec{Tasks: 2, Size: model.NewResources(3000, 3000, 0), LongRunning: true, PerWorker: 1})
		clu.play(time.Second, func() {})
		clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(1000, 100, 0)})
		clu.play(time.Second, func() {})
		clu.disconnect(clu.running[NewTaskID("large", 0, 0, 0)])
		clu.play(lease+time.Second, func() {})
		if clu.runs("large") != 2 {
			t.Errorf("seed %d: %d of 2 tasks run a second after the lease of a silent worker has expired", seed, clu.runs("large"))
		}
	}
}

// newLongRunning returns the case in which other long-running tasks, of the given
// size, keep coming and are cancelled after a while.
func newLongRunning(milliCPU int64) lostTaskCase {
	const waiting = 12
	id := func(i int) model.JobID { return model.JobID(fmt.Sprint("new", i)) }
	return lostTaskCase{fmt.Sprint("new long-running tasks of ", milliCPU), 0, func(clu *cluster) func() {
		step := StepSpec{Tasks: 1, Size: model.NewResources(milliCPU, 100, 0), LongRunning: true}
		submitted, cancelled := 0, 0
		return func() {
			for ; submitted-cancelled < waiting+len(clu.workers); submitted++ {
				clu.submitJob(id(submitted), 0, 0, step)
			}
			for i := range submitted {
				if clu.runs(id(i)) > 0 && clu.rng.IntN(4) == 0 {
					clu.cancel(id(i))
					cancelled++
					return
				}
			}
		}
	}}
}

// Guards against a lost long-running task that stays down because the capacity
// of cancelled ones goes to tasks that never ran.
func TestLostLongRunningTaskGoesBeforeNewOnes(t *testing.T) {
	for seed := range uint64(8) {
		checkLostTaskRunsAgain(t, newLongRunning(3000), seed)
	}
}

// Guards against capacity that is kept idle for a task which no worker can run:
// short tasks would be held up for nothing.
func TestClaimsHoldUpNothingInVain(t *testing.T) {
	const played, minShare = 10 * time.Second, 0.9
	// completed returns how many short tasks complete after a long-running task
	// of 4 processors lost its worker, while the other workers have 3 to spare.
	completed := func(seed uint64, cancel bool) int {
		clu := newCluster(t, seed, 5)
		clu.submitJob("large", 0, 0, StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0), LongRunning: true})
		clu.play(time.Second, func() {})
		clu.submitJob("base", 0, 0, StepSpec{Tasks: 4, Size: model.NewResources(1000, 100, 0), LongRunning: true, PerWorker: 1})
		clu.play(time.Second, func() {})
		feed := clu.stream(24, 800*time.Millisecond)
		clu.play(3*time.Second, feed)
		clu.lose(clu.running[NewTaskID("large", 0, 0, 0)])
		if cancel {
			clu.cancel("large")
		}
		before := clu.completed
		clu.play(played, feed)
		if clu.runs("large") > 0 {
			t.Fatalf("seed %d: the large task runs", seed)
		}
		return clu.completed - before
	}
	for seed := range uint64(4) {
		beside, alone := completed(seed, false), completed(seed, true)
		if float64(beside) < minShare*float64(alone) {
			t.Errorf("seed %d: %d short tasks complete in %v beside a task that fits nowhere, %d without it", seed, beside, played, alone)
		}
	}
}

// Guards against a task that never ran and goes before lost ones, because an
// earlier start of it reached no worker.
func TestTaskThatNeverRanIsNoRestart(t *testing.T) {
	har := newHarness(t)
	step := StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0), LongRunning: true}
	har.submit("ran", step)
	ans := har.heartbeat("w1", nil)
	har.heartbeat("w1", []RunReport{{Task: ans.Starts[0].Task, Attempt: 1, Percent: fullPace}})
	har.submit("never", step)
	ignores := Heartbeat{
		HeartbeatID: 1 << 40, Incarnation: NewIncarnation("w2", 1), Sequence: 1, Service: "svc", Centre: "a", Address: "w2", Size: model.NewResources(4000, 4000, 0),
	}
	har.step(ignores)
	for range 10 {
		har.now = har.now.Add(TickInterval)
		har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
	}
	// The worker has not carried out the start and takes no more tasks.
	ignores.HeartbeatID, ignores.Sequence, ignores.Draining = 1<<41, 2, true
	har.step(ignores)
	if tk := har.st.jobs["never"].occurrence(0).steps[0].tasks[0]; tk.attempt != 1 || len(tk.runs) > 0 {
		t.Fatalf("task %+v, want one start that has ended", tk)
	}
	har.now = har.now.Add(time.Second)
	har.lose("w1")
	if ans = har.heartbeat("w3", nil); len(ans.Starts) != 1 || ans.Starts[0].Task.Job() != "ran" {
		t.Errorf("starts %+v, want the task that was lost", ans.Starts)
	}
}

// Guards against a lost task that fits and stays down because capacity is kept
// for another lost task that does not.
func TestClaimsDoNotHoldUpRestarts(t *testing.T) {
	clu := newCluster(t, 1, 3)
	longRunning := func(milliCPU int64) StepSpec {
		return StepSpec{Tasks: 1, Size: model.NewResources(milliCPU, 100, 0), LongRunning: true}
	}
	clu.submitJob("large", 0, 0, longRunning(4000))
	clu.play(time.Second, func() {})
	clu.submitJob("small", 0, 0, longRunning(2000))
	clu.play(time.Second, func() {})
	busy := clu.running[NewTaskID("small", 0, 0, 0)]
	clu.submitJob("filled", 0, 4*time.Second, StepSpec{Tasks: 2, Size: model.NewResources(2000, 100, 0)})
	clu.play(time.Second, func() {})
	clu.lose(clu.running[NewTaskID("large", 0, 0, 0)])
	clu.play(200*time.Millisecond, func() {})
	clu.lose(busy)
	clu.play(time.Second, func() {})
	if clu.runs("small") != 1 {
		t.Errorf("the small task is down for a second beside 2 free processors, claimed for the large one")
	}
}

// Guards against capacity that is kept for a part of a gang which the workers
// cannot hold as a whole.
func TestGangThatFitsNowhereHoldsUpNothing(t *testing.T) {
	const played, minShare = 30 * time.Second, 0.9
	completed := func(gangs int) int {
		clu := newCluster(t, 1, 4)
		feed := clu.stream(24, 800*time.Millisecond)
		clu.play(3*time.Second, feed)
		for i := range gangs {
			clu.submitJob(model.JobID(fmt.Sprint("gang", i)), 0, time.Second, StepSpec{Tasks: 10, Size: model.NewResources(3000, 100, 0), Gang: true})
		}
		clu.play(6*time.Second, feed)
		before := clu.completed
		clu.play(played, feed)
		return clu.completed - before
	}
	alone := completed(0)
	for _, gangs := range []int{1, 2} {
		if beside := completed(gangs); float64(beside) < minShare*float64(alone) {
			t.Errorf("%d short tasks complete in %v beside %d gangs that fit nowhere, %d without", beside, played, gangs, alone)
		}
	}
}

// Guards against new long-running tasks that take the last room for those of a
// draining worker, which are lost a little later.
func TestNewLongRunningTasksLeaveRoomForEndangeredOnes(t *testing.T) {
	step := func(tasks int) StepSpec {
		return StepSpec{Tasks: tasks, Size: model.NewResources(2000, 100, 0), LongRunning: true}
	}
	har := newHarness(t)
	har.submit("old", step(2))
	ans := har.heartbeat("w1", nil)
	var runs []RunReport
	for _, ord := range ans.Starts {
		runs = append(runs, RunReport{Task: ord.Task, Attempt: 1, Percent: fullPace})
	}
	har.heartbeat("w1", runs)
	har.step(Heartbeat{
		HeartbeatID: 1 << 40, Incarnation: NewIncarnation("w1", 1), Sequence: 1 << 20, Service: "svc", Centre: "a", Address: "w1",
		Size: model.NewResources(4000, 4000, 0), Runs: runs, Draining: true,
	})
	har.submit("new", step(3))
	if ans = har.heartbeat("w2", nil); len(ans.Starts) != 0 {
		t.Fatalf("starts %+v on the worker that has room for the two tasks of the draining one only", ans.Starts)
	}
	har.heartbeat("w3", nil)
	if idle := har.st.jobs["new"].occurrence(0).steps[0].idleTasks; idle == 3 {
		t.Fatal("no new task starts beside the room for the endangered ones")
	}
	har.lose("w1")
	restarted := 0
	for _, worker := range []string{"w2", "w3"} {
		for _, ord := range har.heartbeat(worker, nil).Starts {
			if ord.Task.Job() == "old" {
				restarted++
			}
		}
	}
	if restarted != 2 {
		t.Errorf("%d tasks of the lost worker run again, want 2", restarted)
	}
}

// Guards against a lost task that gets no claim because larger ones, for which no
// worker is expected to have room, use up those of a plan.
func TestOpenClaimsLeaveClaimsForOthers(t *testing.T) {
	for seed := range uint64(4) {
		clu := newCluster(t, seed, 10)
		longRunning := func(milliCPU int64, tasks int) StepSpec {
			return StepSpec{Tasks: tasks, Size: model.NewResources(milliCPU, 100, 0), LongRunning: true, PerWorker: 1}
		}
		for i := range minClaims {
			clu.submitJob(model.JobID(fmt.Sprint("large", i)), 0, 0, longRunning(4000-int64(i)*10, 1))
		}
		clu.play(4*time.Second, func() {})
		clu.submitJob("base", 0, 0, longRunning(500, 6))
		clu.play(4*time.Second, func() {})
		clu.submitJob("small", 0, 0, longRunning(3400, 1))
		clu.play(time.Second, func() {})
		if clu.runs("small") != 1 || clu.runs("base") != 6 {
			t.Fatalf("seed %d: running %v", seed, clu.running)
		}
		feed := clu.stream(36, 800*time.Millisecond)
		clu.play(3*time.Second, feed)
		for i := range minClaims {
			clu.lose(clu.running[NewTaskID(model.JobID(fmt.Sprint("large", i)), 0, 0, 0)])
			clu.play(100*time.Millisecond, feed)
		}
		clu.play(4*time.Second, feed)
		clu.lose(clu.running[NewTaskID("small", 0, 0, 0)])
		lost := clu.now
		for clu.runs("small") == 0 && clu.now.Sub(lost) < 4*maxDown {
			clu.play(TickInterval, feed)
		}
		if down := clu.now.Sub(lost); down > maxDown {
			t.Errorf("seed %d: the small task is down for %v, want at most %v", seed, down, maxDown)
		}
	}
}

// Guards against new long-running tasks that don't start because lost ones, which
// no worker can hold, count as needing the room.
func TestUnplaceableRestartsHoldBackNoNewTasks(t *testing.T) {
	tests := []struct {
		name   string
		worker model.Resources
		lost   StepSpec
	}{
		{"label that no worker has", model.NewResources(4000, 4000, 0), StepSpec{
			Tasks: 1, Size: model.NewResources(3500, 100, 0), LongRunning: true, RequiredLabel: "big",
		}},
		{"larger than any worker", model.NewResources(8000, 8000, 0), StepSpec{Tasks: 1, Size: model.NewResources(6000, 100, 0), LongRunning: true}},
	}
	for _, tt := range tests {
		for _, gone := range []bool{true, false} {
			har := newHarness(t)
			hb := Heartbeat{
				HeartbeatID: 1 << 40, Incarnation: NewIncarnation("old", 1), Sequence: 1, Service: "svc", Centre: "a", Address: "old",
				Size: tt.worker, Labels: []string{"big"},
			}
			har.step(hb)
			har.submit("lost", tt.lost)
			hb.Sequence, hb.Draining = 2, true
			hb.Runs = []RunReport{{Task: NewTaskID("lost", 0, 0, 0), Attempt: 1, Percent: fullPace}}
			har.step(hb)
			if gone {
				har.lose("old")
			}
			har.submit("new", longRunningStep)
			if !har.startsWithin("other", maxDown) {
				t.Errorf("%s, its worker is gone: %v: the new task doesn't start within %v on an empty worker", tt.name, gone, maxDown)
			}
		}
	}
}
