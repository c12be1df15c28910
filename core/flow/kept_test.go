package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against work that is stopped for a lost long-running task, or for a gang,
// whose room then goes to tasks of a higher priority.
func TestPreemptedRoomGoesToItsRestart(t *testing.T) {
	large := StepSpec{Tasks: 2, Size: model.NewResources(3000, 3000, 0), LongRunning: true, PerWorker: 1}
	gang := large
	gang.Gang = true
	for _, step := range []StepSpec{large, gang} {
		for seed := range uint64(4) {
			clu := newBusyCluster(t, seed, 5)
			clu.submitJob("large", 1, 0, step)
			clu.play(time.Second, func() {})
			clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(1000, 100, 0)})
			clu.play(time.Second, func() {})
			if clu.runs("large") != step.Tasks {
				t.Fatalf("gang %v, seed %d: %d tasks at the start", step.Gang, seed, clu.runs("large"))
			}
			clu.lose(clu.running[NewTaskID("large", 0, 0, 0)])
			if step.Gang {
				clu.breakGang("large")
			}
			lost := clu.now
			feed := clu.stream(24, 10*time.Second)
			for clu.runs("large") < step.Tasks && clu.now.Sub(lost) < 2*maxDown {
				clu.play(TickInterval, feed)
			}
			if down := clu.now.Sub(lost); down > maxDown {
				t.Errorf("gang %v, seed %d: down for %v beside tasks of higher priority, want at most %v", step.Gang, seed, down, maxDown)
			}
		}
	}
}

// Guards against room that is kept for a restart and goes to one of the same
// priority, or is withheld from one of a higher priority.
func TestKeptRoomYieldsToHigherPriorityOnly(t *testing.T) {
	har := newHarness(t)
	har.heartbeat("w1", nil)
	wk, _ := har.pl.workers.get("w1")
	newStep := func(id string, priority int, restart bool) *readyStep {
		jo, err := NewJob(JobSpec{ID: model.JobID(id), Service: "svc", Priority: priority, Steps: []StepSpec{
			{Tasks: 1, Size: model.NewResources(3000, 100, 0), LongRunning: true},
		}})
		if err != nil {
			t.Fatal(err)
		}
		jb := &job{Job: jo, occurrences: map[int]*occurrence{}}
		jb.occurrence(0).steps[0].tasks[0].ran = restart
		return &readyStep{job: jb, occ: jb.occurrence(0), spec: &jb.spec.Steps[0], restart: restart}
	}
	holder := newStep("holder", 1, true)
	har.pl.keep(har.now, holder, wk)
	for _, tt := range []struct {
		name string
		step *readyStep
		room bool
	}{
		{"holder", holder, true},
		{"restart of higher priority", newStep("higher", 0, true), true},
		{"restart of the same priority", newStep("same", 1, true), false},
		{"restart of lower priority", newStep("lower", 2, true), false},
		{"first start of higher priority", newStep("new", 0, false), false},
	} {
		wk.claims.reset()
		har.pl.renewKept(har.now)
		if room := wk.hasRoom(tt.step, tt.step.spec.reservation()); room != tt.room {
			t.Errorf("%s: room %v, want %v", tt.name, room, tt.room)
		}
	}
	har.pl.renewKept(har.now.Add(keptRoomTimeout))
	if len(har.pl.kept) != 0 {
		t.Errorf("room is kept after the timeout")
	}
}
