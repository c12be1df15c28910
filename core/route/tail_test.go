package route

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a tail latency that is based on too few samples or includes
// samples of an earlier interval.
func TestTailCoversOnlyTheLastSecond(t *testing.T) {
	var win latencyWindow
	for range maxTailSamples + 10 {
		win.add(time.Millisecond)
	}
	if _, ok := win.nextTailLatency(model.Instant(tailInterval - 1)); ok {
		t.Error("got a tail latency before the interval was over")
	}
	if tail, ok := win.nextTailLatency(model.Instant(tailInterval)); !ok || tail != time.Millisecond {
		t.Errorf("tail latency %v, %v, want 1ms", tail, ok)
	}
	for range minTailSamples - 1 {
		win.add(time.Second)
	}
	if tail, ok := win.nextTailLatency(model.Instant(2 * tailInterval)); ok {
		t.Errorf("got tail latency %v from %d samples", tail, minTailSamples-1)
	}
}
