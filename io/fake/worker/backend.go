package worker

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/host"
)

// readTimeout limits how long a read of an actor's state waits for the actor, and
// how long the backend server waits for the headers of a request.
const readTimeout = 5 * time.Second

// server is the backend server of a worker. It implements http.Handler.
type server struct {
	// ref refers to the actor that owns the request log.
	ref host.Ref[*RequestLog, RequestEvent, struct{}]
	// faults has the Faults of the worker.
	faults *atomic.Uint32
	// delay is the delay of the fault Delayed.
	delay time.Duration
	// ctx ends when the server is closed.
	ctx        context.Context
	cancel     context.CancelFunc
	lis        net.Listener
	http       *http.Server
	serveEnded chan struct{}
}

// newServer starts a backend server on addr. faults is shared with the worker,
// which changes it. The clean-up function closes the server.
func newServer(sys *actor.ActorSystem, name, addr string, delay time.Duration, faults *atomic.Uint32) (*server, func(), error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, func() {}, errors.Trace(&ListenError{addr: addr, cause: err})
	}
	ref, stop, err := host.Spawn(sys, host.Config[*RequestLog, RequestEvent, struct{}]{
		Name: "requests-" + name, Machine: &RequestLog{}, Clock: host.NewClock(), HandleEffect: func(struct{}) {},
	})
	if err != nil {
		_ = lis.Close()
		return nil, stop, errors.Trace(err)
	}
	srv := &server{ref: ref, faults: faults, delay: delay, lis: lis, serveEnded: make(chan struct{})}
	srv.ctx, srv.cancel = context.WithCancel(context.Background())
	srv.http = &http.Server{Handler: srv, ReadHeaderTimeout: readTimeout}
	go srv.run(srv.ctx)
	return srv, func() {
		srv.cancel()
		_ = srv.http.Close()
		<-srv.serveEnded
		stop()
	}, nil
}

// run serves until the server is closed, and then closes serveEnded.
func (srv *server) run(context.Context) {
	defer close(srv.serveEnded)
	_ = srv.http.Serve(srv.lis)
}

func (srv *server) has(fas Faults) bool { return Faults(srv.faults.Load()).has(fas) }

// ServeHTTP runs one request for the time in its headers, subject to the faults of
// the worker.
func (srv *server) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	par := readParams(req)
	switch {
	case srv.has(VMLost):
		panic(http.ErrAbortHandler)
	case srv.has(RejectRequests):
		wri.Header().Set(headerNotRun, "true")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, maxBodyBytes))
	srv.ref.Send(RequestEvent{ID: par.id, Started: true})
	work := par.work
	if srv.has(Slow) {
		work *= SlowFactor
	}
	if srv.has(Delayed) {
		work += srv.delay
	}
	// The request keeps running after the caller disconnects, as on a real
	// server.
	for end := time.Now().Add(work); time.Now().Before(end) && srv.ctx.Err() == nil && !srv.has(VMLost); {
		host.Pause(srv.ctx, min(time.Until(end), tickInterval))
	}
	srv.ref.Send(RequestEvent{ID: par.id})
	// A partitioned VM sends nothing: the response waits for the end of the
	// partition.
	for srv.has(Partitioned) && srv.ctx.Err() == nil && req.Context().Err() == nil {
		host.Pause(srv.ctx, tickInterval)
	}
	if srv.ctx.Err() != nil || srv.has(VMLost) {
		panic(http.ErrAbortHandler)
	}
	srv.respond(wri, par)
}

// respond writes the response. With the fault TruncateResponses, it writes only the
// first half and closes the connection.
func (srv *server) respond(wri http.ResponseWriter, par requestParams) {
	body := ResponseBody(par.id, par.size)
	wri.Header().Set("Content-Type", "text/plain")
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if srv.has(TruncateResponses) {
		_, _ = io.WriteString(wri, body[:len(body)/2])
		_ = http.NewResponseController(wri).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wri, body)
}

func (srv *server) stats() (RequestStats, error) {
	sta, err := host.Read(srv.ref, readTimeout, func(_ model.Instant, rlo *RequestLog) RequestStats { return rlo.stats() })
	return sta, errors.Trace(err)
}
