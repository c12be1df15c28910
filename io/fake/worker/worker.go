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
	// reportInterval is the interval between two reports when the response to the
	// first has no orders.
	reportInterval = time.Second
	// minSendInterval is the minimum pause between reports, and between attempts to
	// send the leave message, so that an entry VM that responds immediately is
	// not flooded.
	minSendInterval = 20 * time.Millisecond
	// announceInterval is the interval of the backend server's announcements.
	announceInterval = time.Second
)

// Config describes one worker.
type Config struct {
	// System is the actor system that the worker runs in.
	System *actor.ActorSystem
	Name   string
	// Rack is the name of the rack that the worker reports.
	Rack string
	// Size is the capacity for tasks that the worker reports.
	Size model.Resources
	// Addresses are the API addresses of the entry VMs in the data centre.
	Addresses []string
	// Clock is the clock of the worker. Workers whose event times are compared
	// must share it; nil means a separate clock.
	Clock    host.Clock
	Workload Workload
	// Service is the service of the backend server, which listens on Listen; no
	// backend server is started when Service is empty. Slots (requests that may
	// run at the same time) and Connections are the limits that the backend server
	// announces; 0 means the default of the entry VM.
	Service            string
	Listen             string
	Slots, Connections int
	// Delay is the delay of the fault Delayed; 0 means 1 s.
	Delay time.Duration
	// OnAttemptEvent is called with each start and end of an attempt, on the
	// goroutine of the worker's actor. It must not block.
	OnAttemptEvent func(AttemptEvent)
	// Log receives the failures to reach an entry VM; nil means no log.
	Log hclog.Logger
}

// Worker is a simulated worker VM.
type Worker struct {
	cfg Config
	ref host.Ref[*Engine, Input, AttemptEvent]
	// srv is nil when the worker has no backend server.
	srv *server
	// faults is a copy of the engine's faults that all goroutines can read.
	faults *atomic.Uint32
	// incarnation is the incarnation of the backend server. It starts at the Unix
	// time in nanoseconds, so that a new Worker has a higher one than the last.
	incarnation *atomic.Uint64
	// leaveRequested makes announceLoop send the leave message and end.
	leaveRequested chan struct{}
	// leaveAccepted is closed when an entry VM has accepted the leave message.
	leaveAccepted chan struct{}
}

// New starts a worker. The clean-up function stops it without a leave message or
// a last report, like the loss of a VM.
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
	wor := &Worker{cfg: cfg, faults: &atomic.Uint32{}, incarnation: &atomic.Uint64{}, leaveRequested: make(chan struct{}, 1), leaveAccepted: make(chan struct{})}
	wor.incarnation.Store(uint64(time.Now().UnixNano()))
	var stops []func()
	stop := func() {
		for i := len(stops) - 1; i >= 0; i-- {
			stops[i]()
		}
	}
	ref, stopEngine, err := host.Spawn(cfg.System, host.Config[*Engine, Input, AttemptEvent]{
		Name: "worker-" + cfg.Name, Machine: NewEngine(cfg.Name, cfg.Rack, cfg.Size, cfg.Workload), Clock: cfg.Clock,
		HandleEffect: cfg.OnAttemptEvent, TickInterval: tickInterval, TickInput: func() Input { return Tick{} },
	})
	if err != nil {
		return nil, stop, errors.Trace(err)
	}
	wor.ref, stops = ref, append(stops, stopEngine)
	loops := []func(context.Context){wor.reportLoop}
	if cfg.Service != "" {
		srv, stopServer, err := newServer(cfg.System, cfg.Name, cfg.Listen, cfg.Delay, wor.faults)
		if err != nil {
			stop()
			return nil, func() {}, errors.Trace(err)
		}
		wor.srv, stops = srv, append(stops, stopServer)
		loops = append(loops, wor.announceLoop)
	}
	stops = append(stops, startLoops(loops))
	return wor, stop, nil
}

// startLoops starts a goroutine for each loop and returns a function that ends
// them and waits for their end.
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

// SetFaults sets the given faults if on is true, and clears them otherwise. Other
// faults stay as they are.
func (wor *Worker) SetFaults(fas Faults, on bool) {
	for {
		old := wor.faults.Load()
		if wor.faults.CompareAndSwap(old, uint32(Faults(old).with(fas, on))) {
			break
		}
	}
	if on && fas.has(VMLost) {
		// The backend server that serves after the loss of the VM is a new
		// incarnation.
		wor.incarnation.Add(1)
	}
	wor.ref.Send(SetFaults{Faults: fas, On: on})
}

// Leave makes the backend server leave, like one that is about to stop: it sends
// the leave message and no more announcements, but still serves requests that
// arrive. Leave doesn't wait until the message is sent.
func (wor *Worker) Leave() {
	select {
	case wor.leaveRequested <- struct{}{}:
	default:
	}
}

