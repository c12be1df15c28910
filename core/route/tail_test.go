package route

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a guard that acts on a few samples, or on those of an earlier
// second.
func TestTailIsOfTheLastSecond(t *testing.T) {
	var win window
	for range tailSamples + 10 {
		win.add(time.Millisecond)
	}
	if _, ok := win.take(model.Instant(tailEvery - 1)); ok {
		t.Error("a reading before the second is over")
	}
	if tail, ok := win.take(model.Instant(tailEvery)); !ok || tail != time.Millisecond {
		t.Errorf("reading %v, %v, want 1ms", tail, ok)
	}
	for range tailLeast - 1 {
		win.add(time.Second)
	}
	if tail, ok := win.take(model.Instant(2 * tailEvery)); ok {
		t.Errorf("reading %v from %d samples", tail, tailLeast-1)
	}
}
