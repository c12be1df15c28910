package permit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// orderLife is how long a worker may act on an order after its issue.
const orderLife = 500 * time.Millisecond

// stopBound is the time after which no task may start in a data centre that
// was taken out.
const stopBound = 3 * time.Second

// Guards P4: with answers late, lost, repeated and reordered and both clocks
// off by the drift bound, no permission outlives the bound after the fleet
// leader has refused for the first time.
func TestP4NoStartAfterOut(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var ho Holder
		drift := rapid.SampledFrom([]int64{-1, 0, 1}).Draw(rt, "drift")
		local := func(tru time.Duration) model.Instant {
			return model.Instant(tru + time.Duration(drift)*tru/model.DriftDivisor)
		}
		outAt := time.Duration(rapid.Int64Range(0, int64(4*time.Second)).Draw(rt, "outAt"))
		var late []Grant
		for tru := time.Duration(0); tru < 10*time.Second; tru += 100 * time.Millisecond {
			if rapid.Bool().Draw(rt, "ask") {
				seq := ho.Request(local(tru))
				late = append(late, NewGrant(seq, tru < outAt, model.DrainFinish))
			}
			for len(late) > 0 && rapid.IntRange(0, 2).Draw(rt, "answers") > 0 {
				idx := rapid.IntRange(0, len(late)-1).Draw(rt, "which")
				ho.Receive(local(tru), late[idx])
				if rapid.Bool().Draw(rt, "onlyOnce") {
					late = append(late[:idx], late[idx+1:]...)
				}
			}
			if ho.Valid(local(tru)) && tru > outAt+stopBound-orderLife {
				rt.Fatalf("may start %v after the data centre was taken out", tru-outAt)
			}
		}
	})
}

// Guards against a refusal that is overwritten by an older grant.
func TestRefusalHoldsAgainstOlderGrant(t *testing.T) {
	var ho Holder
	old, cur := ho.Request(0), ho.Request(1)
	ho.Receive(2, NewGrant(cur, false, model.DrainCheckpoint))
	ho.Receive(3, NewGrant(old, true, model.DrainFinish))
	if ho.Valid(3) {
		t.Error("an older grant was taken over after a refusal")
	}
	if mode, out := ho.Out(); !out || mode != model.DrainCheckpoint {
		t.Errorf("out is %v with %v, want true with move", out, mode)
	}
}

// Guards against a return that admits the full load at once.
func TestReturnIsRamped(t *testing.T) {
	for _, tc := range []struct {
		back time.Duration
		want int
	}{{0, 10}, {3 * time.Second, 25}, {6 * time.Second, 50}, {8 * time.Second, 100}} {
		if got := Ramp(tc.back); got != tc.want {
			t.Errorf("Ramp(%v) = %d, want %d", tc.back, got, tc.want)
		}
	}
}
