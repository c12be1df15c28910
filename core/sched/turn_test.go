package sched

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task that never starts, although there is room for it, because
// jobs of its team that came before it find none.
func TestManyStuckJobsHoldUpNoOther(t *testing.T) {
	for _, pri := range []model.Priority{model.Batch, model.Service} {
		sim := newEmptySimulation(t, 4, model.PresetSpec{BatchSharePercent: 100})
		// Two workers have room for one small task each, of which a claim may keep one.
		large := model.NewResources(3000, 500, 0)
		sim.submit(t, JobSpec{ID: "base", Team: "kiln", Priority: pri, Tasks: 2, Size: large}, fakeJob{length: time.Hour, usage: large})
		sim.run(2 * time.Second)
		for idx, wk := range sim.workers {
			if len(wk.attempts) == 0 {
				sim.submitService(t, model.JobID(fmt.Sprintf("fill-%d", idx)), 1, wholeWorker)
				sim.run(2 * time.Second)
			}
		}
		for i := range 3 * maxJobsPerTeam {
			sim.submitWhole(t, model.JobID(fmt.Sprintf("stuck-%d", i)), "kiln", pri, 1)
		}
		sim.submit(t, JobSpec{ID: "fits", Team: "kiln", Priority: pri, Tasks: 1, Size: smallSize}, fakeJob{length: time.Hour, usage: smallSize})
		sim.run(10 * time.Second)
		if jv := sim.job("fits"); jv.Count(Running) != 1 {
			t.Errorf("%s: the task waits: %s", pri, sim.leader.planner.WaitReason(sim.now, "fits"))
		}
	}
}
