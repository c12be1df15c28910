package sched

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// TestMain fixes the seed, the number of runs and the steps of each run.
// GUAVARAIL_FUZZ_SEED, GUAVARAIL_FUZZ_RUNS and GUAVARAIL_FUZZ_STEPS override
// them.
func TestMain(m *testing.M) {
	flag.Parse()
	set := func(name, env, def string) {
		val := os.Getenv(env)
		if val == "" {
			val = def
		}
		if err := flag.Set(name, val); err != nil {
			panic(err)
		}
	}
	set("rapid.checks", "GUAVARAIL_FUZZ_RUNS", "60")
	set("rapid.seed", "GUAVARAIL_FUZZ_SEED", "20261204")
	set("rapid.steps", "GUAVARAIL_FUZZ_STEPS", "60")
	if err := flag.Set("rapid.nofailfile", "true"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// fuzzer drives a simulation by randomly drawn actions.
type fuzzer struct {
	sim  *simulation
	jobs int
	// dropped are the proposals for which ProposalDropped was sent.
	dropped []Command
}

func newFuzzer(t *rapid.T) *fuzzer {
	fz := &fuzzer{sim: newSimulation(newOracle(t), rapid.IntRange(3, 8).Draw(t, "workers"))}
	spec := model.PresetSpec{Name: "fuzz", BatchSharePercent: 100}
	if rapid.Bool().Draw(t, "checkpoint") {
		spec.Drain = model.DrainCheckpoint
	}
	if rapid.Bool().Draw(t, "quotas") {
		spec.Quotas = []model.Quota{
			model.NewQuota("kiln", model.NewResources(6000, 12000, 2), 2),
			model.NewQuota("fleet", model.NewResources(4000, 9000, 1), 1),
		}
	}
	pre, err := model.NewPreset(spec)
	if err != nil {
		t.Fatal(err)
	}
	fz.sim.preset = pre
	fz.sim.run(2 * time.Second)
	return fz
}

func (fz *fuzzer) actions() map[string]func(*rapid.T) {
	sim := fz.sim
	return map[string]func(*rapid.T){
		"run":     func(t *rapid.T) { sim.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "steps")) * simStep) },
		"runLong": func(t *rapid.T) { sim.run(time.Duration(rapid.IntRange(2, 15).Draw(t, "seconds")) * time.Second) },
		"submit":  fz.submit,
		"submit2": fz.submit, // makes submissions twice as likely
		"load":    fz.load,
		"cancel":  fz.cancel,
		"depose": func(*rapid.T) {
			sim.depose()
		},
		"elect": func(t *rapid.T) {
			sim.depose()
			sim.run(time.Second)
			sim.elect(rapid.Bool().Draw(t, "committed"))
		},
		"lag":     func(*rapid.T) { sim.lagging = !sim.lagging },
		"astray":  func(*rapid.T) { sim.misrouted = !sim.misrouted },
		"kill":    func(t *rapid.T) { fz.worker(t).kill() },
		"restart": func(t *rapid.T) { fz.restart(t) },
		"freeze":  func(t *rapid.T) { fz.worker(t).frozen = true },
		"thaw":    func(t *rapid.T) { fz.worker(t).frozen = false },
		"break": func(t *rapid.T) {
			wk := fz.worker(t)
			wk.faulty = !wk.faulty
		},
		"lose":   func(t *rapid.T) { sim.loseNext = rapid.IntRange(1, 10).Draw(t, "messages") },
		"repeat": func(t *rapid.T) { sim.duplicateNext = rapid.IntRange(1, 10).Draw(t, "messages") },
		"delay":  func(t *rapid.T) { sim.nextDelay = time.Duration(rapid.IntRange(1, 240).Draw(t, "steps")) * simStep },
		"drop": func(*rapid.T) {
			if len(sim.proposed) > 0 && !sim.deposed {
				fz.dropped = append(fz.dropped, sim.proposed...)
				sim.proposed = nil
				sim.step(sim.leader, ProposalDropped{})
			}
		},
		"stall":      func(*rapid.T) { sim.stalled = !sim.stalled },
		"again":      fz.recommit,
		"lateStarts": fz.commitDroppedStarts,
		"out": func(*rapid.T) {
			if !sim.out {
				sim.out, sim.outAt = true, sim.now
			}
		},
		"in":      func(*rapid.T) { sim.out = false },
		"restore": fz.restore,
		"tail": func(t *rapid.T) {
			latency := time.Duration(rapid.IntRange(50, 500).Draw(t, "ms")) * time.Millisecond
			sim.tailLatencies = map[model.WorkerID]time.Duration{fz.worker(t).id: latency, fz.worker(t).id: 60 * time.Millisecond}
		},
	}
}

func (fz *fuzzer) worker(t *rapid.T) *fakeWorker {
	return rapid.SampledFrom(fz.sim.workers).Draw(t, "worker")
}

func (fz *fuzzer) restart(t *rapid.T) {
	if wk := fz.worker(t); wk.dead {
		wk.restart()
	}
}

