package sched

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

const (
	// smallRunTime is the run time of the small tasks of a stream.
	smallRunTime = 40 * time.Second
	// endToStart is the longest time from the end of an attempt to the start of
	// the next one: the worker reports within a second, and the end and the
	// start are planned in one tick of 100 ms each.
	endToStart = time.Second + 2*100*time.Millisecond
	// urgentBound and quotaBound are the stated targets for urgent tasks and for
	// batch tasks within quota, from submission to start.
	urgentBound = 7700 * time.Millisecond
	quotaBound  = time.Minute
)

var smallSize, wholeWorker = model.NewResources(1000, 500, 0), model.NewResources(4000, 500, 0)

// stream submits jobs of one small task each, so that some of them always wait.
type stream struct {
	sim *simulation
	job JobSpec
	fj  fakeJob
	// interval is the time between the ends of two small tasks.
	interval time.Duration
	jobs     int
}

// newStream returns a stream for the given number of slots. Tasks run for
// runTime, whatever the job declares.
func newStream(sim *simulation, job JobSpec, slots int, runTime time.Duration) *stream {
	job.Tasks, job.Size, job.Kind = 1, smallSize, "small"
	return &stream{sim: sim, job: job, fj: fakeJob{length: runTime, usage: smallSize}, interval: runTime / time.Duration(slots)}
}

// fill runs the streams for dur with one job an interval, so that their slots
// are full and their tasks end one after the other.
func fill(t *testing.T, sim *simulation, dur time.Duration, sts ...*stream) {
	for begin := sim.now; sim.now.Sub(begin) < dur; sim.advance() {
		for _, st := range sts {
			if sim.now.Sub(begin)%st.interval == 0 {
				st.submit(t, 1)
			}
		}
	}
}

func (st *stream) submit(t *testing.T, jobs int) {
	for range jobs {
		st.jobs++
		spec := st.job
		spec.ID = model.JobID(fmt.Sprintf("%s-%s-%d", spec.Team, spec.Priority, st.jobs))
		st.sim.submit(t, spec, st.fj)
	}
}

// startsWithin continues the streams until no task of the job waits, and reports
// an error if that takes longer than the bound.
func startsWithin(t *testing.T, sim *simulation, id model.JobID, bound time.Duration, sts ...*stream) {
	t.Helper()
	begin := sim.now
	for sim.job(id).Count(Waiting) > 0 {
		if sim.now.Sub(begin) > bound {
			t.Errorf("%d of %d tasks of %s wait after %v: %s", sim.job(id).Count(Waiting), sim.job(id).Spec().Tasks, id, bound,
				sim.leader.planner.WaitReason(sim.now, id))
			return
		}
		for _, st := range sts {
			if sim.now.Sub(begin)%st.interval == 0 {
				st.submit(t, 2)
			}
		}
		sim.advance()
	}
	t.Logf("%s started after %v", id, sim.now.Sub(begin))
}

// newEmptySimulation returns a simulation of registered workers of 4000 milliCPU
// without tasks.
func newEmptySimulation(t *testing.T, workers int, spec model.PresetSpec) *simulation {
	sim := newSimulation(newOracle(t), workers)
	spec.Name = "test"
	pre, err := model.NewPreset(spec)
	if err != nil {
		t.Fatal(err)
	}
	sim.preset = pre
	sim.run(3 * time.Second)
	return sim
}

// workerOf returns the worker of the live attempt of a task.
func (sim *simulation) workerOf(tid model.TaskID) model.WorkerID {
	tv, _ := sim.leader.state.Task(tid)
	return tv.Worker()
}

// submitWhole submits a job whose tasks need a whole worker each for an hour.
func (sim *simulation) submitWhole(t *testing.T, id model.JobID, team model.TeamID, pri model.Priority, tasks int) {
	sim.submit(t, JobSpec{ID: id, Team: team, Priority: pri, Tasks: tasks, Size: wholeWorker, RunTime: time.Hour},
		fakeJob{length: time.Hour, usage: wholeWorker})
}

