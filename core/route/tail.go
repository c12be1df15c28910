package route

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// tailEvery is the time over which the latencies of one reading are taken.
	tailEvery = time.Second
	// tailSamples bounds the latencies of one reading. With 8 slots and
	// requests of 10 ms, a server has 800 in a second over all entry VMs.
	tailSamples = 256
	// tailLeast is the number of samples below which there is no reading.
	tailLeast   = 5
	tailPercent = 99
)

// Tail tells the scheduler the tail latency of one backend server.
type Tail struct {
	worker  model.WorkerID
	service model.ServiceID
	latency time.Duration
	load    float64
}

// Worker names the worker that the server runs on.
func (ta Tail) Worker() model.WorkerID { return ta.worker }

// Service names the service.
func (ta Tail) Service() model.ServiceID { return ta.service }

// Latency returns the 99th percentile of the latency in the last second.
func (ta Tail) Latency() time.Duration { return ta.latency }

// Load returns the part of the worker's slots that this VM uses, 0 to 1.
func (ta Tail) Load() float64 { return ta.load }

func (Tail) effect() {}

// window holds the latencies of one server since the last reading. The zero
// value is empty.
type window struct {
	// samples are the newest ones, at most tailSamples.
	samples []time.Duration
	seen    int
	start   model.Instant
}

func (win *window) add(dur time.Duration) {
	if len(win.samples) < tailSamples {
		win.samples = append(win.samples, dur)
	} else {
		win.samples[win.seen%tailSamples] = dur
	}
	win.seen++
}

// take returns the tail latency once the time of a reading is over and starts
// the next one.
func (win *window) take(now model.Instant) (time.Duration, bool) {
	if now.Sub(win.start) < tailEvery {
		return 0, false
	}
	num := len(win.samples)
	var tail time.Duration
	if num >= tailLeast {
		slices.Sort(win.samples)
		tail = win.samples[min(num*tailPercent/100, num-1)]
	}
	win.samples, win.seen, win.start = win.samples[:0], 0, now
	return tail, num >= tailLeast
}