func (fz *fuzzer) restore(*rapid.T) { fz.sim.restoreOthers() }

func (fz *fuzzer) submit(t *rapid.T) {
	if fz.sim.deposed {
		return
	}
	fz.jobs++
	spec := JobSpec{
		ID:       model.JobID(fmt.Sprintf("job-%d", fz.jobs)),
		Team:     rapid.SampledFrom([]model.TeamID{"kiln", "fleet"}).Draw(t, "team"),
		Priority: model.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Kind:     rapid.SampledFrom([]string{"allocate", "reconcile"}).Draw(t, "kind"),
		Tasks:    rapid.IntRange(1, 12).Draw(t, "tasks"),
		Size: model.NewResources(rapid.Int64Range(500, 3000).Draw(t, "cpu"), rapid.Int64Range(100, 3000).Draw(t, "memory"),
			rapid.Int64Range(0, 1).Draw(t, "accelerators")),
	}
	fj := fakeJob{length: time.Duration(rapid.IntRange(1, 200).Draw(t, "length")) * simStep, usage: spec.Size}
	switch rapid.IntRange(0, 9).Draw(t, "fault") {
	case 0:
		fj.failing = true
	case 1:
		spec.Size = model.NewResources(9000, 100, 0)
	case 2, 3:
		fj.usage = spec.Size.Add(model.NewResources(rapid.Int64Range(0, 3000).Draw(t, "extra"), 0, 0))
	}
	fz.sim.submit(t, spec, fj)
}

// load fills the workers with long batch tasks.
func (fz *fuzzer) load(t *rapid.T) {
	if fz.sim.deposed {
		return
	}
	fz.jobs++
	spec := JobSpec{
		ID:    model.JobID(fmt.Sprintf("job-%d", fz.jobs)),
		Team:  rapid.SampledFrom([]model.TeamID{"kiln", "fleet"}).Draw(t, "team"),
		Tasks: rapid.IntRange(5, 30).Draw(t, "tasks"), Size: model.NewResources(1000, 1000, 0),
	}
	length := time.Duration(rapid.IntRange(10, 60).Draw(t, "length")) * time.Second
	fz.sim.submit(t, spec, fakeJob{length: length, usage: spec.Size})
}

// recommit commits a random earlier command a second time.
func (fz *fuzzer) recommit(t *rapid.T) {
	if fz.sim.deposed || len(fz.sim.log) == 0 {
		return
	}
	num := rapid.IntRange(0, min(50, len(fz.sim.log))-1).Draw(t, "back")
	fz.sim.commit(fz.sim.log[len(fz.sim.log)-1-num])
}

// commitDroppedStarts commits the starts of proposals that were reported as
// dropped, so that only the checks of State protect P1 and P2. It does nothing
// while a proposal is in flight: quotas are checked only when a plan is made,
// so a command that takes effect between a plan and its commit could exceed
// them.
func (fz *fuzzer) commitDroppedStarts(*rapid.T) {
	if fz.sim.deposed || fz.sim.leader.planner.inFlight.active {
		return
	}
	var ops []Op
	for _, cmd := range fz.dropped {
		for _, op := range cmd.ops {
			if op.kind == OpStart {
				ops = append(ops, op)
			}
		}
	}
	fz.dropped = nil
	fz.sim.oracle.unplannedStarts = true
	fz.sim.commit(NewCommand(ops...))
	fz.sim.oracle.unplannedStarts = false
}

func (fz *fuzzer) cancel(t *rapid.T) {
	if fz.sim.deposed || fz.jobs == 0 {
		return
	}
	var ids []model.JobID
	for range rapid.IntRange(1, 5).Draw(t, "wave") {
		ids = append(ids, model.JobID(fmt.Sprintf("job-%d", rapid.IntRange(1, fz.jobs).Draw(t, "job"))))
	}
	fz.sim.commit(NewCommand(Cancel(ids...)))
}

// clearFaults ends all faults, runs until all tasks are final, and checks that
// no job or task was lost.
func (fz *fuzzer) clearFaults() {
	sim := fz.sim
	sim.loseNext, sim.duplicateNext, sim.nextDelay, sim.out, sim.misrouted, sim.stalled = 0, 0, 0, false, false, false
	for _, wk := range sim.workers {
		if wk.dead {
			wk.restart()
		}
		wk.faulty, wk.frozen = false, false
	}
	if sim.deposed {
		sim.run(time.Second)
		sim.elect(true)
	}
	for range 60 {
		sim.run(20 * time.Second)
		if sim.oracle.allFinal(sim) {
			break
		}
	}
	sim.oracle.checkAllFinal(sim)
}

// Guards against faults, in random sequences, that violate P1 to P4 or a quota,
// let a cancelled task start, or lose a job or task.
func TestFaultsBreakNoInvariant(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fz := newFuzzer(t)
		t.Repeat(fz.actions())
		fz.clearFaults()
	})
}
