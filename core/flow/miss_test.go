package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task that is not placed because another found no room, though
// it needs less, may use more workers or may go before a claim.
func TestMissCoversNoSmallerTask(t *testing.T) {
	job := &job{Job: Job{spec: JobSpec{Service: "svc"}}}
	step := func(milliCPU int64, longRunning, restart bool, estimate time.Duration) *readyStep {
		spec := &StepSpec{Tasks: 1, Size: model.NewResources(milliCPU, 100, 0), LongRunning: longRunning, Estimate: estimate}
		return &readyStep{job: job, spec: spec, restart: restart}
	}
	tests := []struct {
		name            string
		missed, waiting *readyStep
		covered         bool
	}{
		{"same", step(2000, false, false, time.Second), step(2000, false, false, time.Second), true},
		{"larger", step(2000, false, false, time.Second), step(3000, false, false, time.Second), true},
		{"smaller", step(2000, false, false, time.Second), step(1000, false, false, time.Second), false},
		{"shorter", step(2000, false, false, time.Second), step(3000, false, false, time.Millisecond), false},
		{"short after unknown", step(2000, false, false, 0), step(3000, false, false, time.Millisecond), false},
		{"unknown after short", step(2000, false, false, time.Millisecond), step(3000, false, false, 0), true},
		{"long-running after ordinary", step(2000, false, false, 0), step(3000, true, false, 0), false},
		{"restart after long-running", step(2000, true, false, 0), step(3000, true, true, 0), false},
		{"short after long-running", step(2000, true, false, 0), step(3000, false, false, time.Second), false},
		{"short after restart", step(2000, true, true, 0), step(3000, false, false, time.Second), true},
	}
	for _, tt := range tests {
		var pl Planner
		pl.recordMiss(tt.missed, tt.missed.spec.reservation(), false)
		if got := pl.missed(tt.waiting, tt.waiting.spec.reservation()); got != tt.covered {
			t.Errorf("%s: covered %v, want %v", tt.name, got, tt.covered)
		}
	}
}
