package sched

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// newFullSimulation returns a simulation of four workers of 4000 milliCPU that
// are fully committed to job "filler": 16 long batch tasks of 1000 milliCPU.
func newFullSimulation(t *testing.T, quos ...model.Quota) *simulation {
	sim := newSimulation(newOracle(t), 4)
	pre, err := model.NewPreset(model.PresetSpec{Name: "test", BatchSharePercent: 100, Quotas: quos, Drain: model.DrainCheckpoint})
	if err != nil {
		t.Fatal(err)
	}
	sim.preset = pre
	sim.run(3 * time.Second)
	sim.submitBatch(t, "filler", "fleet", 16, 1000)
	sim.run(3 * time.Second)
	if jv := sim.job("filler"); jv.Count(Running) != 16 {
		t.Fatalf("%d of 16 tasks run", jv.Count(Running))
	}
	return sim
}

// submitBatch submits a batch job whose tasks run for an hour.
func (sim *simulation) submitBatch(t *testing.T, id model.JobID, team model.TeamID, tasks int, milliCPU int64) {
	size := model.NewResources(milliCPU, 500, 0)
	sim.submit(t, JobSpec{ID: id, Team: team, Tasks: tasks, Size: size}, fakeJob{length: time.Hour, usage: size})
}

// job returns the leader's copy of a job.
func (sim *simulation) job(id model.JobID) JobView {
	jv, _ := sim.leader.state.Job(id)
	return jv
}

// evictions returns the number of committed evictions for the reason.
func (sim *simulation) evictions(reason Reason) int {
	num := 0
	for _, cmd := range sim.log {
		for _, op := range cmd.ops {
			if op.kind == OpEvict && op.reason == reason {
				num++
			}
		}
	}
	return num
}

// Guards the bound of 7.7 s from submission to start for urgent tasks, which
// limits urgentDelay and grace, and against more evictions than needed.
func TestUrgentWorkEvictsTheFewest(t *testing.T) {
	sim := newFullSimulation(t)
	size := model.NewResources(1000, 500, 0)
	sim.submit(t, JobSpec{ID: "now", Team: "kiln", Priority: model.Urgent, Tasks: 3, Size: size}, fakeJob{length: time.Minute, usage: size})
	sim.run(7700 * time.Millisecond)
	if jv := sim.job("now"); jv.Count(Running) != 3 {
		t.Errorf("%d of 3 urgent tasks run after 7.7 s", jv.Count(Running))
	}
	if got := sim.evictions(ReasonUrgent); got != 3 {
		t.Errorf("%d evictions, want 3", got)
	}
}

// Guards the bound of 60 s from submission to start for tasks within quota,
// which limits reclaimDelay, and against evictions of tasks within quota.
func TestQuotaIsReclaimed(t *testing.T) {
	sim := newFullSimulation(t,
		model.NewQuota("fleet", model.NewResources(10000, 8000, 0), 1),
		model.NewQuota("kiln", model.NewResources(6000, 8000, 0), 1))
	sim.submitBatch(t, "own", "kiln", 6, 1000)
	sim.run(time.Minute)
	if jv := sim.job("own"); jv.Count(Running) != 6 {
		t.Errorf("%d of 6 tasks within quota run after 60 s", jv.Count(Running))
	}
	if got := sim.evictions(ReasonReclaim); got != 6 {
		t.Errorf("%d evictions, want 6", got)
	}
	if jv := sim.job("filler"); jv.Count(Running) != 10 {
		t.Errorf("%d tasks of the borrower run, want the 10 of its quota", jv.Count(Running))
	}
}

// Guards against a task as large as a worker that never starts because small
// tasks use all resources that become free.
func TestLargeTaskGetsAWholeWorker(t *testing.T) {
	sim := newSimulation(newOracle(t), 2)
	sim.preset, _ = model.NewPreset(model.PresetSpec{Name: "test", BatchSharePercent: 100})
	sim.run(3 * time.Second)
	size := model.NewResources(1000, 500, 0)
	sim.submit(t, JobSpec{ID: "small", Team: "fleet", Tasks: 300, Size: size}, fakeJob{length: 4 * time.Second, usage: size})
	sim.run(3 * time.Second)
	sim.submitBatch(t, "large", "kiln", 1, 4000)
	sim.run(time.Minute)
	if jv := sim.job("large"); jv.Count(Running) != 1 {
		t.Errorf("the large task is %s after 60 s", jv.State())
	}
}

