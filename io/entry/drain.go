package entry

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/core/route"
	"guavarail/io/host"
)

const (
	// notReadyDelay is the time for which connections are still accepted after
	// the VM reported that it is not ready. Meanwhile the load balancer of the
	// callers notices it.
	notReadyDelay = time.Second
	// drainTimeout bounds Drain so that the process exits within 35 s after the
	// shutdown has started.
	drainTimeout = 33 * time.Second
)

// Drain performs a planned shutdown: it reports not ready, accepts new
// connections for 1 s (notReadyDelay) more and returns when all requests in flight
// are complete. Requests that do not end within drainTimeout, or before ctx ends,
// are aborted: their callers see the connection end, and Drain returns a
// *DrainError. It may be called only once.
func (srv *Server) Drain(ctx context.Context) error {
	close(srv.draining)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	srv.cfg.Log.Info("entry drain started")
	select {
	case <-time.After(notReadyDelay):
	case <-ctx.Done():
	}
	err := srv.http.Shutdown(ctx)
	srv.ref.Send(route.Stop{})
	if err == nil {
		err = srv.goroutines.wait(ctx)
	}
	if err == nil {
		srv.cfg.Log.Info("entry drain complete")
		return nil
	}
	num, _ := host.Read(srv.ref, time.Second, func(_ model.Instant, mac *machine) int { return mac.SlotsInUse() })
	srv.goroutines.abort()
	_ = srv.http.Close()
	srv.cfg.Log.Error("entry drain timed out; requests aborted", "requests", num)
	return errors.Trace(&DrainError{aborted: int64(num)})
}
