package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a peak that is forgotten within half of its window, or remembered beyond it.
func TestRecentPeakLastsForItsWindow(t *testing.T) {
	const window = 10 * time.Second
	tests := []struct {
		after time.Duration
		want  int64
	}{
		{0, 100}, {window / 2, 100}, {window - time.Second, 100}, {window + time.Second, 7}, {3 * window, 7},
	}
	for _, tt := range tests {
		var rp recentPeak[demand]
		start := model.Instant(time.Hour)
		for at := start.Add(-window); at < start; at = at.Add(100 * time.Millisecond) {
			rp.observe(at, window, demand{size: model.NewResources(3, 0, 0), tasks: 1})
		}
		rp.observe(start, window, demand{size: model.NewResources(100, 0, 0), tasks: 20})
		for at := start; at <= start.Add(tt.after); at = at.Add(100 * time.Millisecond) {
			rp.observe(at, window, demand{size: model.NewResources(7, 0, 0), tasks: 1})
		}
		if got := rp.peak().size.MilliCPU(); got != tt.want {
			t.Errorf("after %v the peak is %d, want %d", tt.after, got, tt.want)
		}
	}
}

// Guards against a gap between two observations that leaves an old peak in force.
func TestRecentPeakForgetsAcrossAGap(t *testing.T) {
	var rp recentPeak[demand]
	rp.observe(model.Instant(time.Second), time.Second, demand{tasks: 9})
	rp.observe(model.Instant(time.Minute), time.Second, demand{tasks: 2})
	if got := rp.peak().tasks; got != 2 {
		t.Errorf("peak of %d tasks, want 2", got)
	}
}

// Guards against a demand beyond its limit that keeps its number of tasks.
func TestDemandIsCutInProportion(t *testing.T) {
	de := demand{size: model.NewResources(4000, 1000, 0), tasks: 40}
	if got, want := de.atMost(model.NewResources(1000, 8000, 0)), (demand{size: model.NewResources(1000, 1000, 0), tasks: 10}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := de.atMost(model.NewResources(4000, 1000, 0)); got != de {
		t.Errorf("got %+v, want the whole demand", got)
	}
}
