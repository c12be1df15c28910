package cell

import (
	"context"
	"expvar"
	"net/http"

	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/io/httpd"
	"guavarail/io/meter"
)

// Counters and histograms of this process, at /debug/vars of the metrics
// address.
var (
	// commitTime is the time from a proposal of the planner until its outcome is known
	// or the wait for it ends.
	commitTime = meter.NewHistogram("cellCommitMs")
	// planTime is the duration of the planner's steps.
	planTime = meter.NewHistogram("cellPlanMs")
	// callTime is the duration of calls that this VM routed.
	callTime = meter.NewHistogram("cellCallMs")
	// decisions counts the events that the planner records, by kind.
	decisions = meter.NewCounters("cellDecisions")
	// decisionReasons counts those of these events that have a reason, by kind and reason.
	decisionReasons = meter.NewCounters("cellDecisionReasons")
	// admissions counts the decisions about submitted jobs by reason, and admissionTime is
	// how long they took.
	admissions    = meter.NewCounters("cellAdmissions")
	admissionTime = meter.NewHistogram("cellAdmissionMs")
	// voters is the number of voters of the replication group, and commitCopies the
	// number of their disks that must have a command before it is acknowledged.
	voters       = expvar.NewInt("cellVoters")
	commitCopies = expvar.NewInt("cellCommitCopies")
	// queueLength is the number of inputs that wait for the group's actor, queueAge the
	// age of the oldest, and queueDropped the number of those that it did not handle.
	queueLength  = expvar.NewInt("cellQueueLength")
	queueAge     = expvar.NewInt("cellQueueAgeMs")
	queueDropped = expvar.NewInt("cellQueueDropped")
	// calls counts the calls that this VM routed by outcome.
	calls = meter.NewCounters("cellCalls")
	// rejectedKeys counts the calls whose key was missing or unknown, by reason.
	rejectedKeys = meter.NewCounters("cellRejectedKeys")
)

// Outcomes of calls, which are the names of counters.
const (
	callServed     = "served"
	callNotReached = "notReached"
	callReplyLost  = "replyLost"
	callInvalid    = "invalid"
	callExpired    = "expired"
)

// serveVars serves counters and histograms over HTTP if the settings have a
// metrics address. The returned function stops the server.
func serveVars(vm *VM) (func(), error) {
	adr := vm.settings.Listen().Metrics()
	if !adr.IsValid() {
		return func() {}, nil
	}
	mux := http.NewServeMux()
	mux.Handle("GET /debug/vars", expvar.Handler())
	stop, err := httpd.StartBounded("metrics", adr.String(), mux, httpd.NewBounds(buffer.Control, vm.budget), vm.log)
	if err != nil {
		return func() {}, errors.Trace(err)
	}
	return func() {
		// Metrics requests in flight are aborted.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = stop(ctx)
	}, nil
}
