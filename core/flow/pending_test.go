package flow

import (
	"math/rand/v2"
	"testing"

	"guavarail/core/model"
)

// Guards against a number of pending jobs that differs from what the jobs say, after any
// operations and after a snapshot.
func TestPendingFollowsTheJobs(t *testing.T) {
	queues := []string{"a", "b"}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		var st State
		for range 300 {
			id := model.JobID([]string{"j0", "j1", "j2", "j3", "j4"}[rng.IntN(5)])
			task, attempt, inc := NewTaskID(id, 0, 0, rng.IntN(2)), 1+rng.IntN(3), NewIncarnation("w", int64(rng.IntN(2)))
			switch rng.IntN(6) {
			case 0, 1:
				jo, err := NewJob(JobSpec{ID: id, Queue: queues[rng.IntN(2)], Service: "svc", MaxFailures: 1, Steps: []StepSpec{{Tasks: 2}}})
				if err != nil {
					t.Fatal(err)
				}
				st.Apply(Submit(jo))
			case 2:
				st.Apply(Start(task, attempt, inc))
			case 3:
				st.Apply(End(task, attempt, Outcome(rng.IntN(int(NotStarted)+1)), ""))
			case 4:
				st.Apply(Cancel(id))
			case 5:
				st.Apply(Forget(id))
			}
			if rng.IntN(20) == 0 {
				snap := st.Snapshot()
				st.Restore(snap)
			}
			for _, queue := range queues {
				want := 0
				for _, jb := range st.jobs {
					if jb.spec.Queue == queue && jb.status == Queued && !jb.started {
						want++
					}
				}
				if got := st.Pending(queue); got != want {
					t.Fatalf("seed %d: %d jobs of queue %s pending, want %d", seed, got, queue, want)
				}
			}
		}
	}
}
