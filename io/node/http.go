package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
)

const (
	// apiHeaderTimeout bounds reading the headers of an API request.
	apiHeaderTimeout = 5 * time.Second
	// apiTimeout bounds reading an API request, and handling it and writing the
	// response. The poll of a worker takes at most 3 s (reportTimeout).
	apiTimeout = 30 * time.Second
	// apiShutdownTimeout bounds the wait for calls in progress at shutdown.
	apiShutdownTimeout = 2 * time.Second
)

// startHTTP serves the API on addr. The clean-up function waits for calls in
// progress and then closes the remaining connections.
func startHTTP(addr string, han http.Handler, log hclog.Logger) (func(), error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(&ListenError{listener: "api", cause: err})
	}
	srv := &http.Server{
		Handler: han, ReadHeaderTimeout: apiHeaderTimeout, ReadTimeout: apiTimeout, WriteTimeout: apiTimeout,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(lis); err != http.ErrServerClosed {
			log.Error("API server failed", "error", err)
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), apiShutdownTimeout)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
		<-done
	}, nil
}
