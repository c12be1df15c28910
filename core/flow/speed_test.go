package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against tasks that stay on a worker which turned slow, and against
// workers that count as slow because declared durations are wrong everywhere.
func TestTasksLeaveASlowWorker(t *testing.T) {
	const workers, rounds, every = 5, 30, 120 * time.Millisecond
	tests := []struct {
		name string
		// speed is that of the first worker, usual that of the others.
		speed, usual float64
		moves        bool
	}{
		{"usual speed", 1, 1, false},
		{"a little slower", 0.6, 1, false},
		{"far slower", 0.15, 1, true},
		{"all durations declared too short", 0.2, 0.2, false},
	}
	for _, tt := range tests {
		be := newBench(t)
		running := map[string]map[TaskID]StartOrder{}
		done := map[TaskID]float64{}
		for i := range workers {
			name := fmt.Sprint("w", i)
			running[name] = map[TaskID]StartOrder{}
			be.report(name, nil)
		}
		for i := range 2 * workers {
			be.submit(fmt.Sprint("job", i), StepSpec{
				Tasks: 1, Size: model.NewResources(1500, 100, 0), Estimate: 4 * time.Second, Checkpoints: true, PerWorker: 1,
			})
		}
		moved := false
		for range rounds {
			be.now = be.now.Add(every)
			be.step(Tick{LeadUntil: model.Instant(time.Hour)})
			for i := range workers {
				name, speed := fmt.Sprint("w", i), tt.usual
				if i == 0 {
					speed = tt.speed
				}
				var runs []RunReport
				for id, ord := range running[name] {
					done[id] += speed * every.Seconds() / 4 * fullPace
					runs = append(runs, RunReport{Task: id, Attempt: ord.Attempt, Percent: int(done[id])})
				}
				ans := be.report(name, runs)
				for _, ord := range ans.Starts {
					running[name][ord.Task] = ord
				}
				if len(ans.Stops) > 0 {
					moved = true
				}
			}
			if moved {
				break
			}
		}
		if len(running["w0"]) == 0 {
			t.Fatalf("%s: nothing runs on the first worker", tt.name)
		}
		if moved != tt.moves {
			t.Errorf("%s: moved %v, want %v", tt.name, moved, tt.moves)
		}
	}
}
