package cell

import (
	"context"
	"expvar"
	"net/http"

	"github.com/juju/errors"

	"guavarail/io/httpd"
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

// serveVars serves counters and histograms if the settings have an address for
// them.
func serveVars(vm *VM) (func(), error) {
	adr := vm.set.Listen().Metrics()
	if !adr.IsValid() {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	stop, err := httpd.Start("metrics", adr.String(), mux, vm.log)
	if err != nil {
		return func() {}, errors.Trace(err)
	}
	return func() {
		// Nobody waits for metrics of a VM that ends.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = stop(ctx)
	}, nil
}
