package node

import (
	"context"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/io/admin"
	"guavarail/io/httpd"
	"guavarail/io/limit"
)

// apiShutdownTimeout bounds the wait for calls in progress at shutdown.
const apiShutdownTimeout = 2 * time.Second

// startHTTP serves the API on addr. The clean-up function waits for calls in
// progress and then closes the remaining connections.
func startHTTP(addr string, han http.Handler, budget *limit.Budget, log hclog.Logger) (func(), error) {
	bnd := httpd.NewBounds(buffer.Control, budget)
	bnd.SetLimits(httpd.Limits{MaxBody: admin.MaxBodyBytes})
	stop, err := httpd.StartBounded("api", addr, han, bnd, log)
	if err != nil {
		return nil, errors.Trace(&ListenError{listener: "api", cause: err})
	}
	return func() {
		ctx, cancel := context.WithTimeout(context.Background(), apiShutdownTimeout)
		defer cancel()
		if err := stop(ctx); err != nil {
			log.Warn("API server stopped before its requests were complete", "error", err)
		}
	}, nil
}