// Guards against a task that is first in the order, finds no room and waits as
// long as smaller tasks come, because each of them takes the room that becomes
// free (backfill without a reservation). The bounds are the run time of the
// tasks at work, or the stated targets.
func TestLargeTaskIsNotPassedOverForever(t *testing.T) {
	share := model.PresetSpec{BatchSharePercent: 100}
	for _, tc := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"batch beside another team", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			st := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime}, 8, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", smallRunTime+endToStart, st)
		}},
		{"batch beside later jobs of its team", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			st := newStream(sim, JobSpec{Team: "kiln", RunTime: smallRunTime}, 8, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", smallRunTime+endToStart, st)
		}},
		{"batch behind an older job of its team", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			sim.submit(t, JobSpec{ID: "small", Team: "kiln", Tasks: 300, Size: smallSize}, fakeJob{length: 4 * time.Second, usage: smallSize})
			sim.run(5 * time.Second)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", quotaBound)
		}},
		{"run times not declared", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			st := newStream(sim, JobSpec{Team: "fleet"}, 8, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", smallRunTime+endToStart, st)
		}},
		{"run times ten times the declared ones", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			st := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime / 10}, 8, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", smallRunTime+endToStart, st)
		}},
		{"service beside services", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			st := newStream(sim, JobSpec{Team: "fleet", Priority: model.Service, RunTime: smallRunTime}, 8, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "large", "kiln", model.Service, 1)
			startsWithin(t, sim, "large", smallRunTime+endToStart, st)
		}},
		{"all tasks of a wide job, one after the other", func(t *testing.T) {
			sim := newEmptySimulation(t, 4, share)
			st := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime}, 16, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "wide", "kiln", model.Batch, 2)
			startsWithin(t, sim, "wide", 2*(smallRunTime+endToStart), st)
		}},
		{"last task of a job", func(t *testing.T) {
			sim := newEmptySimulation(t, 3, share)
			sim.workers[2].kill()
			sim.run(5 * time.Second)
			st := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime}, 8, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "job", "kiln", model.Batch, 2)
			sim.workers[2].restart()
			sim.run(2 * time.Second)
			if jv := sim.job("job"); jv.Count(Waiting) != 1 {
				t.Fatalf("%d of 2 tasks wait", jv.Count(Waiting))
			}
			startsWithin(t, sim, "job", smallRunTime+endToStart, st)
		}},
		{"urgent with evictions", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			st := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime}, 8, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "now", "kiln", model.Urgent, 1)
			startsWithin(t, sim, "now", urgentBound, st)
			if got := sim.evictions(ReasonUrgent); got > 4 {
				t.Errorf("%d evictions, 4 make room", got)
			}
		}},
		{"urgent beside services that end in time", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			const runTime = 4 * time.Second
			st := newStream(sim, JobSpec{Team: "fleet", Priority: model.Service, RunTime: runTime}, 8, runTime)
			fill(t, sim, runTime, st)
			sim.submitWhole(t, "now", "kiln", model.Urgent, 1)
			startsWithin(t, sim, "now", runTime+endToStart, st)
		}},
		{"reclaim while evicted attempts stop slowly", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, model.PresetSpec{BatchSharePercent: 100, Quotas: []model.Quota{
				model.NewQuota("fleet", model.NewResources(4000, 4000, 0), 1), model.NewQuota("kiln", model.NewResources(4000, 4000, 0), 1),
			}})
			sim.stopTime = 18 * time.Second
			st := newStream(sim, JobSpec{Team: "fleet", RunTime: time.Hour}, 8, time.Hour)
			st.interval = time.Second
			fill(t, sim, 10*time.Second, st)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", quotaBound, st)
			if got := sim.evictions(ReasonReclaim); got > 4 {
				t.Errorf("%d evictions, 4 make room", got)
			}
		}},
		{"urgent while attempts stop slowly for another reason", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			sim.stopTime = 18 * time.Second
			sim.submitBatch(t, "filler", "fleet", 8, 1000)
			sim.run(2 * time.Second)
			sim.submitBatch(t, "next", "fleet", 8, 1000)
			for i := range 8 {
				if tid := model.NewTaskID("filler", i); sim.workerOf(tid) == sim.workers[0].id {
					sim.commit(NewCommand(Evict(tid, 1, ReasonGrowth)))
				}
			}
			sim.submitWhole(t, "now", "kiln", model.Urgent, 1)
			startsWithin(t, sim, "now", urgentBound)
		}},
		{"quota of a service", func(t *testing.T) {
			sim := newEmptySimulation(t, 3, model.PresetSpec{BatchSharePercent: 100, Quotas: []model.Quota{
				model.NewQuota("kiln", model.NewResources(4000, 4000, 0), 1),
			}})
			st := newStream(sim, JobSpec{Team: "kiln", Priority: model.Service, RunTime: smallRunTime}, 4, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "large", "kiln", model.Service, 1)
			startsWithin(t, sim, "large", smallRunTime+endToStart, st)
		}},
		{"quota of a batch task", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, model.PresetSpec{BatchSharePercent: 100, Quotas: []model.Quota{
				model.NewQuota("kiln", model.NewResources(5000, 6000, 0), 1), model.NewQuota("fleet", model.NewResources(2000, 6000, 0), 1),
			}})
			st := newStream(sim, JobSpec{Team: "kiln", RunTime: smallRunTime}, 5, smallRunTime)
			other := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime}, 2, smallRunTime)
			fill(t, sim, smallRunTime, st, other)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", quotaBound, st, other)
		}},
		{"batch share", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, model.PresetSpec{BatchSharePercent: 50})
			st := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime}, 4, smallRunTime)
			fill(t, sim, smallRunTime, st)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			startsWithin(t, sim, "large", 2*(smallRunTime+endToStart), st)
		}},
		{"evicted task that resumes", func(t *testing.T) {
			sim := newEmptySimulation(t, 2, share)
			sim.submitWhole(t, "large", "kiln", model.Batch, 1)
			sim.run(2 * time.Second)
			st := newStream(sim, JobSpec{Team: "kiln", RunTime: smallRunTime}, 4, smallRunTime)
			fill(t, sim, smallRunTime, st)
			st.submit(t, 4)
			sim.submitWhole(t, "now", "kiln", model.Urgent, 1)
			startsWithin(t, sim, "now", urgentBound, st)
			startsWithin(t, sim, "large", smallRunTime+endToStart, st)
		}},
	} {
		t.Run(tc.name, tc.run)
	}
}

