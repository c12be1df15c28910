package busy

import (
	"context"
	"expvar"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/model"
	"guavarail/core/spin"
	"guavarail/io/host"
)

const (
	// sampleInterval is the interval of the samples of processor time and work.
	sampleInterval = time.Second
	// stackSamples is the number of samples of the goroutines for a report, stackInterval
	// apart.
	stackSamples  = 5
	stackInterval = 20 * time.Millisecond
)

// Counters of the process, at /debug/vars of the metrics address.
var (
	// heldTime is the processor time that was used in held windows, in milliseconds.
	heldTime = expvar.NewInt("processorHeldMs")
	// heldReports counts the log lines.
	heldReports = expvar.NewInt("processorHeldReports")
)

func init() {
	expvar.Publish("processorUsedMs", expvar.Func(func() any { return ProcessTime().Milliseconds() }))
}

// Config describes a watch.
type Config struct {
	// Work returns the number of requests and messages that were handled. It is called
	// on the goroutine of the watch and never decreases.
	Work func() int64
	Log  hclog.Logger
}

// Start watches the process until ctx ends or the returned function is called.
func Start(ctx context.Context, cfg Config) func() {
	wat := newWatch(cfg)
	return host.Every(ctx, sampleInterval, wat.sample)
}

// watch is the state of the goroutine that takes the samples.
type watch struct {
	cfg      Config
	clock    host.Clock
	detector spin.Detector
	// at, used and work are the values of the last sample.
	at   model.Instant
	used time.Duration
	work int64
}

func newWatch(cfg Config) *watch {
	wat := &watch{cfg: cfg, clock: host.NewClock()}
	wat.next()
	return wat
}

// next returns the window since the last call.
func (wat *watch) next() spin.Window {
	at, used, work := wat.clock(), ProcessTime(), wat.cfg.Work()
	win := spin.NewWindow(time.Duration(at-wat.at), used-wat.used, work-wat.work)
	if win.Held() {
		heldTime.Add((used - wat.used).Milliseconds())
	}
	wat.at, wat.used, wat.work = at, used, work
	return win
}

// sample takes a sample, and logs a line if the process goes on holding the processor.
func (wat *watch) sample(ctx context.Context) {
	at, used, work := wat.at, wat.used, wat.work
	if !wat.detector.Step(wat.next()) {
		return
	}
	heldReports.Add(1)
	run := findRunning(ctx)
	wat.cfg.Log.Warn("processor held", "elapsedMs", time.Duration(wat.at-at).Milliseconds(), "usedMs", (wat.used - used).Milliseconds(),
		"work", wat.work-work, "goroutine", run.id, "samples", run.samples, "stack", run.stack)
}
