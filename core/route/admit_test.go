package route

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a data centre that is returning to service and rejects a
// request that another data centre sent here: the request is not forwarded
// again, so no data centre would run it.
func TestForwardedRequestIsAcceptedWhileReturningToService(t *testing.T) {
	for _, tc := range []struct {
		percent   int
		forwarded bool
		want      int
	}{{0, true, 0}, {10, true, 100}, {100, false, 100}, {0, false, 0}} {
		mac := New[int](Config[PowerOfTwo]{Seed: 1})
		mac.Step(0, NewStaticShare(0, 1))
		mac.Step(0, NewAnnounce(NewBackend(BackendSpec{ID: "b", Service: "s", Worker: "w", Address: "x", Slots: 200}), 0))
		mac.Step(0, NewAdmitPercent(tc.percent))
		accepted := 0
		for key := range 100 {
			spec := RequestSpec{Service: "s", Timeout: time.Second, Forwarded: tc.forwarded}
			for _, eff := range mac.Step(model.Instant(key+1), NewArrive(key, spec)) {
				if _, ok := eff.(Dispatch[int]); ok {
					accepted++
				}
			}
		}
		if accepted != tc.want {
			t.Errorf("at %d%%, forwarded %v: %d of 100 accepted, want %d", tc.percent, tc.forwarded, accepted, tc.want)
		}
	}
}
