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
	// apiHeaderTime bounds the reading of request headers.
	apiHeaderTime = 5 * time.Second
	// apiTime bounds a call; a poll of a worker takes at most 3 s.
	apiTime = 30 * time.Second
	// apiStop bounds the wait for calls under way at the stop.
	apiStop = 2 * time.Second
)

// startHTTP serves the API. The clean-up function waits for calls under way.
func startHTTP(addr string, han http.Handler, log hclog.Logger) (func(), error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Trace(&ListenError{what: "api", cause: err})
	}
	srv := &http.Server{
		Handler: han, ReadHeaderTimeout: apiHeaderTime, ReadTimeout: apiTime, WriteTimeout: apiTime,
		ErrorLog: log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(lis); err != http.ErrServerClosed {
			log.Error("api server ended", "error", err)
		}
	}()
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), apiStop)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
		<-done
	}, nil
}
