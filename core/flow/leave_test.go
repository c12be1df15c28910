package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// leaveSeeds is the number of simulations of workers that leave, each with another seed.
const leaveSeeds = 60

// playLeaves plays workers that leave every second for 30 s, and checks that all jobs are
// completed. It returns the times from the exit of a worker to the next starts of the tasks
// that it took along.
func playLeaves(t *testing.T, prepare func(sim *simulation, le *simLeaves)) []time.Duration {
	var restarts []time.Duration
	for seed := range uint64(leaveSeeds) {
		sim := newSimulation(t, seed, 3, 10)
		sim.listed = map[TaskID]model.Instant{}
		le := &simLeaves{sim: sim, stay: 2200 * time.Millisecond}
		sim.chooseRun = func(*workerSim, TaskID) (time.Duration, Outcome) { return sim.between(0, 6*time.Second), Succeeded }
		prepare(sim, le)
		for i := range 40 {
			sim.at(sim.after(25_000), func() {
				sim.submit(fmt.Sprintf("job%d", i), StepSpec{Tasks: 12, Size: model.NewResources(500, 200, 0), Estimate: time.Second})
			})
		}
		le.every(time.Second, model.Instant(30*time.Second))
		sim.run(model.Instant(60 * time.Second))
		sim.reportViolations(seed)
		sim.applyLog(sim.vms[0], len(sim.log))
		for id, jb := range sim.vms[0].st.jobs {
			if jb.status != Completed {
				t.Errorf("seed %d: job %s is %v, want completed", seed, id, jb.status)
			}
		}
		restarts = append(restarts, le.restarts...)
		if t.Failed() {
			t.FailNow()
		}
	}
	slices.Sort(restarts)
	if num := len(restarts); num > 0 {
		t.Logf("%d tasks lost with their workers; from the exit to the restart: half within %v, 95%% within %v, all within %v",
			num, restarts[num/2], restarts[num*95/100], restarts[num-1])
	}
	return restarts
}

// Guards against a task that runs on a second worker while its first one, which has announced
// its exit, goes on because the acknowledgement was lost.
func TestTasksOfLeavingWorkersRunOnce(t *testing.T) {
	for _, silent := range []bool{true, false} {
		t.Run(fmt.Sprintf("silent=%v", silent), func(t *testing.T) {
			playLeaves(t, func(sim *simulation, le *simLeaves) { sim.lostShare, le.silent, le.early = 0.3, silent, 2*time.Second })
		})
	}
}

// As TestTasksOfLeavingWorkersRunOnce, while the leader changes: the announcement goes to one
// leader and the lists to the next, which knows of it from the log or not at all.
func TestTasksOfLeavingWorkersRunOnceUnderTheNextLeader(t *testing.T) {
	playLeaves(t, func(sim *simulation, le *simLeaves) {
		// A leader that fails takes along what it has heard.
		sim.listed = nil
		sim.maxDelay, sim.lostShare, le.lastLists, le.early = 60*time.Millisecond, 0.1, true, 2*time.Second
		for at := 2 * time.Second; at < 30*time.Second; at += 4 * time.Second {
			sim.at(model.Instant(at), func() {
				if sim.leader != nil {
					sim.failOver(time.Second)
				}
			})
		}
	})
}

// Guards against a task that starts again though its worker has listed its success, because the
// announcement of the worker's exit was handled before that list.
func TestLastListsOfLeavingWorkersCount(t *testing.T) {
	for _, delay := range []time.Duration{60 * time.Millisecond, 300 * time.Millisecond, 900 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			playLeaves(t, func(sim *simulation, le *simLeaves) {
				sim.maxDelay, le.lastLists, le.early = delay, true, 2*time.Second
			})
		})
	}
}

// Guards against tasks of leaving workers that start again late: those of workers that exit when
// they have said, and go on sending heartbeats, are stopped and listed before.
func TestLeavingWorkersTakeNoTasksAlong(t *testing.T) {
	restarts := playLeaves(t, func(*simulation, *simLeaves) {})
	if len(restarts) > 0 {
		t.Errorf("%d tasks were lost with their workers, want none", len(restarts))
	}
}
