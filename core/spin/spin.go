// Package spin decides from the processor time and the work of a process whether it
// holds the processor without need.
package spin

import "time"

const (
	// heldWork is the processor time for each unit of work from which a window counts as
	// held. A unit is a request or a message, whose handling takes far less.
	heldWork = 5 * time.Millisecond
	// minUsed is the processor time below which a window of one second never counts as
	// held: what an idle VM uses for its timers and heartbeats.
	minUsed = 50 * time.Millisecond
	// minWindows is the number of held windows in a row before a report, so that one
	// long computation is not reported.
	minWindows = 3
	// reportInterval bounds the reports of a process.
	reportInterval = time.Minute
)

// Window is what a process used and did in a time.
type Window struct {
	elapsed time.Duration
	used    time.Duration
	work    int64
}

// NewWindow returns a window of the given length, in which the process used processor
// time and handled a number of requests and messages.
func NewWindow(elapsed, used time.Duration, work int64) Window {
	return Window{elapsed: elapsed, used: used, work: work}
}

// Held reports whether the process used the processor without doing work for it.
func (win Window) Held() bool {
	return win.used >= minUsed*max(win.elapsed, time.Second)/time.Second && win.used >= heldWork*time.Duration(win.work)
}

// Detector finds a process that goes on holding the processor. The zero value is ready.
type Detector struct {
	// held is the number of held windows in a row.
	held int
	// silent is the time for which no report is due.
	silent time.Duration
}

// Step adds the next window and returns whether the process is to be reported now.
func (det *Detector) Step(win Window) bool {
	det.silent = max(0, det.silent-win.elapsed)
	if !win.Held() {
		det.held = 0
		return false
	}
	det.held++
	if det.held < minWindows || det.silent > 0 {
		return false
	}
	det.silent = reportInterval
	return true
}
