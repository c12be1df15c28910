package spin

import (
	"testing"
	"time"
)

// Guards against reports of a process that works, is idle or computes once, and against
// more than one report a minute.
func TestOnlyHeldProcessorIsReported(t *testing.T) {
	second := func(used time.Duration, work int64) Window { return NewWindow(time.Second, used, work) }
	for _, tc := range []struct {
		name    string
		windows []Window
		want    int
	}{
		{"spinning beside heartbeats", []Window{second(time.Second, 40)}, 2},
		{"spinning with a small share", []Window{second(160*time.Millisecond, 20)}, 2},
		{"spinning while its samples come late", []Window{NewWindow(5*time.Second, 4*time.Second, 40)}, 10},
		{"full of requests", []Window{second(time.Second, 2000)}, 0},
		{"idle", []Window{second(4*time.Millisecond, 0)}, 0},
		{"one long computation in three", []Window{second(time.Second, 10), second(time.Second, 10), second(4*time.Millisecond, 10)}, 0},
	} {
		var det Detector
		got := 0
		for at := range 120 {
			if det.Step(tc.windows[at%len(tc.windows)]) {
				got++
			}
		}
		if got != tc.want {
			t.Errorf("%s: %d reports in 120 windows, want %d", tc.name, got, tc.want)
		}
	}
}
