package route

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// tailInterval is the time over which the latencies for one tail latency are
	// collected.
	tailInterval = time.Second
	// maxTailSamples bounds the latencies in one interval. With 8 slots and
	// requests of 10 ms, a server serves 800 a second over all entry VMs.
	maxTailSamples = 256
	// minTailSamples is the number of latencies that an interval needs for a tail
	// latency.
	minTailSamples = 5
	tailPercentile = 99
)

// TailLatency reports the tail latency of one backend server, measured by this
// VM, to the scheduler.
type TailLatency struct {
	worker  model.WorkerID
	service model.ServiceID
	latency time.Duration
	load    float64
}

// Worker returns the worker that the server runs on.
func (ta TailLatency) Worker() model.WorkerID { return ta.worker }

// Service returns the service that the server runs.
func (ta TailLatency) Service() model.ServiceID { return ta.service }

// Latency returns the 99th percentile of the latencies in the last interval,
// which is at least 1 s long. A latency is the time from the dispatch of a
// request until it was answered or expired.
func (ta TailLatency) Latency() time.Duration { return ta.latency }

// Load returns the fraction of the worker's slots, from 0 to 1, that requests of
// this VM hold on the server at the end of the interval.
func (ta TailLatency) Load() float64 { return ta.load }

func (TailLatency) effect() {}

// latencyWindow holds the latencies of one server in the current interval. The
// zero value is empty.
type latencyWindow struct {
	// samples holds the newest latencies, at most maxTailSamples; count counts all.
	samples []time.Duration
	count   int
	// start is the start of the interval.
	start model.Instant
}

func (win *latencyWindow) add(dur time.Duration) {
	if len(win.samples) < maxTailSamples {
		win.samples = append(win.samples, dur)
	} else {
		win.samples[win.count%maxTailSamples] = dur
	}
	win.count++
}

// nextTailLatency returns the tail latency of the interval and starts the next
// one if tailInterval is over. It returns false if the interval is not over or
// has fewer than minTailSamples latencies.
func (win *latencyWindow) nextTailLatency(now model.Instant) (time.Duration, bool) {
	if now.Sub(win.start) < tailInterval {
		return 0, false
	}
	num := len(win.samples)
	var tail time.Duration
	if num >= minTailSamples {
		slices.Sort(win.samples)
		tail = win.samples[min(num*tailPercentile/100, num-1)]
	}
	win.samples, win.count, win.start = win.samples[:0], 0, now
	return tail, num >= minTailSamples
}
