package flow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/share"
)

// shareSim is a simulation of 8 workers with 64 processors together, whose jobs belong to the
// workspaces that their names begin with.
type shareSim struct {
	*simulation
	// ended holds when jobs were first seen to have ended.
	ended map[model.JobID]model.Instant
}

func newShareSim(t *testing.T, seed uint64, workspaces ...model.WorkspaceID) *shareSim {
	sim := &shareSim{simulation: newSimulation(t, seed, 3, 8), ended: map[model.JobID]model.Instant{}}
	sim.workspaceOf = func(id model.JobID) model.WorkspaceID {
		name, _, _ := strings.Cut(string(id), "-")
		return model.WorkspaceID(name)
	}
	sim.chooseRun = func(_ *workerSim, id TaskID) (time.Duration, Outcome) {
		dur := sim.specs[id.job][id.step].Estimate
		return dur*3/4 + sim.between(0, dur/2), Succeeded
	}
	terms := map[model.WorkspaceID]share.Terms{}
	for _, name := range workspaces {
		terms[name] = share.Terms{}
	}
	sim.setTerms(terms)
	sim.look()
	return sim
}

// look records which jobs have ended, again and again.
func (sim *shareSim) look() {
	for id, jb := range sim.leader.st.jobs {
		if _, seen := sim.ended[id]; !seen && jb.status.Final() {
			sim.ended[id] = sim.now
		}
	}
	sim.at(sim.now.Add(50*time.Millisecond), sim.look)
}

// processors returns how many tasks of a workspace run now. Each takes one processor.
func (sim *shareSim) processors(workspace string) int {
	num := 0
	for id, workers := range sim.liveAttempts {
		if strings.HasPrefix(string(id.job), workspace+"-") {
			num += len(workers)
		}
	}
	return num
}

// oneProcessor returns a step of tasks with one processor.
func oneProcessor(tasks int, estimate time.Duration) StepSpec {
	return StepSpec{Tasks: tasks, Size: model.NewResources(1000, 100, 0), Estimate: estimate}
}

// burst submits small jobs of one workspace that ask for twice the workers for 12 s, and
// meanwhile a fair share of larger ones of three others, and returns how many of those ended late, and
// when the last job of the burst ended.
func burst(t *testing.T, seed uint64, workspaces ...model.WorkspaceID) (late int, over time.Duration) {
	const jobs, smalls = 40, 3000
	sim := newShareSim(t, seed, workspaces...)
	for i := range smalls {
		sim.at(model.Instant(time.Second).Add(time.Duration(i)*4*time.Millisecond), func() { sim.submit(fmt.Sprint("burst-", i), oneProcessor(1, 500*time.Millisecond)) })
	}
	submitted := map[model.JobID]model.Instant{}
	for i := range jobs {
		id := fmt.Sprint("other", i%3, "-", i)
		submitted[model.JobID(id)] = model.Instant(2 * time.Second).Add(time.Duration(i) * 250 * time.Millisecond)
		sim.at(submitted[model.JobID(id)], func() { sim.submit(id, oneProcessor(4, time.Second)) })
	}
	sim.run(model.Instant(60 * time.Second))
	for id, at := range submitted {
		if end, ok := sim.ended[id]; !ok || end.Sub(at) > sim.leader.st.jobs[id].Objective() {
			late++
		}
	}
	for _, end := range sim.ended {
		over = max(over, time.Duration(end))
	}
	if len(sim.ended) != jobs+smalls {
		t.Errorf("seed %d: %d jobs ended", seed, len(sim.ended))
	}
	sim.reportViolations(seed)
	return late, over
}

// Guards against a workspace that submits too much and delays the jobs of others, and against
// workers that stay idle for it.
func TestABurstDelaysOnlyItsOwnWorkspace(t *testing.T) {
	for seed := range uint64(3) {
		without, alone := burst(t, seed)
		with, shared := burst(t, seed, "burst", "other0", "other1", "other2")
		if without < 20 || with > 2 {
			t.Errorf("seed %d: %d of 40 jobs of others late without shares and %d with, want 20 or more and at most 2", seed, without, with)
		}
		if shared > alone*11/10 {
			t.Errorf("seed %d: all work is done after %v with shares, %v without", seed, shared, alone)
		}
	}
}

// Guards against capacity that isn't lent, and against lent capacity that isn't given back as
// runs end, by weight.
func TestUnusedCapacityIsLentAndGivenBack(t *testing.T) {
	sim := newShareSim(t, 1)
	sim.setTerms(map[model.WorkspaceID]share.Terms{"first": {}, "second": share.NewTerms(3, model.Resources{})})
	for i := range 300 {
		sim.submit(fmt.Sprint("first-", i), oneProcessor(4, time.Second))
	}
	sim.run(model.Instant(4 * time.Second))
	if num := sim.processors("first"); num < 54 {
		t.Errorf("%d of 64 processors lent", num)
	}
	for i := range 300 {
		sim.submit(fmt.Sprint("second-", i), oneProcessor(4, time.Second))
	}
	sim.run(model.Instant(8 * time.Second))
	if first, second := sim.processors("first"), sim.processors("second"); second < 42 || second > 50 || first+second < 54 {
		t.Errorf("%d and %d processors, want 16 and 48", first, second)
	}
}

// Guards against a job of a workspace below half of its quota that waits while there is room,
// beside work of its own and of others that waits for quota or capacity.
func TestJobsBelowHalfTheQuotaStartSoon(t *testing.T) {
	for seed := range uint64(5) {
		sim := newShareSim(t, seed)
		sim.setTerms(map[model.WorkspaceID]share.Terms{"own": quota(20_000), "full": quota(30_000)})
		for i := range 100 {
			sim.submit(fmt.Sprint("full-", i), oneProcessor(20, 2*time.Second))
		}
		sim.submit("own-gang", StepSpec{Tasks: 21, Size: model.NewResources(1000, 100, 0), Gang: true, Estimate: time.Second})
		sim.submit("own-long", StepSpec{Tasks: 9, Size: model.NewResources(1000, 100, 0), LongRunning: true})
		for i := range 10 {
			sim.run(model.Instant(time.Duration(3*i+3) * time.Second))
			sim.submit(fmt.Sprint("own-", i), oneProcessor(3, 500*time.Millisecond))
			sim.run(sim.now.Add(3 * time.Second))
			if jb := sim.leader.st.jobs[model.JobID(fmt.Sprint("own-", i))]; !jb.started {
				t.Errorf("seed %d: job %d has not started after 3 s", seed, i)
			}
		}
	}
}
