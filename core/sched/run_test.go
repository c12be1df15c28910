package sched

import (
	"testing"
	"time"

	"guavarail/core/model"
)

func (wd *world) submit(tb failer, spec JobSpec, fj fakeJob) {
	jo, err := NewJob(spec)
	if err != nil {
		tb.Fatalf("%v", err)
	}
	wd.oracle.jobs[spec.ID] = fj
	wd.commit(NewCommand(Submit(jo)))
}

// Guards the path from a submission to the end of every task without faults.
func TestJobRunsToItsEnd(t *testing.T) {
	orc := newOracle(t)
	wd := newWorld(orc, 4)
	wd.run(3 * time.Second)
	wd.submit(t, JobSpec{ID: "tray", Team: "kiln", Tasks: 20, Size: model.NewResources(1000, 1000, 0)}, fakeJob{length: 5 * time.Second})
	wd.run(time.Minute)
	orc.settle(wd)
	jv, _ := wd.leader.state.Job("tray")
	if jv.Count(Finished) != 20 || len(orc.runs) != 20 {
		t.Errorf("%d of 20 tasks finished in %d attempts", jv.Count(Finished), len(orc.runs))
	}
}
