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

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/route"
	"guavarail/io/host"
)

// tickEvery bounds how late a queued request learns that its deadline passed.
const tickEvery = 20 * time.Millisecond

// Config holds the dependencies of a Server.
type Config struct {
	// Name is the actor's name, unique in System; empty means route.
	Name string
	// VM and Boot name the owner of claims; Boot differs in each start.
	VM          model.VMID
	Incarnation uint64
	Centre      model.CentreID
	// Listener accepts callers. The server closes it.
	Listener net.Listener
	System   *actor.ActorSystem
	Clock    host.Clock
	Seed     uint64
	Limits   Limits
	// Claims may be nil: then requests with a key are rejected as not run.
	Claims Claims
	// Forwarder may be nil: then no request is forwarded.
	Forwarder Forwarder
	// OnUsage, OnTail and OnEvent run on the owning actor and must not block.
	OnUsage       func(us route.Usage)
	OnTailLatency func(ta route.TailLatency)
	OnEvent       func(ev event.Event)
	Log           hclog.Logger
	// FreeExpired frees the slot of an expired request at once. Only the
	// measurement in docs/decisions/expired-slots.md sets it.
	FreeExpired bool
}

// machine is the routing machine with handlers' exchanges as keys.
type machine = route.Machine[*exchange, route.PowerOfTwo]

// Server is the request path of one entry VM.
type Server struct {
	cfg       Config
	ref       host.Ref[*machine, route.Input, route.Effect]
	http      *http.Server
	transport *http.Transport
	metrics   *metrics
	tasks     *tasks
	// draining is closed when a planned shutdown starts.
	draining chan struct{}
	served   chan struct{}
}

// New starts to serve callers on cfg.Listener. The clean-up function aborts
// what is in flight; a planned shutdown calls Drain first.
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
		cfg: cfg, metrics: newMetrics(), tasks: newTasks(),
		draining: make(chan struct{}), served: make(chan struct{}),
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
		ConnContext:       withConn,
		ErrorLog:          cfg.Log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	lis := &boundedListener{
		Listener: cfg.Listener, places: make(chan struct{}, cfg.Limits.Connections),
		count: srv.metrics.add,
	}
	go srv.serve(lis)
	return srv, func() { srv.close(stop) }, nil
}

// spawn starts the actor that owns the routing machine.
func (srv *Server) spawn() (func(), error) {
	mac := route.New[*exchange](route.Config[route.PowerOfTwo]{Seed: srv.cfg.Seed, FreeExpired: srv.cfg.FreeExpired})
	ref, stop, err := host.Spawn(srv.cfg.System, host.Config[*machine, route.Input, route.Effect]{
		Name: orDefault(srv.cfg.Name, "route"), Machine: mac, Clock: srv.cfg.Clock, HandleEffect: srv.carry,
		TickInterval: tickEvery, TickInput: func() route.Input { return route.Tick{} },
	})
	srv.ref = ref
	return stop, err
}

// serve accepts callers until the listener is closed. It ends with the HTTP
// server, so it takes no context of its own.
func (srv *Server) serve(lis net.Listener) {
	defer close(srv.served)
	if err := srv.http.Serve(lis); err != http.ErrServerClosed {
		srv.cfg.Log.Error("entry server ended", "error", err)
	}
}

// carry carries out one effect of the machine on the actor's goroutine.
func (srv *Server) carry(eff route.Effect) {
	switch msg := eff.(type) {
	case route.Dispatch[*exchange]:
		msg.Key().decide(msg)
	case route.Reject[*exchange]:
		msg.Key().decide(msg)
	case route.Forward[*exchange]:
		msg.Key().decide(msg)
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

// Announce reports a backend server that an entry VM heard of age ago.
func (srv *Server) Announce(ba route.Backend, age time.Duration) {
	srv.ref.Send(route.NewAnnounce(ba, age))
}

// Leave reports that a backend server takes no new requests.
func (srv *Server) Leave(id model.BackendID, incarnation uint64) {
	srv.ref.Send(route.NewLeave(id, incarnation))
}

// SetCredits sets the slots of a worker that this VM holds.
func (srv *Server) SetCredits(wo model.WorkerID, limit int, version uint64) {
	srv.ref.Send(route.NewCredits(wo, limit, version))
}

// SetLease sets the end of the lease of the credits.
func (srv *Server) SetLease(until model.Instant) { srv.ref.Send(route.NewLease(until)) }

// SetStaticShare replaces credits by a fixed part of the slots of each worker.
func (srv *Server) SetStaticShare(pos, of int) { srv.ref.Send(route.NewStaticShare(pos, of)) }

// SetActivePreset makes pr the active preset.
func (srv *Server) SetActivePreset(pr model.Preset) { srv.ref.Send(route.NewActivePreset(pr)) }

// SetAdmitPercent sets the percentage of requests that the data centre takes.
func (srv *Server) SetAdmitPercent(percent int) { srv.ref.Send(route.NewAdmitPercent(percent)) }

// Addr returns the address that callers use.
func (srv *Server) Addr() net.Addr { return srv.cfg.Listener.Addr() }

// Metrics returns the counters, for the caller to publish.
func (srv *Server) Metrics() expvar.Var { return srv.metrics.vars }

// Ready reports whether the VM takes new callers.
func (srv *Server) Ready() bool {
	select {
	case <-srv.draining:
		return false
	default:
		return true
	}
}

// Servers returns the backend table for operators.
func (srv *Server) Servers(within time.Duration) ([]route.Status, error) {
	sts, err := host.Read(srv.ref, within, func(now model.Instant, mac *machine) []route.Status { return mac.Servers(now) })
	return sts, errors.Trace(err)
}

// owner names one request in claims.
func (srv *Server) owner(num uint64) string {
	return string(srv.cfg.VM) + "/" + strconv.FormatUint(srv.cfg.Incarnation, 36) + "/" + strconv.FormatUint(num, 36)
}

func (srv *Server) close(stop func()) {
	_ = srv.http.Close()
	<-srv.served
	srv.tasks.abort()
	_ = srv.tasks.wait(context.Background())
	stop()
	srv.transport.CloseIdleConnections()
}
