package blame

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a quarantine of so many workers that waiting work has none, and against a
// faulty worker that gets none because it is one of two.
func TestQuarantineLeavesCapacity(t *testing.T) {
	for _, tt := range []struct {
		own, quarantined, total int64
		permitted               bool
	}{{8, 0, 8, false}, {8, 0, 16, true}, {8, 8, 16, false}, {8, 0, 24, true}, {8, 8, 24, false}, {8, 8, 48, true}, {64, 0, 80, false}} {
		if got := Permits(tt.own, tt.quarantined, tt.total); got != tt.permitted {
			t.Errorf("%d besides %d of %d: %v, want %v", tt.own, tt.quarantined, tt.total, got, tt.permitted)
		}
	}
	var wk Worker
	now := model.Instant(time.Second)
	for _, want := range []time.Duration{minQuarantine, maxQuarantine, maxQuarantine} {
		for _, id := range []model.JobID{"a", "b", "c"} {
			wk.Failed(now, id)
		}
		if got := wk.Quarantine(now, true); got != want {
			t.Errorf("quarantine %v, want %v", got, want)
		}
	}
	wk = Worker{}
	if got := wk.Quarantine(now, false); got != ShortPause || wk.Quarantined(now.Add(ShortPause)) {
		t.Errorf("quarantine without room %v, want %v", got, ShortPause)
	}
	due := func(now model.Instant) bool { return wk.Failed(now, "a") || wk.Failed(now, "b") || wk.Failed(now, "c") }
	if due(now.Add(ShortPause)) || !due(now.Add(2*ShortPause)) {
		t.Error("the next quarantine is due at once, or not at all")
	}
}

// Guards against a job that fails everywhere and is held against each of the workers, and
// against one that counts as suspect though it works on other workers.
func TestSuspectWorkExoneratesWorkers(t *testing.T) {
	now := model.Instant(time.Second)
	var wk Worker
	for _, id := range []model.JobID{"a", "bad", "b"} {
		wk.Failed(now, id)
	}
	wk.Quarantine(now, true)
	if wk.Exonerate(now, "other") || !wk.Quarantined(now) {
		t.Error("quarantine ended without cause")
	}
	if !wk.Exonerate(now, "bad") || wk.Quarantined(now) {
		t.Error("quarantine goes on after the job was found to be at fault")
	}
	for workers, want := range map[int]int{0: 2, 1: 2, 2: 2, 3: 3, 50: 3} {
		var wo Work
		num := 1
		for !wo.Failed(now, model.WorkerID(rune('a'+num)), workers) {
			num++
		}
		if num != want || !wo.Held(now) {
			t.Errorf("%d workers: suspect after failures on %d, want %d", workers, num, want)
		}
	}
	var wo Work
	for num := range 10 {
		if wo.Failed(now, model.WorkerID(rune('a'+num)), 50) {
			t.Errorf("suspect though it ran after failure %d", num)
		}
		wo.Ran()
	}
	for num := range 10 {
		wo.Failed(now, model.WorkerID(rune('a'+num)), 50)
		now = now.Add(maxHold)
	}
	if wo.HeldFor() != maxHold {
		t.Errorf("held back for %v, want %v", wo.HeldFor(), maxHold)
	}
}
