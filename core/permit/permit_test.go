package permit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// orderValidity is how long a worker may act on an order to start a task, counted
// from when the order is issued.
const orderValidity = 500 * time.Millisecond

// maxStartDelay is the longest time between taking a data centre out of service and
// the last start of a task in it.
const maxStartDelay = 3 * time.Second

// Guards against task starts in a data centre more than 3 s after it was taken out
// of service (P4). Decisions are delayed, lost, duplicated and reordered, and the
// clock drifts by up to the bound. The permit must expire early enough that no order
// is still valid 3 s after the fleet leader starts to deny permits.
func TestP4NoStartAfterOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ho Holder
		// drift is the drift of the local clock in units of the drift bound.
		drift := rapid.SampledFrom([]int64{-1, 0, 1}).Draw(rt, "drift")
		local := func(elapsed time.Duration) model.Instant {
			return model.Instant(elapsed + time.Duration(drift)*elapsed/model.DriftDivisor)
		}
		// outAt is when the data centre is taken out of service.
		outAt := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(rt, "outAt"))
		var undelivered []Decision
		for elapsed := time.Duration(0); elapsed < 10*time.Second; elapsed += 100 * time.Millisecond {
			if rapid.Bool().Draw(rt, "ask") {
				seq := ho.Request(local(elapsed))
				undelivered = append(undelivered, NewDecision(seq, elapsed < outAt, model.DrainFinish))
			}
			for len(undelivered) > 0 && rapid.IntRange(0, 2).Draw(rt, "answers") > 0 {
				idx := rapid.IntRange(0, len(undelivered)-1).Draw(rt, "which")
				ho.Receive(local(elapsed), undelivered[idx])
				if rapid.Bool().Draw(rt, "onlyOnce") {
					undelivered = append(undelivered[:idx], undelivered[idx+1:]...)
				}
			}
			if ho.Valid(local(elapsed)) && elapsed > outAt+maxStartDelay-orderValidity {
				rt.Fatalf("may start %v after the data centre was taken out", elapsed-outAt)
			}
		}
	})
}

// Guards against an older decision that overrides a denial because it arrives later.
func TestOlderDecisionDoesNotOverrideDenial(t *testing.T) {
	var ho Holder
	older, newer := ho.Request(0), ho.Request(1)
	ho.Receive(2, NewDecision(newer, false, model.DrainCheckpoint))
	ho.Receive(3, NewDecision(older, true, model.DrainFinish))
	if ho.Valid(3) {
		t.Error("a decision older than the denial was accepted")
	}
	if mode, out := ho.OutOfService(); !out || mode != model.DrainCheckpoint {
		t.Errorf("out of service is %v with drain mode %v, want true with checkpoint", out, mode)
	}
}

// Guards against a data centre that admits the full load as soon as it returns to
// service.
func TestReturnIsRamped(t *testing.T) {
	for _, tc := range []struct {
		elapsed time.Duration
		want    int
	}{{0, 10}, {3 * time.Second, 25}, {6 * time.Second, 50}, {8 * time.Second, 100}} {
		if got := RampPercent(tc.elapsed); got != tc.want {
			t.Errorf("RampPercent(%v) = %d, want %d", tc.elapsed, got, tc.want)
		}
	}
}
