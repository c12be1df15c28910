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

// readTimeout bounds the wait for an actor of the fake.
const readTimeout = 5 * time.Second

// server is the backend server of a worker.
type server struct {
	ref    host.Ref[*RequestLog, RequestEvent, struct{}]
	mode   *atomic.Uint32
	lateBy time.Duration
	// ctx ends when the server is closed.
	ctx    context.Context
	cancel context.CancelFunc
	lis    net.Listener
	http   *http.Server
	ended  chan struct{}
}

// newServer starts a backend server on addr. mode is shared with the worker,
// which changes it.
func newServer(sys *actor.ActorSystem, name, addr string, lateBy time.Duration, mode *atomic.Uint32) (*server, func(), error) {
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
	srv := &server{ref: ref, mode: mode, lateBy: lateBy, lis: lis, ended: make(chan struct{})}
	srv.ctx, srv.cancel = context.WithCancel(context.Background())
	srv.http = &http.Server{Handler: srv, ReadHeaderTimeout: readTimeout}
	go srv.run(srv.ctx)
	return srv, func() {
		srv.cancel()
		_ = srv.http.Close()
		<-srv.ended
		stop()
	}, nil
}

// run serves until the server is closed and then closes ended.
func (srv *server) run(context.Context) {
	defer close(srv.ended)
	_ = srv.http.Serve(srv.lis)
}

func (srv *server) has(mode Faults) bool { return Faults(srv.mode.Load()).has(mode) }

// ServeHTTP runs one request as it asks for in its headers.
func (srv *server) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	wis := readWish(req)
	switch {
	case srv.has(VMLost):
		panic(http.ErrAbortHandler)
	case srv.has(RejectRequests):
		wri.Header().Set(headerNotRun, "true")
		wri.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(req.Body, maxReply))
	srv.ref.Send(RequestEvent{ID: wis.id, Started: true})
	work := wis.work
	if srv.has(Slow) {
		work *= SlowFactor
	}
	if srv.has(Delayed) {
		work += srv.lateBy
	}
	// The work goes on when the caller gives up, as that of a real server.
	for end := time.Now().Add(work); time.Now().Before(end) && srv.ctx.Err() == nil && !srv.has(VMLost); {
		host.Pause(srv.ctx, min(time.Until(end), tickEvery))
	}
	srv.ref.Send(RequestEvent{ID: wis.id})
	for srv.has(Partitioned) && srv.ctx.Err() == nil && req.Context().Err() == nil {
		host.Pause(srv.ctx, tickEvery)
	}
	if srv.ctx.Err() != nil || srv.has(VMLost) {
		panic(http.ErrAbortHandler)
	}
	srv.respond(wri, wis)
}

// respond writes the response or the first half of it.
func (srv *server) respond(wri http.ResponseWriter, wis wish) {
	body := ResponseBody(wis.id, wis.size)
	wri.Header().Set("Content-Type", "text/plain")
	wri.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if srv.has(TruncateResponses) {
		_, _ = io.WriteString(wri, body[:len(body)/2])
		_ = http.NewResponseController(wri).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(wri, body)
}

func (srv *server) account() (RequestStats, error) {
	acc, err := host.Read(srv.ref, readTimeout, func(_ model.Instant, rlo *RequestLog) RequestStats { return rlo.account() })
	return acc, errors.Trace(err)
}
