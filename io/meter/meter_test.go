package meter

import (
	"testing"
	"time"
)

// Guards against durations that are counted in the wrong bucket, in particular at a
// bound and above the last one.
func TestHistogramBuckets(t *testing.T) {
	his := NewHistogram("testHistogramMs")
	for _, dur := range []time.Duration{0, time.Millisecond, time.Millisecond + 1, 3 * time.Second, time.Hour} {
		his.Add(dur)
	}
	tests := []struct {
		dur  time.Duration
		want int64
	}{{time.Millisecond, 2}, {2 * time.Millisecond, 1}, {5 * time.Second, 1}, {2 * time.Hour, 1}, {time.Second, 0}}
	for _, tt := range tests {
		if got := his.Count(tt.dur); got != tt.want {
			t.Errorf("bucket of %v has %d, want %d", tt.dur, got, tt.want)
		}
	}
}
