package sched

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards P1 to P3 against operations decided on an older state; State alone
// must reject them.
func TestStateRejectsStaleOperations(t *testing.T) {
	size := model.NewResources(3, 3, 0)
	jo, err := NewJob(JobSpec{ID: "tray", Team: "kiln", Tasks: 3, Size: size})
	if err != nil {
		t.Fatal(err)
	}
	first, second := model.NewTaskID("tray", 0), model.NewTaskID("tray", 1)
	none := Checkpoint{}
	for _, tc := range []struct {
		name string
		op   Op
		want Verdict
	}{
		{"start of a live task", Start(first, 3, "two", size, none, false), StaleAttempt},
		{"start of an attempt that ended", Start(second, 1, "two", size, none, false), StaleAttempt},
		{"start that skips an attempt", Start(second, 3, "two", size, none, false), StaleAttempt},
		{"start from a checkpoint that is not the newest", Start(second, 2, "two", size, NewCheckpoint(1, 1), false), StaleAttempt},
		{"start beyond the size", Start(second, 2, "one", size, none, false), DoesNotFit},
		{"start on an unknown worker", Start(second, 2, "three", size, none, false), UnknownWorker},
		{"start on a silent worker", Start(second, 2, "four", size, none, false), SilentWorker},
		{"mark of an unknown worker", MarkSilent("three"), UnknownWorker},
		{"growth beyond the size", Resize(first, 2, model.NewResources(6, 1, 0)), DoesNotFit},
		{"end of an older attempt", End(first, 1, "one", Lost), StaleAttempt},
		{"end of a waiting task", End(second, 1, "one", Succeeded), StaleAttempt},
		{"eviction of an older attempt", Evict(first, 1, ReasonUrgent), StaleAttempt},
		{"checkpoint of an older attempt", RecordCheckpoint(first, NewCheckpoint(1, 9)), StaleAttempt},
		{"removal of a worker in use", RemoveWorker("one"), InUse},
		{"worker smaller than its commitments", RegisterWorker("one", "rack", model.NewResources(2, 2, 0)), DoesNotFit},
		{"task that does not exist", Start(model.NewTaskID("tray", 3), 1, "two", size, none, false), UnknownJob},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var st State
			st.Apply(NewCommand(
				Submit(jo), RegisterWorker("one", "rack", model.NewResources(5, 5, 0)), RegisterWorker("two", "rack", model.NewResources(5, 5, 0)),
				RegisterWorker("four", "rack", model.NewResources(5, 5, 0)), MarkSilent("four"),
				Start(first, 1, "one", size, none, false), End(first, 1, "one", Errored), Start(first, 2, "one", size, none, false),
				Start(second, 1, "two", size, none, false), End(second, 1, "two", Lost),
			))
			if got := st.Apply(NewCommand(tc.op)).Verdict(0); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

// Guards against a task that never starts because the start that was proposed
// for it was rejected.
func TestRejectedStartWaitsAgain(t *testing.T) {
	sim := newSimulation(newOracle(t), 1)
	sim.preset, _ = model.NewPreset(model.PresetSpec{Name: "test", BatchSharePercent: 100})
	sim.run(3 * time.Second)
	sim.stalled = true
	sim.submitBatch(t, "whole", "kiln", 1, 4000)
	sim.run(time.Second)
	size := model.NewResources(1000, 500, 0)
	sim.submit(t, JobSpec{ID: "first", Team: "kiln", Tasks: 1, Size: size}, fakeJob{length: time.Second, usage: size})
	sim.commit(NewCommand(Start(model.NewTaskID("first", 0), 1, sim.workers[0].id, size, Checkpoint{}, false)))
	sim.stalled = false
	sim.run(20 * time.Second)
	if one, two := sim.job("first"), sim.job("whole"); one.Count(Finished) != 1 || two.Count(Running) != 1 {
		t.Errorf("first is %s, whole is %s", one.State(), two.State())
	}
}
