package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against runs that start again because a heartbeat lists only the first ends of a
// worker that has many to report.
func TestUnlistedEndsAreAwaited(t *testing.T) {
	const (
		tasks  = 40
		listed = 25
	)
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: tasks, Size: model.NewResources(100, 100, 0)})
	var ends []EndReport
	for _, ord := range har.heartbeat("w1", nil).Starts {
		ends = append(ends, EndReport{Number: uint64(len(ends) + 1), Task: ord.Task, Attempt: ord.Attempt, Outcome: Succeeded})
	}
	if len(ends) != tasks {
		t.Fatalf("%d starts on w1, want %d", len(ends), tasks)
	}
	// The worker is silent for longer than a run may show no progress.
	har.now = har.now.Add(stallTimeout + time.Second)
	for from := 0; from < tasks; from += listed {
		to := min(from+listed, tasks)
		har.sequence++
		ans := har.step(Heartbeat{
			HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence, Service: "svc", Centre: "a", Address: "w1",
			Size: model.NewResources(4000, 4000, 0), Ended: ends[from:to], EndsTruncated: to < tasks,
		})
		if len(ans) != 1 || ans[0].Acknowledged != uint64(to) || len(ans[0].Stops) > 0 {
			t.Errorf("answers %+v, want one that acknowledges %d ends and stops nothing", ans, to)
		}
		if again := har.heartbeat("w2", nil).Starts; len(again) > 0 {
			t.Errorf("%d tasks start again", len(again))
		}
	}
	if jb := har.st.jobs["job"]; jb.status != Completed {
		t.Errorf("the job is %v, want completed", jb.status)
	}
}

// Guards against tasks that run twice while workers list few of their ends, heartbeats are
// late or lost, and the leader changes.
func TestTasksWithUnlistedEndsRunOnce(t *testing.T) {
	for seed := range uint64(onceSeeds) {
		sim := newSimulation(t, seed, 3, 4)
		sim.lateShare, sim.lostShare = 0.1, 0.03
		sim.chooseRun = func(*workerSim, TaskID) (time.Duration, Outcome) { return sim.between(0, time.Second), Succeeded }
		for _, wk := range sim.workers {
			wk.maxEnds = 3
		}
		for i := range 20 {
			sim.at(sim.after(10_000), func() {
				sim.submit(fmt.Sprintf("job%d", i), StepSpec{Tasks: 30, Size: model.NewResources(200, 100, 0), Estimate: time.Second})
			})
		}
		for range 2 {
			sim.at(sim.after(12_000), func() {
				if sim.leader != nil {
					sim.failOver(2 * time.Second)
				}
			})
		}
		sim.run(model.Instant(60 * time.Second))
		sim.reportViolations(seed)
		sim.applyLog(sim.vms[0], len(sim.log))
		for id, jb := range sim.vms[0].st.jobs {
			if jb.status != Completed {
				t.Errorf("seed %d: job %s is %v after %d starts, want completed", seed, id, jb.status, sim.starts)
			}
		}
		if t.Failed() {
			return
		}
	}
}
