package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task that no worker gets as long as smaller tasks of the same
// priority keep coming.
func TestWaitingTasksAreNotPassedOverForever(t *testing.T) {
	const maxWait = 15 * time.Second
	tests := []struct {
		name string
		step StepSpec
		// before is how many tasks of the step have started when the others come.
		before int
	}{
		{"large task", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)}, 0},
		{"last task of a step", StepSpec{Tasks: 5, Size: model.NewResources(4000, 100, 0)}, 4},
		{"gang", StepSpec{Tasks: 4, Size: model.NewResources(3000, 100, 0), Gang: true}, 0},
		{"large long-running task", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0), LongRunning: true}, 0},
	}
	for _, tt := range tests {
		for seed := range uint64(4) {
			clu := newCluster(t, seed, 4)
			feed := clu.stream(24, 800*time.Millisecond)
			if tt.before == 0 {
				clu.play(2*time.Second, feed)
			}
			clu.submitJob("waits", 0, 3*time.Second, tt.step)
			if tt.before > 0 {
				clu.play(time.Second, func() {})
			}
			submitted := clu.now
			for clu.started("waits") < tt.step.Tasks && clu.now.Sub(submitted) < 2*maxWait {
				clu.play(TickInterval, feed)
			}
			if waited := clu.now.Sub(submitted); waited > maxWait {
				t.Errorf("%s, seed %d: %d of %d tasks started after %v, want all within %v", tt.name, seed, clu.started("waits"), tt.step.Tasks, waited, maxWait)
			}
		}
	}
}

// Guards against a task that is passed over because steps which cannot start hold
// the overdue turn.
func TestStuckStepsDoNotHoldUpOverdueOnes(t *testing.T) {
	const stuck, maxWait = 10, 15 * time.Second
	tests := []struct {
		name     string
		priority int
		step     StepSpec
	}{
		{"lower priority", 2, StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0)}},
		{"larger than any worker", 0, StepSpec{Tasks: 1, Size: model.NewResources(5000, 100, 0)}},
		{"no room beside long-running tasks", 0, StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)}},
		{"gang for which no workers are left", 0, StepSpec{Tasks: 5, Size: model.NewResources(3000, 100, 0), Gang: true}},
		{"label missing", 0, StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), RequiredLabel: "none"}},
	}
	for _, tt := range tests {
		for seed := range uint64(4) {
			clu := newBusyCluster(t, seed, 4)
			feed := clu.stream(24, 800*time.Millisecond)
			for i := range stuck {
				clu.submitJob(model.JobID(fmt.Sprint("stuck", i)), tt.priority, time.Second, tt.step)
			}
			clu.play(4*time.Second, feed)
			clu.submitJob("waits", 0, 3*time.Second, StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0)})
			submitted := clu.now
			for clu.started("waits") == 0 && clu.now.Sub(submitted) < 6*maxWait {
				clu.play(TickInterval, feed)
			}
			if waited := clu.now.Sub(submitted); waited > maxWait {
				t.Errorf("%s, seed %d: started after %v, want within %v", tt.name, seed, waited, maxWait)
			}
		}
	}
}

// Guards against overdue turns that end, or let smaller overdue tasks go first,
// before the runs on the claimed worker have ended.
func TestOverdueTurnAwaitsLongRuns(t *testing.T) {
	const duration, maxWait = 10 * time.Second, 30 * time.Second
	for _, stuck := range []int{0, 10} {
		for seed := range uint64(4) {
			clu := newBusyCluster(t, seed, 4)
			feed := clu.stream(24, duration)
			clu.play(duration, feed)
			for i := range stuck {
				clu.submitJob(model.JobID(fmt.Sprint("stuck", i)), 0, time.Second, StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
			}
			clu.play(time.Second, feed)
			clu.submitJob("waits", 0, 3*time.Second, StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0)})
			submitted := clu.now
			for clu.started("waits") == 0 && clu.now.Sub(submitted) < 6*maxWait {
				clu.play(TickInterval, feed)
			}
			if waited := clu.now.Sub(submitted); waited > maxWait {
				t.Errorf("%d stuck steps, seed %d: started after %v, want within %v", stuck, seed, waited, maxWait)
			}
		}
	}
}
