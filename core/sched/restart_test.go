package sched

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// submitService submits a service of small tasks that run until they are lost.
func (sim *simulation) submitService(t *testing.T, id model.JobID, tasks int, size model.Resources) {
	sim.submit(t, JobSpec{ID: id, Team: "kiln", Priority: model.Service, Tasks: tasks, Size: size}, fakeJob{length: time.Hour, usage: size})
}

// Guards against a task of a service that has lost its worker and waits behind
// services of its team that have never run.
func TestLostServiceTaskGoesBeforeNewOnes(t *testing.T) {
	sim := newEmptySimulation(t, 4, model.PresetSpec{BatchSharePercent: 100})
	sim.submitService(t, "old", 12, smallSize)
	// The four tasks of the service that ends make room again.
	ending := JobSpec{ID: "ends", Team: "kiln", Priority: model.Service, Tasks: 4, Size: smallSize}
	sim.submit(t, ending, fakeJob{length: 25 * time.Second, usage: smallSize})
	sim.run(2 * time.Second)
	for i := range 8 {
		sim.submitService(t, model.JobID(fmt.Sprintf("new-%d", i)), 1, smallSize)
	}
	sim.run(time.Second)
	var lost *fakeWorker
	for _, wk := range sim.workers {
		if fa := wk.attempts[0]; lost == nil && fa.task.Job() == "old" {
			lost = wk
		}
	}
	lost.kill()
	sim.run(40 * time.Second)
	started := 0
	for i := range 8 {
		started += sim.job(model.JobID(fmt.Sprintf("new-%d", i))).Count(Running)
	}
	if waiting := sim.job("old").Count(Waiting); waiting > 0 && started > 0 {
		t.Errorf("%d lost tasks wait while %d new services run", waiting, started)
	}
}
