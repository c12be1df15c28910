package worker

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/rest"
)

const (
	// reportEvery is the interval of reports that bring no orders.
	reportEvery = time.Second
	// reportGap keeps a scheduler that answers at once from being flooded.
	reportGap = 20 * time.Millisecond
	// announceEvery is the interval of announcements of the backend server.
	announceEvery = time.Second
)

// Config describes one worker.
type Config struct {
	System *actor.ActorSystem
	Name   string
	Rack   string
	Size   model.Resources
	// Addresses are the API addresses of the entry VMs of the data centre.
	Addresses []string
	// Clock is the clock of the worker; workers whose runs are compared share
	// it. nil means a clock of its own.
	Clock    host.Clock
	Workload Workload
	// Service is served by the backend server on Listen; there is none when it
	// is empty. Slots and Connections are what it announces.
	Service            string
	Listen             string
	Slots, Connections int
	// Delay is the delay of the mode Late; 1 s when it is 0.
	Delay time.Duration
	// OnAttemptEvent receives each start and end of an attempt. It runs on the actor of
	// the worker and must not block.
	OnAttemptEvent func(AttemptEvent)
	Log            hclog.Logger
}

// Worker is a fake worker VM.
type Worker struct {
	cfg Config
	ref host.Ref[*Engine, Input, AttemptEvent]
	// srv is nil when the worker serves nothing.
	srv *server
	// mode is a copy of the modes of the engine for the goroutines.
	mode *atomic.Uint32
	// incarnation is that of the backend server.
	incarnation *atomic.Uint64
	// leave asks the announcing goroutine to leave, once.
	leave chan struct{}
	left  chan struct{}
}

// New starts a worker. The clean-up function stops it like a VM that is lost.
func New(cfg Config) (*Worker, func(), error) {
	if cfg.Clock == nil {
		cfg.Clock = host.NewClock()
	}
	if cfg.OnAttemptEvent == nil {
		cfg.OnAttemptEvent = func(AttemptEvent) {}
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Delay == 0 {
		cfg.Delay = time.Second
	}
	wor := &Worker{cfg: cfg, mode: &atomic.Uint32{}, incarnation: &atomic.Uint64{}, leave: make(chan struct{}, 1), left: make(chan struct{})}
	wor.incarnation.Store(uint64(time.Now().UnixNano()))
	var stops []func()
	stop := func() {
		for at := len(stops) - 1; at >= 0; at-- {
			stops[at]()
		}
	}
	ref, stopEngine, err := host.Spawn(cfg.System, host.Config[*Engine, Input, AttemptEvent]{
		Name: "worker-" + cfg.Name, Machine: NewEngine(cfg.Name, cfg.Rack, cfg.Size, cfg.Workload), Clock: cfg.Clock,
		HandleEffect: cfg.OnAttemptEvent, TickInterval: tickEvery, TickInput: func() Input { return Tick{} },
	})
	if err != nil {
		return nil, stop, errors.Trace(err)
	}
	wor.ref, stops = ref, append(stops, stopEngine)
	loops := []func(context.Context){wor.reports}
	if cfg.Service != "" {
		srv, stopServer, err := newServer(cfg.System, cfg.Name, cfg.Listen, cfg.Delay, wor.mode)
		if err != nil {
			stop()
			return nil, func() {}, errors.Trace(err)
		}
		wor.srv, stops = srv, append(stops, stopServer)
		loops = append(loops, wor.announces)
	}
	stops = append(stops, startLoops(loops))
	return wor, stop, nil
}

// startLoops starts goroutines and returns a function that ends them.
func startLoops(loops []func(context.Context)) func() {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{}, len(loops))
	for _, loop := range loops {
		go runLoop(ctx, ended, loop)
	}
	return func() {
		cancel()
		for range loops {
			<-ended
		}
	}
}

func runLoop(ctx context.Context, ended chan<- struct{}, loop func(context.Context)) {
	defer func() { ended <- struct{}{} }()
	loop(ctx)
}

// SetFaults switches modes on or off.
func (wor *Worker) SetFaults(mode Faults, on bool) {
	for {
		old := wor.mode.Load()
		if wor.mode.CompareAndSwap(old, uint32(Faults(old).with(mode, on))) {
			break
		}
	}
	if on && mode.has(VMLost) {
		// A backend server that comes back is another process.
		wor.incarnation.Add(1)
	}
	wor.ref.Send(SetFaults{Faults: mode, On: on})
}

// Leave lets the backend server leave: it announces itself no more and goes on
// to serve the requests that still arrive. It returns at once.
func (wor *Worker) Leave() {
	select {
	case wor.leave <- struct{}{}:
	default:
	}
}