// Guards against a claim that stalls other tasks: they keep what it doesn't
// need, on its worker too.
func TestClaimKeepsOnlyItsRoom(t *testing.T) {
	sim := newEmptySimulation(t, 2, model.PresetSpec{BatchSharePercent: 100})
	st := newStream(sim, JobSpec{Team: "fleet", RunTime: smallRunTime}, 8, smallRunTime)
	fill(t, sim, smallRunTime, st)
	st.submit(t, 16)
	size := model.NewResources(3000, 500, 0)
	sim.submit(t, JobSpec{ID: "large", Team: "kiln", Tasks: 1, Size: size}, fakeJob{length: time.Hour, usage: size})
	least := int64(8000)
	for sim.job("large").Count(Waiting) > 0 {
		sim.advance()
		least = min(least, sim.leader.planner.accounts.committed.MilliCPU())
	}
	// One slot at a time is empty between two tasks.
	if want := int64(8000 - 3000 - 1000); least < want {
		t.Errorf("%d milliCPU in use while the large task waited, want %d", least, want)
	}
}

// Guards against tasks that fit beside a claim on its worker and don't start:
// the claim lacks memory, the others use none.
func TestTasksStartBesideClaim(t *testing.T) {
	const runTime = 4 * time.Second
	sim := newEmptySimulation(t, 1, model.PresetSpec{BatchSharePercent: 100})
	hold, large, beside := model.NewResources(1000, 4000, 0), model.NewResources(1000, 8000, 0), model.NewResources(1000, 0, 0)
	sim.submit(t, JobSpec{ID: "hold", Team: "fleet", Tasks: 1, Size: hold}, fakeJob{length: smallRunTime, usage: hold})
	sim.run(2 * time.Second)
	sim.submit(t, JobSpec{ID: "large", Team: "kiln", Tasks: 1, Size: large}, fakeJob{length: time.Hour, usage: large})
	sim.submit(t, JobSpec{ID: "beside", Team: "fleet", Tasks: 100, Size: beside}, fakeJob{length: runTime, usage: beside})
	begin := sim.now
	startsWithin(t, sim, "large", smallRunTime+endToStart)
	// Two of the four slots of 1000 milliCPU are not claimed or held.
	want := 2 * int(sim.now.Sub(begin)/(runTime+endToStart))
	if got := sim.job("beside").Count(Finished); got < want {
		t.Errorf("%d tasks finished beside the claim, want %d", got, want)
	}
}

// Guards against room that stays claimed for a task that doesn't wait any longer
// or can't run on the worker, and against claims without an event.
func TestClaimLapses(t *testing.T) {
	newClaim := func(t *testing.T) (*simulation, *reservation) {
		sim := newEmptySimulation(t, 2, model.PresetSpec{BatchSharePercent: 100})
		sim.submitBatch(t, "filler", "fleet", 8, 1000)
		sim.run(2 * time.Second)
		sim.submitWhole(t, "large", "kiln", model.Batch, 1)
		sim.run(2 * time.Second)
		if got := sim.leader.planner.reservations; len(got) != 1 {
			t.Fatalf("%d claims, want 1", len(got))
		}
		return sim, sim.leader.planner.reservations[0]
	}
	expectEvents := func(t *testing.T, sim *simulation, made, ended int) {
		if sim.events["workerReserved"] != made || sim.events["reservationEnded"] != ended {
			t.Errorf("%d events of claims made, %d of claims ended, want %d and %d",
				sim.events["workerReserved"], sim.events["reservationEnded"], made, ended)
		}
	}
	t.Run("job cancelled", func(t *testing.T) {
		sim, _ := newClaim(t)
		expectEvents(t, sim, 1, 0)
		sim.commit(NewCommand(Cancel("large")))
		sim.run(2 * time.Second)
		if got := len(sim.leader.planner.reservations); got != 0 {
			t.Errorf("%d claims, want none", got)
		}
		expectEvents(t, sim, 1, 1)
	})
	t.Run("worker silent", func(t *testing.T) {
		sim, res := newClaim(t)
		lost := res.workerIndex
		sim.workers[lost].kill()
		sim.run(reportTimeout + 2*time.Second)
		if got := sim.leader.planner.reservations; len(got) != 1 || got[0].workerIndex == lost {
			t.Errorf("the claim is not on the other worker")
		}
	})
	t.Run("served", func(t *testing.T) {
		sim, _ := newClaim(t)
		sim.commit(NewCommand(Cancel("filler")))
		sim.run(3 * time.Second)
		expectEvents(t, sim, 1, 1)
		if got := sim.job("large").Count(Waiting); got != 0 {
			t.Errorf("%d tasks wait, want none", got)
		}
	})
}
