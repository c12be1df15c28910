package cell

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"guavarail/io/meter"
)

// Counters and histograms of this process, at /debug/vars of the metrics
// address.
var (
	commitTime = meter.NewHistogram("cellCommitMs")
	planTime   = meter.NewHistogram("cellPlanMs")
	callTime   = meter.NewHistogram("cellCallMs")
	decisions  = meter.NewCounters("cellDecisions")
	calls      = meter.NewCounters("cellCalls")
)

// The outcomes of calls in counters.
const (
	callServed  = "served"
	callRefused = "notReached"
	callLost    = "replyLost"
)

// metricsHeaderTime bounds the reading of a request for metrics.
const metricsHeaderTime = 5 * time.Second

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

// serveVars serves counters and histograms if the settings have an address for
// them.
func serveVars(vm *VM) (func(), error) {
	adr := vm.set.Listen().Metrics()
	if !adr.IsValid() {
		return func() {}, nil
	}
	lis, err := net.Listen("tcp", adr.String())
	if err != nil {
		return func() {}, errors.Trace(&ListenError{what: "metrics", cause: err})
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: metricsHeaderTime}
	done := make(chan struct{})
	go func(_ context.Context) {
		defer close(done)
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			vm.log.Error("metrics server ended", "error", err)
		}
	}(context.Background())
	return func() {
		_ = srv.Close()
		<-done
	}, nil
}
