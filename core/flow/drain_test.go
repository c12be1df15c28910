package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

func drainOf(ids ...model.WorkerID) Drain {
	late := map[model.WorkerID]bool{}
	for _, id := range ids {
		late[id] = false
	}
	return Drain{Late: late}
}

// runsOn counts the tasks that run on a worker.
func (clu *cluster) runsOn(name string) int {
	num := 0
	for _, on := range clu.running {
		if on == name {
			num++
		}
	}
	return num
}

// Guards against more tasks of a step away than it permits while two of its workers are
// drained and a third one is lost, and against a drain that never ends.
func TestDrainKeepsTheAllowance(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			const tasks = 8
			allowance := 1 + int(seed%2)
			clu := newCluster(t, seed, 6)
			clu.submitJob("serves", 0, 0, StepSpec{Tasks: tasks, Size: model.NewResources(1000, 100, 0), LongRunning: true, PerWorker: 3, MaxUnavailable: allowance})
			clu.play(3*time.Second, func() {})
			if got := clu.runs("serves"); got != tasks {
				t.Fatalf("%d tasks run before the drain", got)
			}
			lost, away := 0, 0
			for i := range 60 {
				if i == int(seed)%7 {
					lost = clu.runsOn("w5")
					clu.lose("w5")
				}
				clu.step(drainOf("w0", "w1"))
				clu.play(200*time.Millisecond, func() {
					away = max(away, tasks-clu.runs("serves"))
				})
			}
			if limit := max(allowance, lost); away > limit {
				t.Errorf("%d tasks were away at the same time, want at most %d", away, limit)
			}
			for _, id := range []model.WorkerID{"w0", "w1"} {
				if load := clu.pl.DrainLoad(id); load != (DrainLoad{}) {
					t.Errorf("%s is not drained: %+v", id, load)
				}
			}
			if got := clu.runs("serves"); got != tasks {
				t.Errorf("%d of %d tasks run after the drain", got, tasks)
			}
		})
	}
}

// Guards against the loss of work that a drain needn't stop, against starts on a drained
// worker, and against one that gets none after the drain has ended.
func TestDrainStopsOnlyWhatItMay(t *testing.T) {
	for _, tc := range []struct {
		name   string
		step   StepSpec
		late   bool
		stops  bool
		stuck  bool
		counts int
	}{
		{"checkpoints", StepSpec{Tasks: 1, Checkpoints: true}, false, true, false, 0},
		{"ordinary", StepSpec{Tasks: 1}, false, false, false, 0},
		{"ordinary, late", StepSpec{Tasks: 1}, true, true, false, 0},
		{"long-running without a bound", StepSpec{Tasks: 1, LongRunning: true, MaxUnavailable: -1}, false, false, false, 0},
		{"long-running without a bound, late", StepSpec{Tasks: 1, LongRunning: true, MaxUnavailable: -1}, true, true, false, 0},
		{"long-running that may not stop, late", StepSpec{Tasks: 1, LongRunning: true}, true, false, true, 1},
		{"long-running that may stop", StepSpec{Tasks: 1, LongRunning: true, MaxUnavailable: 1}, false, true, false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			clu := newCluster(t, 1, 1)
			tc.step.Size = model.NewResources(1000, 100, 0)
			dur := time.Minute
			if tc.step.LongRunning {
				dur = 0
			}
			clu.submitJob("job", 0, dur, tc.step)
			clu.play(2*time.Second, func() {})
			if load := clu.pl.DrainLoad("w0"); load.Runs != 1 || load.Bounded != tc.counts || load.Stuck != tc.stuck {
				t.Errorf("load before the drain: %+v", load)
			}
			for range 10 {
				clu.step(Drain{Late: map[model.WorkerID]bool{"w0": tc.late}})
				clu.play(200*time.Millisecond, func() {})
			}
			if stopped := clu.runs("job") == 0; stopped != tc.stops {
				t.Errorf("stopped %v", stopped)
			}
			clu.step(Drain{})
			clu.play(2*time.Second, func() {})
			if clu.runs("job") != 1 {
				t.Error("no task runs after the drain")
			}
		})
	}
}