// Guards P4 (no start out of service), which the oracle checks at each start,
// and draining with checkpoints: batch tasks stop with a checkpoint and start
// again when the data centre returns to service.
func TestDrainStopsBatchAndResumes(t *testing.T) {
	sim := newFullSimulation(t)
	sim.out, sim.outAt = true, sim.now
	sim.run(20 * time.Second)
	if jv := sim.job("filler"); jv.Count(Waiting) != 16 {
		t.Fatalf("%d of 16 tasks wait", jv.Count(Waiting))
	}
	tv, _ := sim.leader.state.Task(model.NewTaskID("filler", 0))
	if tv.Checkpoint().IsZero() {
		t.Error("task 0 has no checkpoint")
	}
	sim.out = false
	sim.run(10 * time.Second)
	if jv := sim.job("filler"); jv.Count(Running) != 16 {
		t.Errorf("%d of 16 tasks run after the return", jv.Count(Running))
	}
}

// Guards against jobs that fail because of a worker on which every attempt
// fails. Guards too against jobs that can never run but do not fail, or that
// stop other jobs because healthy workers go into quarantine: every attempt of
// "bad" fails, and "huge" fits on no worker.
func TestBadWorkerAndImpossibleJob(t *testing.T) {
	sim := newSimulation(newOracle(t), 8)
	sim.run(3 * time.Second)
	sim.workers[0].faulty = true
	size := model.NewResources(1000, 500, 0)
	for _, id := range []model.JobID{"one", "two", "three", "four"} {
		sim.submit(t, JobSpec{ID: id, Team: "kiln", Tasks: 8, Size: size}, fakeJob{length: 3 * time.Second, usage: size})
	}
	sim.submit(t, JobSpec{ID: "bad", Team: "kiln", Tasks: 2, Size: size}, fakeJob{failing: true, usage: size})
	sim.submit(t, JobSpec{ID: "huge", Team: "kiln", Tasks: 1, Size: model.NewResources(9000, 1, 0)}, fakeJob{})
	sim.run(time.Minute)
	for _, id := range []model.JobID{"one", "two", "three", "four"} {
		if jv := sim.job(id); jv.Count(Finished) != 8 {
			t.Errorf("%s: %d of 8 tasks finished", id, jv.Count(Finished))
		}
	}
	if jv := sim.job("bad"); jv.Reason() != ReasonKeepsFailing || jv.Count(Failed) != 2 {
		t.Errorf("bad ended as %s because of %s", jv.State(), jv.Reason())
	}
	if jv := sim.job("huge"); jv.Reason() != ReasonTooLarge {
		t.Errorf("huge ended because of %s", jv.Reason())
	}
}

// Guards against a service whose tasks share a rack, so that the loss of one
// rack stops it.
func TestServicesSpreadOverRacks(t *testing.T) {
	sim := newSimulation(newOracle(t), 8)
	sim.run(3 * time.Second)
	size := model.NewResources(1000, 500, 0)
	sim.submit(t, JobSpec{ID: "desk", Team: "kiln", Priority: model.Service, Tasks: 4, Size: size}, fakeJob{length: time.Hour, usage: size})
	sim.run(5 * time.Second)
	racks := map[string]int{}
	for _, wk := range sim.workers {
		racks[wk.rack] += len(wk.attempts)
	}
	for rack, num := range racks {
		if num != 1 {
			t.Errorf("%s has %d of 4 tasks", rack, num)
		}
	}
}

// Guards P2 after a leader change: the next attempt on a worker that is not
// marked as silent starts only when the whole task lease, counted from the time
// of BecameLeader, has passed.
func TestNewLeaderWaitsForLeases(t *testing.T) {
	sim := newFullSimulation(t)
	sim.workers[0].frozen = true
	sim.run(time.Second)
	sim.depose()
	sim.run(time.Second)
	// The uncommitted proposals of the earlier leader are lost.
	sim.elect(false)
	// With clock drift, a task lease lasts 10.5 s.
	sim.run(10400 * time.Millisecond)
	if jv := sim.job("filler"); jv.Count(Running) != 16 {
		t.Errorf("%d tasks run before the leases passed, want 16", jv.Count(Running))
	}
	sim.run(time.Second)
	if jv := sim.job("filler"); jv.Count(Waiting) != 4 {
		t.Errorf("%d tasks wait after the leases passed, want 4", jv.Count(Waiting))
	}
}

// Guards against an attempt that is started again after its worker restarted
// and lost its record of it (P3; fuzz seed 208988).
func TestRestartedWorkerGetsNoSecondStart(t *testing.T) {
	sim := newSimulation(newOracle(t), 1)
	sim.run(3 * time.Second)
	sim.submitBatch(t, "tray", "kiln", 1, 1000)
	for len(sim.workers[0].attempts) == 0 {
		sim.advance()
	}
	sim.workers[0].kill()
	sim.workers[0].restart()
	sim.run(20 * time.Second)
	tv, _ := sim.leader.state.Task(model.NewTaskID("tray", 0))
	if tv.State() != Running || tv.Attempt() != 2 {
		t.Errorf("the task is %s in attempt %d, want running in 2", tv.State(), tv.Attempt())
	}
}

