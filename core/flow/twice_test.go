package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

const twiceSeeds = 200

// Guards against a task that runs twice at once, or again after its success was
// acknowledged, while leaders change, workers crash, and reports arrive late or
// not at all. Found on the bench: a report from before the change of leader
// arrived after it and did not list a run, which was then started elsewhere.
func TestTasksRunOnce(t *testing.T) {
	for seed := range uint64(twiceSeeds) {
		w := newWorld(t, seed, 3, 6)
		w.stale, w.lost = 0.1, 0.03
		for i := range 40 {
			w.at(w.after(20_000), func() {
				w.submit(fmt.Sprintf("job%d", i), StepSpec{Tasks: 4, Size: model.NewResources(1000, 500, 0), Estimate: time.Second},
					StepSpec{Tasks: 3, Size: model.NewResources(2000, 500, 0), Estimate: time.Second, After: []int{0}})
			})
		}
		for range 4 {
			w.at(w.after(25_000), func() {
				if w.lead != nil {
					w.change()
				}
			})
			w.at(w.after(25_000), func() { w.crash(w.workers[w.rng.IntN(len(w.workers))]) })
		}
		w.run(model.Instant(60 * time.Second))
		w.check(seed)
		if t.Failed() {
			return
		}
		w.catchUp(w.vms[0])
		for id, jb := range w.vms[0].st.jobs {
			if jb.status != Completed {
				t.Fatalf("seed %d: job %s is %v after %d starts", seed, id, jb.status, w.starts)
			}
		}
	}
}
