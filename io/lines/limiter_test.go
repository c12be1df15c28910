package lines

import (
	"testing"

	"guavarail/core/model"
)

// Guards against lines without a bound, and against suppressed lines that are not counted.
func TestLimiterBoundsAWindow(t *testing.T) {
	var lim Limiter
	now := model.Instant(limiterWindow)
	permitted := 0
	for range 3 * maxWindowLines {
		if _, ok := lim.Allow(now); ok {
			permitted++
		}
	}
	if permitted != maxWindowLines {
		t.Errorf("%d lines in one window, want %d", permitted, maxWindowLines)
	}
	suppressed, ok := lim.Allow(now + model.Instant(limiterWindow))
	if !ok || suppressed != 2*maxWindowLines {
		t.Errorf("next window: permitted %v, %d suppressed, want %d", ok, suppressed, 2*maxWindowLines)
	}
}
