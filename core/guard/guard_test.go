package guard

import (
	"testing"
	"time"

	"guavarail/core/model"
)

const target = 100 * time.Millisecond

// stepMeasurements passes one measurement a second to the guard and returns its
// actions.
func stepMeasurements(gu *Guard, now *model.Instant, secs int, tail time.Duration, kinds ...string) []Action {
	var out []Action
	for range secs {
		*now = now.Add(time.Second)
		out = append(out, gu.Step(*now, NewTailLatency("one", "desk", tail, target, 0.5, kinds, 100))...)
	}
	return out
}

// Guards against steps against a kind without a harmful slowdown or with fewer
// than minSamples samples, and steps that are skipped or taken too fast.
func TestStepsAgainstTheHarmfulKind(t *testing.T) {
	var gu Guard
	now := model.Instant(0)
	stepMeasurements(&gu, &now, 20, 60*time.Millisecond)
	stepMeasurements(&gu, &now, 20, 61*time.Millisecond, "quiet")
	acs := stepMeasurements(&gu, &now, 7, 180*time.Millisecond, "quiet", "noisy")
	if len(acs) != 0 {
		t.Fatalf("a step was taken after %d samples", 7)
	}
	acs = stepMeasurements(&gu, &now, 11, 180*time.Millisecond, "quiet", "noisy")
	want := []Step{Separated, Throttled, Evicting}
	if len(acs) != len(want) {
		t.Fatalf("%d actions in 11 s, want %d", len(acs), len(want))
	}
	for i, ac := range acs {
		if ac.Step() != want[i] || ac.Kind() != "noisy" {
			t.Errorf("action %d is %s against %s, want %s against noisy", i, ac.Step(), ac.Kind(), want[i])
		}
	}
	if !gu.MustSeparate("desk", "noisy") || gu.MustSeparate("desk", "quiet") {
		t.Error("the wrong kind is placed separately")
	}
	acs = stepMeasurements(&gu, &now, 95, 60*time.Millisecond)
	if len(acs) != 3 || !acs[2].Revert() || gu.StepOf("one") != Free {
		t.Errorf("%d steps reverted, the worker is %s", len(acs), gu.StepOf("one"))
	}
}

// Guards against more evictions than evictPercent allows within evictWindow: 5
// of 100 tasks in 30 s.
func TestEvictionsAreCapped(t *testing.T) {
	var gu Guard
	now := model.Instant(0)
	stepMeasurements(&gu, &now, 20, 60*time.Millisecond)
	num := 0
	for _, ac := range stepMeasurements(&gu, &now, 60, 300*time.Millisecond, "noisy") {
		if ac.Step() == Evicting {
			num++
		}
	}
	if num == 0 || num > 10 {
		t.Errorf("%d evictions of 100 tasks in 60 s, want 1 to 10", num)
	}
}

// Guards against a kind that is still placed separately after the service has
// left the worker.
func TestResetWorkerEndsSeparation(t *testing.T) {
	var gu Guard
	now := model.Instant(0)
	stepMeasurements(&gu, &now, 20, 60*time.Millisecond)
	stepMeasurements(&gu, &now, 20, 300*time.Millisecond, "noisy")
	if !gu.MustSeparate("desk", "noisy") {
		t.Fatal("noisy is not placed separately")
	}
	gu.ResetWorker("one")
	if gu.MustSeparate("desk", "noisy") {
		t.Error("noisy is still placed separately")
	}
}
