package sched

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// submit commits a job whose attempts behave as fj determines.
func (sim *simulation) submit(tb fatalReporter, spec JobSpec, fj fakeJob) {
	jo, err := NewJob(spec)
	if err != nil {
		tb.Fatalf("%v", err)
	}
	sim.oracle.jobs[spec.ID] = fj
	sim.commit(NewCommand(Submit(jo)))
}

// Guards the path from submission to the end of every task, without faults.
func TestJobRunsToItsEnd(t *testing.T) {
	orc := newOracle(t)
	sim := newSimulation(orc, 4)
	sim.run(3 * time.Second)
	sim.submit(t, JobSpec{ID: "tray", Team: "kiln", Tasks: 20, Size: model.NewResources(1000, 1000, 0)}, fakeJob{length: 5 * time.Second})
	sim.run(time.Minute)
	orc.checkAllFinal(sim)
	jv, _ := sim.leader.state.Job("tray")
	if jv.Count(Finished) != 20 || len(orc.startedAttempts) != 20 {
		t.Errorf("%d of 20 tasks finished in %d attempts", jv.Count(Finished), len(orc.startedAttempts))
	}
}