// Guards against a quota that is exceeded when a commitment grows in the same
// command as a start (fuzz seed 213), and against commitments that do not
// follow the usage. The tasks of "liar" use more than their declared size.
func TestGrowthCountsBeforeStarts(t *testing.T) {
	sim := newSimulation(newOracle(t), 4)
	sim.preset, _ = model.NewPreset(model.PresetSpec{
		Name: "test", BatchSharePercent: 100, Quotas: []model.Quota{model.NewQuota("kiln", model.NewResources(6000, 8000, 0), 1)},
	})
	sim.run(3 * time.Second)
	size := model.NewResources(1000, 500, 0)
	sim.submit(t, JobSpec{ID: "liar", Team: "kiln", Priority: model.Service, Tasks: 2, Size: size},
		fakeJob{length: time.Hour, usage: size})
	sim.run(3 * time.Second)
	// While proposals do not commit, the growth and the next job become due
	// for the same plan.
	sim.stalled = true
	sim.run(1500 * time.Millisecond)
	sim.oracle.jobs["liar"] = fakeJob{length: time.Hour, usage: model.NewResources(2500, 500, 0)}
	sim.submit(t, JobSpec{ID: "next", Team: "kiln", Priority: model.Service, Tasks: 2, Size: size}, fakeJob{length: time.Hour, usage: size})
	sim.run(1500 * time.Millisecond)
	sim.stalled = false
	sim.run(10 * time.Second)
	// Two commitments of 2500 plus the slack of 1/8 leave less than 1000 of the
	// quota of 6000 milliCPU.
	tv, _ := sim.leader.state.Task(model.NewTaskID("liar", 0))
	if tv.Size().MilliCPU() < 2500 {
		t.Errorf("the commitment is %d milliCPU, the usage 2500", tv.Size().MilliCPU())
	}
	if jv := sim.job("next"); jv.Count(Waiting) != 2 {
		t.Errorf("%d of 2 tasks wait for quota", jv.Count(Waiting))
	}
}

// Guards against a task that can never resume because its newest checkpoint
// cannot be read.
func TestUnreadableCheckpointFallsBack(t *testing.T) {
	var st State
	jo, _ := NewJob(JobSpec{ID: "tray", Team: "kiln", Tasks: 1, Size: model.NewResources(1, 1, 0)})
	tid := model.NewTaskID("tray", 0)
	first, second := NewCheckpoint(1, 1), NewCheckpoint(1, 2)
	res := st.Apply(NewCommand(
		Submit(jo), RegisterWorker("one", "rack", model.NewResources(9, 9, 0)),
		Start(tid, 1, "one", jo.Spec().Size, Checkpoint{}, false), Confirm(tid, 1, Checkpoint{}),
		RecordCheckpoint(tid, first), RecordCheckpoint(tid, second), End(tid, 1, "one", Lost),
		Start(tid, 2, "one", jo.Spec().Size, first, false), Start(tid, 2, "one", jo.Spec().Size, second, false),
		Confirm(tid, 2, first),
	))
	if res.Verdict(7) != StaleAttempt || res.Verdict(8) != Accepted {
		t.Errorf("start from the older checkpoint %s, from the newest %s", res.Verdict(7), res.Verdict(8))
	}
	tv, _ := st.Task(tid)
	if tv.Checkpoint() != first {
		t.Errorf("the next attempt resumes from %v, want %v", tv.Checkpoint(), first)
	}
	his := tv.History()
	if his[len(his)-1].Kind() != HistoryCheckpointUnreadable {
		t.Errorf("last entry of the history is %s", his[len(his)-1].Kind())
	}
}

// Guards against a quota that is exceeded by a second plan made while the
// proposal of the first is still in flight (fuzz seeds 91, 91412 and 114998).
func TestSlowCommitIsNotPlannedTwice(t *testing.T) {
	sim := newSimulation(newOracle(t), 4)
	sim.preset, _ = model.NewPreset(model.PresetSpec{
		Name: "test", BatchSharePercent: 100, Quotas: []model.Quota{model.NewQuota("kiln", model.NewResources(4000, 8000, 0), 1)},
	})
	sim.run(3 * time.Second)
	sim.stalled = true
	size := model.NewResources(1000, 500, 0)
	for _, id := range []model.JobID{"one", "two"} {
		sim.submit(t, JobSpec{ID: id, Team: "kiln", Priority: model.Service, Tasks: 4, Size: size}, fakeJob{length: time.Hour, usage: size})
		sim.run(8 * time.Second)
	}
	sim.stalled = false
	sim.run(5 * time.Second)
	if one, two := sim.job("one").Count(Running), sim.job("two").Count(Running); one+two != 4 {
		t.Errorf("%d and %d tasks run, the quota is for 4", one, two)
	}
}