// LeaveAccepted returns a channel that is closed when an entry VM has accepted the
// leave message.
func (wor *Worker) LeaveAccepted() <-chan struct{} { return wor.leaveAccepted }

// Address returns the address of the backend server; empty if there is none.
func (wor *Worker) Address() string {
	if wor.srv == nil {
		return ""
	}
	return wor.srv.lis.Addr().String()
}

// RequestStats returns the request statistics of the backend server; zero if there
// is none.
func (wor *Worker) RequestStats() (RequestStats, error) {
	if wor.srv == nil {
		return RequestStats{}, nil
	}
	return wor.srv.stats()
}

// Load returns the number of running attempts, and for each resource the largest sum
// of the sizes of attempts that ran at the same time.
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

func (wor *Worker) has(fas Faults) bool { return Faults(wor.faults.Load()).has(fas) }

// disconnected reports whether faults prevent the worker from sending.
func (wor *Worker) disconnected() bool { return wor.has(VMLost) || wor.has(Partitioned) }

// reportLoop sends reports until ctx ends. The next report is sent minSendInterval
// after a response with orders, and otherwise reportInterval after the previous
// report.
func (wor *Worker) reportLoop(ctx context.Context) {
	ap := newAPI(wor.cfg.Addresses)
	defer ap.close()
	for ctx.Err() == nil {
		if wor.disconnected() {
			host.Pause(ctx, minSendInterval)
			continue
		}
		rsp, err := wor.report(ctx, ap)
		if err != nil {
			wor.cfg.Log.Debug("report failed", "worker", wor.cfg.Name, "error", err)
		}
		if wor.has(Delayed) {
			host.Pause(ctx, wor.cfg.Delay)
		}
		if err == nil && !wor.disconnected() {
			wor.ref.Send(rsp)
		}
		wait := reportInterval - wor.cfg.Clock().Sub(rsp.Sent)
		if len(rsp.Orders.Orders) > 0 {
			wait = 0
		}
		host.Pause(ctx, max(wait, minSendInterval))
	}
}

// report sends one report. Sent in the result is no later than the time at which
// the report was sent: leases run from it, and must not expire later on the worker
// than the scheduler expects.
func (wor *Worker) report(ctx context.Context, ap *api) (ReportResponse, error) {
	type snapshot struct {
		rep rest.WorkerReport
		rsp ReportResponse
	}
	got, err := host.Read(wor.ref, readTimeout, func(now model.Instant, eng *Engine) snapshot {
		return snapshot{rep: eng.Report(now), rsp: ReportResponse{Sent: now, Incarnation: eng.Incarnation()}}
	})
	if err != nil {
		return ReportResponse{Sent: wor.cfg.Clock()}, errors.Trace(err)
	}
	got.rsp.Orders, err = post[rest.WorkerOrders](ctx, ap, rest.PathWorkerReport, got.rep)
	return got.rsp, errors.Trace(err)
}

// announceLoop announces the backend server until ctx ends, or until Leave is
// called and the leave message has been accepted.
func (wor *Worker) announceLoop(ctx context.Context) {
	ap := newAPI(wor.cfg.Addresses)
	defer ap.close()
	for ctx.Err() == nil {
		if !wor.disconnected() {
			_, err := post[rest.BackendAnnounced](ctx, ap, rest.PathBackendAnnounce, rest.BackendAnnounce{
				Backend: wor.cfg.Name, Service: wor.cfg.Service, Worker: wor.cfg.Name, Address: wor.Address(),
				Slots: wor.cfg.Slots, Connections: wor.cfg.Connections, Incarnation: wor.incarnation.Load(),
			})
			if err != nil {
				wor.cfg.Log.Debug("announcement failed", "worker", wor.cfg.Name, "error", err)
			}
		}
		tim := time.NewTimer(announceInterval)
		select {
		case <-ctx.Done():
		case <-tim.C:
		case <-wor.leaveRequested:
			wor.sendLeave(ctx, ap)
			tim.Stop()
			return
		}
		tim.Stop()
	}
}

// sendLeave repeats the leave message until an entry VM accepts it or ctx ends.
func (wor *Worker) sendLeave(ctx context.Context, ap *api) {
	for ctx.Err() == nil {
		_, err := post[rest.BackendLeft](ctx, ap, rest.PathBackendLeave, rest.BackendLeave{
			Backend: wor.cfg.Name, Incarnation: wor.incarnation.Load(),
		})
		if err == nil {
			close(wor.leaveAccepted)
			return
		}
		wor.cfg.Log.Debug("leave message failed", "worker", wor.cfg.Name, "error", err)
		host.Pause(ctx, minSendInterval)
	}
}
