// Package trace replays workloads of one data centre against the real scheduler
// state machine with simulated workers and simulated time, and compares the outcome
// with the expected one. A workload is a list of events, such as jobs that are
// submitted and workers that fail, each at a time since the start.
package trace

import (
	"strconv"
	"time"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// Kind is the kind of an event in a trace.
type Kind string

// The kinds of events.
const (
	// AddWorkers adds Count workers in racks of eight.
	AddWorkers Kind = "workers"
	// Submit submits a job.
	Submit Kind = "submit"
	// Cancel cancels Jobs in one command.
	Cancel Kind = "cancel"
	// WorkerDown crashes workers, which lose their runs, and WorkerUp restarts
	// them. From WorkerBad to WorkerGood, workers fail every task that they run.
	WorkerDown Kind = "workerDown"
	WorkerUp   Kind = "workerUp"
	WorkerBad  Kind = "workerBad"
	WorkerGood Kind = "workerGood"
	// CentreOut takes the data centre out of service and CentreIn returns it to
	// service.
	CentreOut Kind = "centreOut"
	CentreIn  Kind = "centreIn"
	// PlaceService places a latency-critical service on workers, SetLoad sets the
	// load of the service on all of them.
	PlaceService Kind = "serve"
	SetLoad      Kind = "load"
	// LeaderChange replaces the leader by a new one, which has no lease for
	// leaderlessTime (2 s) and so cannot act.
	LeaderChange Kind = "leaderChange"
)

// Known reports whether ki is a kind of event.
func (ki Kind) Known() bool {
	switch ki {
	case AddWorkers, Submit, Cancel, WorkerDown, WorkerUp, WorkerBad, WorkerGood, CentreOut, CentreIn, PlaceService, SetLoad, LeaderChange:
		return true
	}
	return false
}

// Behaviour is the actual behaviour of the tasks of a job, which may differ from
// what the job declares.
type Behaviour struct {
	// RunTime is the time that one task runs if it is not throttled.
	RunTime time.Duration
	// Usage is the actual resource usage of one task; zero means the declared size.
	Usage model.Resources
	// Slowdown is the relative increase of tail latency that one task causes for
	// each service on its worker at full load; 0.1 is 10 percent.
	Slowdown float64
	// AlwaysFails makes every attempt fail.
	AlwaysFails bool
}

// EventSpec is the input of NewEvent. Only the fields of its kind are used.
type EventSpec struct {
	// At is the time since the start of the trace.
	At   time.Duration
	Kind Kind
	// Count and Size are the number and the size of the workers of AddWorkers.
	Count int
	Size  model.Resources
	// Job is the submitted job, and Behaviour that of its tasks.
	Job       sched.Job
	Behaviour Behaviour
	// Jobs are the jobs to cancel.
	Jobs []model.JobID
	// Workers and Rack select workers: the named ones and those of the rack. The names
	// are worker-0, worker-1 and so on in the order of addition.
	Workers []model.WorkerID
	Rack    string
	// Service is the service of PlaceService and SetLoad.
	Service model.ServiceID
	// BaseTail is the tail latency of the service without load and batch tasks.
	BaseTail time.Duration
	// Load is the load of the service; 1 is full load.
	Load float64
}

// Event is one event of a trace.
type Event struct {
	spec EventSpec
}

// NewEvent returns an event.
func NewEvent(spec EventSpec) Event { return Event{spec: spec} }

// At returns the time of the event since the start of the trace.
func (ev Event) At() time.Duration { return ev.spec.At }

// Expected is the expected outcome of a trace. Negative numbers are not checked, nor
// is a MaxTail of -1 ms or less.
type Expected struct {
	// Finished, Failed and Cancelled count tasks.
	Finished, Failed, Cancelled int
	// MaxEvictions and MaxAttempts limit the numbers of evictions and attempts.
	MaxEvictions, MaxAttempts int
	// MaxTail limits Outcome.Tail.
	MaxTail time.Duration
	// Reasons has the reason that each job must have at the end of the trace, by
	// its name in the API; other jobs are not checked.
	Reasons map[model.JobID]string
}

// Trace is a workload with its expected outcome.
type Trace struct {
	name   string
	preset model.Preset
	// duration is the time from the start to the end of the trace.
	duration time.Duration
	// events are in time order.
	events   []Event
	expected Expected
}

// New returns a trace that runs for duration. Events must be in time order.
func New(name string, pre model.Preset, duration time.Duration, evs []Event, ex Expected) Trace {
	return Trace{name: name, preset: pre, duration: duration, events: evs, expected: ex}
}

// WithoutGuards returns the trace with the tail latency guards of its preset turned
// off: the scheduler then does not throttle or evict batch tasks to protect the tail
// latency of services. The difference between both outcomes is the effect of the
// guards.
func (tr Trace) WithoutGuards() (Trace, error) {
	spec := tr.preset.Spec()
	spec.GuardsOff = true
	pre, err := model.NewPreset(spec)
	tr.preset = pre
	return tr, err
}

// Name returns the name of the trace.
func (tr Trace) Name() string { return tr.name }

// Expected returns the expected outcome.
func (tr Trace) Expected() Expected { return tr.expected }

// Outcome is the outcome of running a trace; the end of a single attempt is a
// sched.Outcome.
type Outcome struct {
	finished, failed, cancelled, unfinished int
	evictions, attempts                     int
	tailP99                                 time.Duration
	batchWork, lastFinish                   time.Duration
	overTarget, tailReports                 int
	reasons                                 map[model.JobID]string
	violations                              []string
}

// Finished returns the number of tasks that finished.
func (ou Outcome) Finished() int { return ou.finished }

// Failed returns the number of tasks that failed.
func (ou Outcome) Failed() int { return ou.failed }

// Cancelled returns the number of tasks that were cancelled.
func (ou Outcome) Cancelled() int { return ou.cancelled }

// Unfinished returns the number of tasks that had not ended when the trace ended.
func (ou Outcome) Unfinished() int { return ou.unfinished }

// Evictions returns the number of evictions.
func (ou Outcome) Evictions() int { return ou.evictions }

// Attempts returns the number of attempts that the scheduler recorded as started.
func (ou Outcome) Attempts() int { return ou.attempts }

// Tail returns the 99th percentile of all reported tail latencies, each that of one
// service on one worker in one second; 0 if there are none.
func (ou Outcome) Tail() time.Duration { return ou.tailP99 }

// OverTarget returns the number of reports with a tail latency above the target of
// the service, and the number of all reports of tail latencies.
func (ou Outcome) OverTarget() (over, reports int) { return ou.overTarget, ou.tailReports }

// BatchWork returns the work of batch tasks that was not lost, as run time without
// throttling: that of finished tasks and that in the latest checkpoints of the others.
func (ou Outcome) BatchWork() time.Duration { return ou.batchWork }

// LastFinish returns the time since the start of the trace at which the last task
// succeeded; 0 if none did.
func (ou Outcome) LastFinish() time.Duration { return ou.lastFinish }

// Violations describes each violation of an invariant, starting with its number as in
// the package comment of core/sched: P1, P2 or P4.
func (ou Outcome) Violations() []string { return append([]string(nil), ou.violations...) }

// Differences describes each difference from the expected outcome, violated
// invariants included.
func (ex Expected) Differences(ou Outcome) []string {
	out := ou.Violations()
	same := func(what string, got, want int) {
		if want >= 0 && got != want {
			out = append(out, what+" "+strconv.Itoa(got)+", expected "+strconv.Itoa(want))
		}
	}
	atMost := func(what string, got, bound int) {
		if bound >= 0 && got > bound {
			out = append(out, what+" "+strconv.Itoa(got)+", expected at most "+strconv.Itoa(bound))
		}
	}
	same("finished", ou.finished, ex.Finished)
	same("failed", ou.failed, ex.Failed)
	same("cancelled", ou.cancelled, ex.Cancelled)
	atMost("evictions", ou.evictions, ex.MaxEvictions)
	atMost("attempts", ou.attempts, ex.MaxAttempts)
	atMost("tailMs", int(ou.tailP99.Milliseconds()), int(ex.MaxTail.Milliseconds()))
	for id, why := range ex.Reasons {
		if ou.reasons[id] != why {
			out = append(out, "job "+string(id)+" ended because of "+ou.reasons[id]+", expected "+why)
		}
	}
	return out
}
