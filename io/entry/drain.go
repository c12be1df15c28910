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
	// acceptFor gives the platform's load balancer time to notice that the VM
	// is not ready.
	acceptFor = time.Second
	// drainFor keeps the exit within 35 s of the start of the drain.
	drainFor = 33 * time.Second
)

// Drain is the planned shutdown: it reports not ready, takes new connections
// for 1 s more and returns when all requests in flight are complete. Requests
// that do not end within the bound, or before ctx ends, are aborted visibly and
// reported as a DrainError. It is called once.
func (srv *Server) Drain(ctx context.Context) error {
	close(srv.draining)
	ctx, cancel := context.WithTimeout(ctx, drainFor)
	defer cancel()
	srv.cfg.Log.Info("entry drain started")
	select {
	case <-time.After(acceptFor):
	case <-ctx.Done():
	}
	err := srv.http.Shutdown(ctx)
	srv.ref.Send(route.Stop{})
	if err == nil {
		err = srv.tasks.wait(ctx)
	}
	if err == nil {
		srv.cfg.Log.Info("entry drain complete")
		return nil
	}
	num, _ := host.Read(srv.ref, time.Second, func(_ model.Instant, mac *machine) int { return mac.SlotsInUse() })
	srv.tasks.abort()
	_ = srv.http.Close()
	srv.cfg.Log.Error("entry drain bound reached, requests aborted", "requests", num)
	return errors.Trace(&DrainError{aborted: int64(num)})
}
