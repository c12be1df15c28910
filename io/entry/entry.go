package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/route"
	"guavarail/io/host"
	"guavarail/io/httpd"
	"guavarail/io/limit"
)

// tickInterval bounds the delay with which the deadline of a queued request is
// enforced.
const tickInterval = 20 * time.Millisecond

// Config holds the dependencies of a Server.
type Config struct {
	// Name is the actor's name, unique in System; empty means "route".
	Name string
	// VM and Incarnation identify this process as the owner of claims.
	// Incarnation differs for each start of the VM process.
	VM          model.VMID
	Incarnation uint64
	Centre      model.CentreID
	// Listener accepts connections of callers. The server closes it.
	Listener net.Listener
	System   *actor.ActorSystem
	// Clock may be nil; a new host.Clock is then used.
	Clock host.Clock
	// Seed is the seed of the random choice between backend servers.
	Seed   uint64
	Limits Limits
	// Budget bounds the memory and the connections of callers together with the other
	// listeners of the process. It may be nil.
	Budget *limit.Budget
	// Claims may be nil; requests with an idempotency key are then rejected as
	// not run.
	Claims Claims
	// Forwarder may be nil; no request is then forwarded.
	Forwarder Forwarder
	// OnUsage, OnTailLatency and OnEvent run on the actor that owns the routing
	// state machine and must not block. They may be nil.
	OnUsage       func(us route.Usage)
	OnTailLatency func(ta route.TailLatency)
	OnEvent       func(ev event.Event)
	// Log may be nil; nothing is then logged.
	Log hclog.Logger
	// FreeExpired frees the slot of a request at once when it expires or is
	// cancelled, although the backend server may still run it. Only the measurement
	// of what this costs, in docs/decisions/expired-slots.md, sets it.
	FreeExpired bool
}

// machine is the routing state machine. Its key of a request is the exchange.
type machine = route.Machine[*exchange, route.PowerOfTwo]

// Server is the request path of one entry VM.
type Server struct {
	cfg       Config
	ref       host.Ref[*machine, route.Input, route.Effect]
	http      *http.Server
	transport *http.Transport
	metrics   *metrics
	// goroutines tracks the goroutines that requests start.
	goroutines *goroutines
	// draining is closed when a planned shutdown starts.
	draining chan struct{}
	// serveDone is closed when the HTTP server has stopped accepting.
	serveDone chan struct{}
}