// LeaveAccepted is closed when a VM has accepted the leave message.
func (wor *Worker) LeaveAccepted() <-chan struct{} { return wor.left }

// Address returns the address of the backend server.
func (wor *Worker) Address() string {
	if wor.srv == nil {
		return ""
	}
	return wor.srv.lis.Addr().String()
}

// RequestStats returns what the backend server ran.
func (wor *Worker) RequestStats() (RequestStats, error) {
	if wor.srv == nil {
		return RequestStats{}, nil
	}
	return wor.srv.account()
}

// Load returns the number of running attempts and the largest sum of sizes.
func (wor *Worker) Load() (running int, peak model.Resources, err error) {
	type load struct {
		running int
		peak    model.Resources
	}
	got, err := host.Read(wor.ref, readTimeout, func(_ model.Instant, eng *Engine) load {
		return load{running: eng.Running(), peak: eng.Peak()}
	})
	return got.running, got.peak, errors.Trace(err)
}

func (wor *Worker) has(mode Faults) bool { return Faults(wor.mode.Load()).has(mode) }

// mute reports whether the worker sends nothing.
func (wor *Worker) mute() bool { return wor.has(VMLost) || wor.has(Partitioned) }

// reports sends reports until ctx ends: one after the other when they bring
// orders, and one each reportEvery when they do not.
func (wor *Worker) reports(ctx context.Context) {
	ap := newAPI(wor.cfg.Addresses)
	defer ap.close()
	for ctx.Err() == nil {
		if wor.mute() {
			host.Pause(ctx, reportGap)
			continue
		}
		ans, err := wor.report(ctx, ap)
		if err != nil {
			wor.cfg.Log.Debug("report failed", "worker", wor.cfg.Name, "error", err)
		}
		if wor.has(Delayed) {
			host.Pause(ctx, wor.cfg.Delay)
		}
		if err == nil && !wor.mute() {
			wor.ref.Send(ans)
		}
		wait := reportEvery - wor.cfg.Clock().Sub(ans.Sent)
		if len(ans.Orders.Orders) > 0 {
			wait = 0
		}
		host.Pause(ctx, max(wait, reportGap))
	}
}

// report sends one report. Sent in the answer is no later than the report.
func (wor *Worker) report(ctx context.Context, ap *api) (ReportResponse, error) {
	type dated struct {
		rep rest.WorkerReport
		ans ReportResponse
	}
	got, err := host.Read(wor.ref, readTimeout, func(now model.Instant, eng *Engine) dated {
		return dated{rep: eng.Report(now), ans: ReportResponse{Sent: now, Incarnation: eng.Incarnation()}}
	})
	if err != nil {
		return ReportResponse{Sent: wor.cfg.Clock()}, errors.Trace(err)
	}
	got.ans.Orders, err = post[rest.WorkerOrders](ctx, ap, rest.PathWorkerReport, got.rep)
	return got.ans, errors.Trace(err)
}

// announces announces the backend server until ctx ends or it leaves.
func (wor *Worker) announces(ctx context.Context) {
	ap := newAPI(wor.cfg.Addresses)
	defer ap.close()
	for ctx.Err() == nil {
		if !wor.mute() {
			_, err := post[rest.BackendAnnounced](ctx, ap, rest.PathBackendAnnounce, rest.BackendAnnounce{
				Backend: wor.cfg.Name, Service: wor.cfg.Service, Worker: wor.cfg.Name, Address: wor.Address(),
				Slots: wor.cfg.Slots, Connections: wor.cfg.Connections, Incarnation: wor.incarnation.Load(),
			})
			if err != nil {
				wor.cfg.Log.Debug("announcement failed", "worker", wor.cfg.Name, "error", err)
			}
		}
		tim := time.NewTimer(announceEvery)
		select {
		case <-ctx.Done():
		case <-tim.C:
		case <-wor.leave:
			wor.sendLeave(ctx, ap)
			tim.Stop()
			return
		}
		tim.Stop()
	}
}

// sendLeave sends the leave message until a VM accepts it.
func (wor *Worker) sendLeave(ctx context.Context, ap *api) {
	for ctx.Err() == nil {
		_, err := post[rest.BackendLeft](ctx, ap, rest.PathBackendLeave, rest.BackendLeave{
			Backend: wor.cfg.Name, Incarnation: wor.incarnation.Load(),
		})
		if err == nil {
			close(wor.left)
			return
		}
		wor.cfg.Log.Debug("leave message failed", "worker", wor.cfg.Name, "error", err)
		host.Pause(ctx, reportGap)
	}
}
