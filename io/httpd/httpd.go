// Package httpd starts HTTP servers, bounds what their clients send, and shuts them down
// gracefully, which means that running requests are completed.
package httpd

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

const (
	// headerTimeout bounds the reading of request headers, and idleTimeout the wait
	// for the next request on a connection, unless limits are set.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// maxIdleTimeout is the most that Limits.IdleTimeout can be.
	maxIdleTimeout = time.Hour
	// bodyTimeout bounds the reading of a request including its headers, and separately
	// the time from the end of its headers to the end of its response.
	bodyTimeout = 15 * time.Second
	// abortDelay is the time in which a handler whose context was cancelled may still
	// write its response.
	abortDelay = 200 * time.Millisecond
)

// ListenError reports that a server could not listen on its address.
type ListenError struct {
	name  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string {
	return "listen for " + err.name + ": " + err.cause.Error() + "; check the address in the settings"
}

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }

// AbortedError reports that a server was stopped before it had responded to all requests.
type AbortedError struct {
	name     string
	requests int64
}

// Requests returns the number of requests without a response.
func (err *AbortedError) Requests() int64 { return err.requests }

// Error describes the failure.
func (err *AbortedError) Error() string {
	return strconv.FormatInt(err.requests, 10) + " requests of " + err.name + " ended without a response"
}

// Start listens on an address and serves it; its error is a *ListenError. The name says
// in errors and log lines what the server is for. The returned function shuts the server
// down: it closes the listener and the connections on which no byte of a request has been
// read, and waits for the responses to all other requests until the context passed to it
// ends. It then cancels the contexts of the remaining requests, aborts those that are not
// complete after abortDelay and returns once the server has ended. If the context has ended
// before the call, it aborts all requests at once. Its error is an *AbortedError if requests
// were aborted.
func Start(name, address string, han http.Handler, log hclog.Logger) (func(ctx context.Context) error, error) {
	return StartBounded(name, address, han, &Bounds{}, log)
}

// StartBounded is like Start. The bounds are those of this server alone; their limits may
// be changed while it runs.
func StartBounded(name, address string, han http.Handler, bnd *Bounds, log hclog.Logger) (func(ctx context.Context) error, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(&ListenError{name: name, cause: err})
	}
	return startBounded(name, lis, han, bnd, log), nil
}

// server is a running HTTP server.
type server struct {
	name string
	log  hclog.Logger
	http *http.Server
	lis  *listener
	// requests is cancelled to end the contexts of all requests.
	requests       context.Context
	cancelRequests context.CancelFunc
	// served is closed when the server accepts no more connections.
	served chan struct{}
	// running is the number of requests whose handler has not returned.
	running atomic.Int64
	// aborted is set before the connections of the remaining requests are closed.
	aborted atomic.Bool
}

// start serves lis without bounds. The returned function is that of Start.
func start(name string, lis net.Listener, han http.Handler, log hclog.Logger) func(ctx context.Context) error {
	return startBounded(name, lis, han, &Bounds{}, log)
}

// startBounded serves lis. The returned function is that of Start.
func startBounded(name string, lis net.Listener, han http.Handler, bnd *Bounds, log hclog.Logger) func(ctx context.Context) error {
	srv := &server{name: name, log: log, lis: newListener(lis, bnd), served: make(chan struct{})}
	srv.requests, srv.cancelRequests = context.WithCancel(context.Background())
	srv.http = &http.Server{
		// The connections bound heads and idle times by limits that may change.
		Handler: srv.handler(han), ReadTimeout: bodyTimeout, WriteTimeout: bodyTimeout, IdleTimeout: maxIdleTimeout, MaxHeaderBytes: largestHeader,
		ErrorLog:    log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		BaseContext: func(net.Listener) context.Context { return srv.requests },
		ConnContext: withConn,
		ConnState:   connState,
	}
	go srv.serve(srv.lis.closing)
	return srv.stop
}

// serve serves connections until the listener is closed, and then closes served.
func (srv *server) serve(closing context.Context) {
	defer close(srv.served)
	if err := srv.http.Serve(srv.lis); closing.Err() == nil {
		srv.log.Error("HTTP server failed", "what", srv.name, "error", err)
	}
}

// stop shuts the server down; see Start. It does not use http.Server.Shutdown, which
// closes a connection whose next request has been read but not parsed yet.
func (srv *server) stop(ctx context.Context) error {
	start, running, immediate := time.Now(), srv.running.Load(), ctx.Err() != nil
	_ = srv.lis.Close()
	<-srv.served
	ended := srv.lis.ended()
	select {
	case <-ended:
	case <-ctx.Done():
		srv.cancelRequests()
		if !immediate {
			waitFor(ended, abortDelay)
		}
	}
	srv.aborted.Store(true)
	aborted := srv.running.Load()
	srv.cancelRequests()
	_ = srv.http.Close()
	waitFor(ended, abortDelay)
	srv.log.Info("HTTP server stopped", "what", srv.name, "requestsRunningAtStop", running, "requestsAborted", aborted, "durationMs", time.Since(start).Milliseconds())
	if aborted > 0 {
		return errors.Trace(&AbortedError{name: srv.name, requests: aborted})
	}
	return nil
}

// waitFor waits until ended is closed, but at most for the given time.
func waitFor(ended <-chan struct{}, most time.Duration) {
	tim := time.NewTimer(most)
	defer tim.Stop()
	select {
	case <-ended:
	case <-tim.C:
	}
}
