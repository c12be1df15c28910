// Package httpd runs HTTP servers whose end their owner can wait for.
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
	// headerTime bounds the reading of request headers, idleTime the wait for
	// the next request on a connection.
	headerTime = 3 * time.Second
	idleTime   = 60 * time.Second
	// bodyTime bounds the reading of a request and the writing of its answer.
	bodyTime = 15 * time.Second
)

// ListenError reports that an address could not be listened on.
type ListenError struct {
	what  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string {
	return "listen for " + err.what + ": " + err.cause.Error() + "; check the address in the settings"
}

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }

// Start serves an address. The returned function takes no more connections,
// lets the requests in flight finish while its context lasts, and returns once
// the server has ended; the error says that requests were aborted.
func Start(what, address string, han http.Handler, log hclog.Logger) (func(ctx context.Context) error, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Trace(&ListenError{what: what, cause: err})
	}
	srv := &http.Server{
		Handler: han, ReadHeaderTimeout: headerTime, ReadTimeout: bodyTime, WriteTimeout: bodyTime, IdleTimeout: idleTime,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	srv.BaseContext = func(net.Listener) context.Context { return ctx }
	done := make(chan struct{})
	go serve(ctx, srv, lis, what, log, done)
	return func(ctx context.Context) error {
		err := srv.Shutdown(ctx)
		cancel()
		_ = srv.Close()
		<-done
		return errors.Trace(err)
	}, nil
}

// serve runs the server until it is closed and then closes done.
func serve(ctx context.Context, srv *http.Server, lis net.Listener, what string, log hclog.Logger, done chan<- struct{}) {
	defer close(done)
	if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) && ctx.Err() == nil {
		log.Error("server ended", "what", what, "error", err)
	}
}
