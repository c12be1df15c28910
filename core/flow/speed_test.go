package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against runs that stay on a worker which has become slow, and against
// workers that count as slow because declared durations are wrong everywhere.
func TestRunsOnASlowWorkerAreEvicted(t *testing.T) {
	const workers, rounds, silentFrom, interval = 5, 60, 4, 120 * time.Millisecond
	tests := []struct {
		name string
		// speed is the speed of the first worker, usual that of the others.
		speed, usual float64
		// silent is how long the first worker sends no heartbeats, from round
		// silentFrom.
		silent  time.Duration
		evicted bool
	}{
		{"usual speed", 1, 1, 0, false},
		{"a little slower", 0.6, 1, 0, false},
		{"far slower", 0.15, 1, 0, true},
		{"all durations declared too short", 0.2, 0.2, 0, false},
		{"silent", 1, 1, 5 * time.Second, false},
	}
	for _, tt := range tests {
		har := newHarness(t)
		running := map[string]map[TaskID]StartOrder{}
		// progress is in percent, as in RunReport, of the declared 4 s.
		progress := map[TaskID]float64{}
		for i := range workers {
			name := fmt.Sprint("w", i)
			running[name] = map[TaskID]StartOrder{}
			har.heartbeat(name, nil)
		}
		for i := range 2 * workers {
			har.submit(fmt.Sprint("job", i), StepSpec{
				Tasks: 1, Size: model.NewResources(1500, 100, 0), Estimate: 4 * time.Second, Checkpoints: true, PerWorker: 1,
			})
		}
		stopped := false
		for round := range rounds {
			har.now = har.now.Add(interval)
			har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
			for i := range workers {
				name, speed := fmt.Sprint("w", i), tt.usual
				if i == 0 {
					speed = tt.speed
				}
				if i == 0 && time.Duration(round-silentFrom)*interval < tt.silent && round >= silentFrom {
					continue
				}
				var runs []RunReport
				for id, ord := range running[name] {
					progress[id] += speed * interval.Seconds() / 4 * fullPace
					runs = append(runs, RunReport{Task: id, Attempt: ord.Attempt, Percent: int(progress[id])})
				}
				ans := har.heartbeat(name, runs)
				for _, ord := range ans.Starts {
					running[name][ord.Task] = ord
				}
				if len(ans.Stops) > 0 {
					stopped = true
				}
			}
			if stopped {
				break
			}
		}
		if len(running["w0"]) == 0 {
			t.Fatalf("%s: no task runs on the first worker", tt.name)
		}
		if stopped != tt.evicted {
			t.Errorf("%s: stop order sent: %v, want %v", tt.name, stopped, tt.evicted)
		}
	}
}

// Guards against counting an ended run as one without progress until its end is
// applied. A worker that reconnects after a network partition reports many ended
// runs and would count as slow.
func TestEndedRunsDoNotCountForSpeed(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), Estimate: time.Second})
	ord := har.heartbeat("w1", nil).Starts[0]
	run := []RunReport{{Task: ord.Task, Attempt: ord.Attempt, Percent: 10}}
	har.heartbeat("w1", run)
	wk, pr := har.pl.findRun(ord.Task, ord.Attempt)
	pr.ending = true
	for range 3 {
		har.now = har.now.Add(minSpeedSample)
		har.pl.measureSpeed(har.now, wk)
	}
	if wk.speed.spent > 0 {
		t.Errorf("%.1f s of an ended run count for the speed of its worker", wk.speed.spent)
	}
}
