package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// onceSeeds is the number of simulations, each with another seed.
const onceSeeds = 200

// Guards against a task that runs on two workers at once, or again after its
// success was acknowledged, while leaders change, workers crash, and heartbeats
// arrive late or not at all. One such case: a heartbeat from before a change of
// leader arrives after it and does not list a run, which is then started on
// another worker.
func TestTasksRunOnce(t *testing.T) {
	for seed := range uint64(onceSeeds) {
		sim := newSimulation(t, seed, 3, 6)
		sim.lateShare, sim.lostShare = 0.1, 0.03
		for i := range 40 {
			sim.at(sim.after(20_000), func() {
				sim.submit(fmt.Sprintf("job%d", i), StepSpec{Tasks: 4, Size: model.NewResources(1000, 500, 0), Estimate: time.Second},
					StepSpec{Tasks: 3, Size: model.NewResources(2000, 500, 0), Estimate: time.Second, After: []int{0}})
			})
		}
		for range 4 {
			sim.at(sim.after(25_000), func() {
				if sim.leader != nil {
					sim.failOver(2 * time.Second)
				}
			})
			sim.at(sim.after(25_000), func() { sim.crash(sim.workers[sim.rng.IntN(len(sim.workers))], time.Second) })
		}
		sim.run(model.Instant(60 * time.Second))
		sim.reportViolations(seed)
		if t.Failed() {
			return
		}
		sim.applyLog(sim.vms[0], len(sim.log))
		for id, jb := range sim.vms[0].st.jobs {
			if jb.status != Completed {
				t.Fatalf("seed %d: job %s is %v after %d starts, want completed", seed, id, jb.status, sim.starts)
			}
		}
	}
}
