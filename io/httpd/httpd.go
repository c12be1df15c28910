// Package httpd starts HTTP servers and shuts them down gracefully, which means that
// running requests are completed.
package httpd

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

const (
	// headerTimeout bounds the reading of request headers, and idleTimeout the wait
	// for the next request on a connection.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// bodyTimeout bounds the reading of a request including its headers, and separately
	// the time from the end of its headers to the end of its response.
	bodyTimeout = 15 * time.Second
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

// Start listens on an address and serves it; its error is a *ListenError. The name says
// in errors and log lines what the server is for. The returned function shuts the server
// down: it closes the listener, waits for the running requests until the context passed
// to it ends, aborts the remaining ones and returns once the server has ended. Its error
// reports that requests were aborted.
func Start(name, address string, han http.Handler, log hclog.Logger) (func(ctx context.Context) error, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(&ListenError{name: name, cause: err})
	}
	srv := &http.Server{
		Handler: han, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, WriteTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	done := make(chan struct{})
	go serve(ctx, srv, lis, name, log, done)
	return func(ctx context.Context) error {
		err := srv.Shutdown(ctx)
		cancel()
		_ = srv.Close()
		<-done
		return errors.Trace(err)
	}, nil
}

// serve runs the server until it is closed, and then closes done.
func serve(ctx context.Context, srv *http.Server, lis net.Listener, name string, log hclog.Logger, done chan<- struct{}) {
	defer close(done)
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		log.Error("HTTP server failed", "what", name, "error", err)
	}
}