// New starts serving callers on cfg.Listener. The clean-up function aborts
// requests in flight; call Drain first for a planned shutdown.
func New(cfg Config) (*Server, func(), error) {
	switch {
	case cfg.Listener == nil:
		return nil, func() {}, errors.Trace(&ConfigError{field: "Listener"})
	case cfg.System == nil:
		return nil, func() {}, errors.Trace(&ConfigError{field: "System"})
	}
	if cfg.Clock == nil {
		cfg.Clock = host.NewClock()
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	cfg.Limits = cfg.Limits.withDefaults()
	srv := &Server{
		cfg: cfg, metrics: newMetrics(), goroutines: newGoroutines(),
		draining: make(chan struct{}), serveDone: make(chan struct{}),
	}
	srv.transport = newTransport(cfg.Limits)
	stop, err := srv.spawn()
	if err != nil {
		return nil, func() {}, errors.Trace(err)
	}
	srv.http = &http.Server{
		Handler:           http.HandlerFunc(srv.handle),
		ReadHeaderTimeout: cfg.Limits.HeaderTimeout,
		IdleTimeout:       cfg.Limits.IdleTimeout,
		MaxHeaderBytes:    cfg.Limits.HeaderBytes,
		ConnContext:       withCallerConn,
		ConnState:         callerConnState,
		ErrorLog:          cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	lis := &boundedListener{
		Listener: newBounds(cfg).Guard(cfg.Listener), tokens: make(chan struct{}, cfg.Limits.Connections),
		count: srv.metrics.add,
	}
	go srv.serve(lis)
	return srv, func() { srv.close(stop) }, nil
}

// newBounds returns the bounds of the connections of callers.
func newBounds(cfg Config) *httpd.Bounds {
	bnd := httpd.NewBounds(buffer.Callers, cfg.Budget)
	bnd.SetRefusalHeader(HeaderOutcome, OutcomeNotRun)
	bnd.SetLimits(httpd.Limits{
		MaxHeader: int64(cfg.Limits.HeaderBytes), MaxBody: cfg.Limits.BodyBytes,
		HeaderTimeout: cfg.Limits.HeaderTimeout, IdleTimeout: cfg.Limits.IdleTimeout,
	})
	return bnd
}

// spawn starts the actor that owns the routing state machine.
func (srv *Server) spawn() (func(), error) {
	mac := route.New[*exchange](route.Config[route.PowerOfTwo]{Seed: srv.cfg.Seed, FreeExpired: srv.cfg.FreeExpired})
	ref, stop, err := host.Spawn(srv.cfg.System, host.Config[*machine, route.Input, route.Effect]{
		Name: orDefault(srv.cfg.Name, "route"), Machine: mac, Clock: srv.cfg.Clock, HandleEffect: srv.runEffect,
		TickInterval: tickInterval, TickInput: func() route.Input { return route.Tick{} },
	})
	srv.ref = ref
	return stop, err
}

// serve accepts connections until the HTTP server is shut down or closed, which
// is why it takes no context.
func (srv *Server) serve(lis net.Listener) {
	defer close(srv.serveDone)
	if err := srv.http.Serve(lis); err != http.ErrServerClosed {
		srv.cfg.Log.Error("HTTP server for callers stopped after an error", "error", err)
	}
}

// runEffect carries out one effect of the state machine. It runs on the actor's
// goroutine.
func (srv *Server) runEffect(eff route.Effect) {
	switch msg := eff.(type) {
	case route.Dispatch[*exchange]:
		msg.Key().postDecision(msg)
	case route.Reject[*exchange]:
		msg.Key().postDecision(msg)
	case route.Forward[*exchange]:
		msg.Key().postDecision(msg)
	case route.Usage:
		if srv.cfg.OnUsage != nil {
			srv.cfg.OnUsage(msg)
		}
	case route.TailLatency:
		if srv.cfg.OnTailLatency != nil {
			srv.cfg.OnTailLatency(msg)
		}
	case route.Event:
		if srv.cfg.OnEvent != nil {
			srv.cfg.OnEvent(msg.Event())
		}
	}
}

// Announce reports a backend server whose announcement an entry VM received age
// ago.
func (srv *Server) Announce(ba route.Backend, age time.Duration) {
	srv.ref.Send(route.NewAnnounce(ba, age))
}

// Leave reports that a backend server is leaving and gets no new requests.
func (srv *Server) Leave(id model.BackendID, incarnation uint64) {
	srv.ref.Send(route.NewLeave(id, incarnation))
}

// Requests returns the number of requests of callers that have arrived.
func (srv *Server) Requests() int64 { return int64(srv.goroutines.requestCount.Load()) }

// SetCredits sets the number of slots of a worker that this VM may use while its
// lease is valid. The version grows with each change and is reported by OnUsage.
func (srv *Server) SetCredits(wo model.WorkerID, limit int, version uint64) {
	srv.ref.Send(route.NewCredits(wo, limit, version))
}

// SetLease sets when the lease on all credits ends. No credit may be used after that.
func (srv *Server) SetLease(until model.Instant) { srv.ref.Send(route.NewLease(until)) }

// SetStaticShare replaces the credits by a fixed share of the slots of each worker:
// that of the entry VM with the given index, from 0, out of total entry VMs.
func (srv *Server) SetStaticShare(index, total int) { srv.ref.Send(route.NewStaticShare(index, total)) }

// SetActivePreset makes pr the active preset.
func (srv *Server) SetActivePreset(pr model.Preset) { srv.ref.Send(route.NewActivePreset(pr)) }

// SetAdmitPercent sets the percentage of requests that the data centre admits: 0
// while it is out of service, 100 in normal service.
func (srv *Server) SetAdmitPercent(percent int) { srv.ref.Send(route.NewAdmitPercent(percent)) }

// Addr returns the address on which callers are served.
func (srv *Server) Addr() net.Addr { return srv.cfg.Listener.Addr() }

// Metrics returns the counters of the request path, such as those of requests by
// outcome and of rejections by reason. The caller publishes them.
func (srv *Server) Metrics() expvar.Var { return srv.metrics.vars }

// Ready reports whether the VM accepts new callers, which is the case until
// Drain is called.
func (srv *Server) Ready() bool {
	select {
	case <-srv.draining:
		return false
	default:
		return true
	}
}

// Servers returns the status of all backend servers in the table of the routing
// state machine. It fails if the actor does not answer within timeout.
func (srv *Server) Servers(timeout time.Duration) ([]route.Status, error) {
	sts, err := host.Read(srv.ref, timeout, func(now model.Instant, mac *machine) []route.Status { return mac.Servers(now) })
	return sts, errors.Trace(err)
}

// claimOwner returns the name under which request num of this process claims its
// idempotency key.
func (srv *Server) claimOwner(num uint64) string {
	return string(srv.cfg.VM) + "/" + strconv.FormatUint(srv.cfg.Incarnation, 36) + "/" + strconv.FormatUint(num, 36)
}

// close aborts the requests in flight, waits for their goroutines and calls stop, which
// stops the actor.
func (srv *Server) close(stop func()) {
	_ = srv.http.Close()
	<-srv.serveDone
	srv.goroutines.abort()
	_ = srv.goroutines.wait(context.Background())
	stop()
	srv.transport.CloseIdleConnections()
}
