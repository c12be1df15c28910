// Package trace holds recorded inputs of a data centre and their expected
// outcomes, and runs them against the scheduler with simulated workers.
package trace

import (
	"strconv"
	"time"

	"guavarail/core/model"
	"guavarail/core/sched"
)

// Kind names an event of a trace.
type Kind string

// The kinds of events.
const (
	// Workers adds Count workers in racks of eight.
	Workers Kind = "workers"
	// Submit submits a job.
	Submit Kind = "submit"
	// Cancel cancels Jobs in one command.
	Cancel Kind = "cancel"
	// Down and Up end and restart workers, Bad and Good change whether they
	// fail every task.
	Down Kind = "workerDown"
	Up   Kind = "workerUp"
	Bad  Kind = "workerBad"
	Good Kind = "workerGood"
	// Out and In take the data centre out and back.
	Out Kind = "centreOut"
	In  Kind = "centreIn"
	// Serve places a service on workers, Load changes its load.
	Serve Kind = "serve"
	Load  Kind = "load"
	// Lead lets another VM lead.
	Lead Kind = "leaderChange"
)

// Known reports whether ki is a kind of event.
func (ki Kind) Known() bool {
	switch ki {
	case Workers, Submit, Cancel, Down, Up, Bad, Good, Out, In, Serve, Load, Lead:
		return true
	}
	return false
}

// Behaviour is what the tasks of a job really do, as opposed to what the job
// declares.
type Behaviour struct {
	// Run is the work of one task.
	Run time.Duration
	// Uses is the real usage; zero means the declared size.
	Uses model.Resources
	// Slows is the slowdown that one task adds to a service at full load.
	Slows float64
	// Fails makes every attempt fail.
	Fails bool
}

// EventSpec is the input of NewEvent. Only the fields of its kind are used.
type EventSpec struct {
	At        time.Duration
	Kind      Kind
	Count     int
	Size      model.Resources
	Job       sched.Job
	Behaviour Behaviour
	Jobs      []model.JobID
	// Workers and Rack choose workers.
	Workers []model.WorkerID
	Rack    string
	Service model.ServiceID
	// Tail is the latency of the service without load and batch tasks.
	Tail time.Duration
	Load float64
}

// Event is one input of a trace.
type Event struct {
	spec EventSpec
}

// NewEvent returns an event.
func NewEvent(spec EventSpec) Event { return Event{spec: spec} }

// At returns the time of the event from the start of the trace.
func (ev Event) At() time.Duration { return ev.spec.At }

// Expect is the expected outcome of a trace. Negative bounds are not checked.
type Expect struct {
	// Finished, Failed and Cancelled count tasks.
	Finished, Failed, Cancelled int
	// MaxEvictions and MaxAttempts bound the evictions and the attempts.
	MaxEvictions, MaxAttempts int
	// MaxTail bounds the 99th percentile of the tail latency.
	MaxTail time.Duration
	// Reasons names why jobs ended.
	Reasons map[model.JobID]string
}

// Trace is a recorded input with its expected outcome.
type Trace struct {
	name   string
	preset model.Preset
	until  time.Duration
	events []Event
	expect Expect
}

// New returns a trace that ends at until. Events must be in time order.
func New(name string, pre model.Preset, until time.Duration, evs []Event, ex Expect) Trace {
	return Trace{name: name, preset: pre, until: until, events: evs, expect: ex}
}

// WithoutGuards returns the trace with the guards on tail latency off, for
// comparisons.
func (tr Trace) WithoutGuards() (Trace, error) {
	spec := tr.preset.Spec()
	spec.GuardsOff = true
	pre, err := model.NewPreset(spec)
	tr.preset = pre
	return tr, err
}

// Name returns the name of the trace.
func (tr Trace) Name() string { return tr.name }

// Expect returns the expected outcome.
func (tr Trace) Expect() Expect { return tr.expect }

// Outcome is what a run of a trace led to.
type Outcome struct {
	finished, failed, cancelled, open int
	evictions, attempts               int
	tail                              time.Duration
	work, last                        time.Duration
	over, readings                    int
	reasons                           map[model.JobID]string
	violations                        []string
}

// Finished returns the number of tasks that finished.
func (ou Outcome) Finished() int { return ou.finished }

// Failed returns the number of tasks that failed.
func (ou Outcome) Failed() int { return ou.failed }

// Cancelled returns the number of tasks that were cancelled.
func (ou Outcome) Cancelled() int { return ou.cancelled }

// Open returns the number of tasks that had not ended.
func (ou Outcome) Open() int { return ou.open }

// Evictions returns the number of evictions.
func (ou Outcome) Evictions() int { return ou.evictions }

// Attempts returns the number of attempts that were recorded.
func (ou Outcome) Attempts() int { return ou.attempts }

// Tail returns the 99th percentile of the tail latency readings.
func (ou Outcome) Tail() time.Duration { return ou.tail }

// OverTarget returns the number of readings with a tail latency beyond the
// target of the service, and the number of all readings.
func (ou Outcome) OverTarget() (over, readings int) { return ou.over, ou.readings }

// Work returns the batch work that was done and not lost.
func (ou Outcome) Work() time.Duration { return ou.work }

// Last returns when the last task finished.
func (ou Outcome) Last() time.Duration { return ou.last }

// Violations names the invariants that were broken.
func (ou Outcome) Violations() []string { return append([]string(nil), ou.violations...) }

// Differences compares an outcome with what was expected.
func (ex Expect) Differences(ou Outcome) []string {
	out := ou.Violations()
	same := func(what string, got, want int) {
		if want >= 0 && got != want {
			out = append(out, what+" "+strconv.Itoa(got)+", expected "+strconv.Itoa(want))
		}
	}
	most := func(what string, got, bound int) {
		if bound >= 0 && got > bound {
			out = append(out, what+" "+strconv.Itoa(got)+", expected at most "+strconv.Itoa(bound))
		}
	}
	same("finished", ou.finished, ex.Finished)
	same("failed", ou.failed, ex.Failed)
	same("cancelled", ou.cancelled, ex.Cancelled)
	most("evictions", ou.evictions, ex.MaxEvictions)
	most("attempts", ou.attempts, ex.MaxAttempts)
	most("tailMs", int(ou.tail.Milliseconds()), int(ex.MaxTail.Milliseconds()))
	for id, why := range ex.Reasons {
		if ou.reasons[id] != why {
			out = append(out, "job "+string(id)+" ended because of "+ou.reasons[id]+", expected "+why)
		}
	}
	return out
}
