package route

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a reading of the tail latency that is based on too few samples
// or includes samples of an earlier second.
func TestTailCoversOnlyTheLastSecond(t *testing.T) {
	var win latencyWindow
	for range maxTailSamples + 10 {
		win.add(time.Millisecond)
	}
	if _, ok := win.nextTailLatency(model.Instant(tailInterval - 1)); ok {
		t.Error("got a reading before the second was over")
	}
	if tail, ok := win.nextTailLatency(model.Instant(tailInterval)); !ok || tail != time.Millisecond {
		t.Errorf("reading %v, %v, want 1ms", tail, ok)
	}
	for range minTailSamples - 1 {
		win.add(time.Second)
	}
	if tail, ok := win.nextTailLatency(model.Instant(2 * tailInterval)); ok {
		t.Errorf("reading %v from %d samples", tail, minTailSamples-1)
	}
}
