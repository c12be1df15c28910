package sched

import (
	"time"

	"guavarail/core/model"
)

// Input is an event that Planner.Step handles.
type Input interface{ input() }

// TickSpec holds the fields of a Tick.
type TickSpec struct {
	// LeaseUntil is the end of the leader lease; in the past when this VM is
	// not the leader.
	LeaseUntil model.Instant
	// StartUntil is the end of the permit to start tasks.
	StartUntil model.Instant
	// Out is set while the data centre is out of service by an operator's
	// command.
	Out bool
	// Admission is the percentage of the data centre's CPU capacity that may
	// be committed while it returns to service; 0 means 100.
	Admission int
	// QuotaPercent is the percentage of the fleet-wide quotas that applies in
	// this data centre; 0 means 100.
	QuotaPercent int
	// Preset is the active preset.
	Preset model.Preset
}

// Tick advances the time and sets the limits up to which this VM may act.
type Tick struct {
	spec TickSpec
}

// NewTick returns a tick.
func NewTick(spec TickSpec) Tick { return Tick{spec: spec} }

// Applied reports that the group applied a command.
type Applied struct {
	cmd Command
	res Result
}

// NewApplied returns the input for an applied command.
func NewApplied(cmd Command, res Result) Applied { return Applied{cmd: cmd, res: res} }

// ProposalDropped reports that the proposal in flight failed and will never be
// applied.
type ProposalDropped struct{}

// BecameLeader reports that this VM became the leader and has applied every
// entry that was committed before.
type BecameLeader struct{}

// SteppedDown reports that this VM is no longer the leader. It must precede a
// restore of the state from a snapshot.
type SteppedDown struct{}

// AttemptState is the state of an attempt as reported by its worker.
type AttemptState uint8

// The states that workers report.
const (
	// AttemptRunning includes an attempt that is being stopped.
	AttemptRunning AttemptState = iota
	AttemptSucceeded
	// AttemptErrored: the attempt ended with an error.
	AttemptErrored
	// AttemptStopped: the worker stopped the attempt, by an order or because
	// its lease expired.
	AttemptStopped
	// AttemptRejected: the start order arrived too late, see Order.IssuedAfter,
	// or the worker has already got an order for this or a later attempt.
	AttemptRejected
)

// outcome returns the outcome that the state stands for; false while the
// attempt runs.
func (as AttemptState) outcome() (Outcome, bool) {
	switch as {
	case AttemptSucceeded:
		return Succeeded, true
	case AttemptErrored:
		return Errored, true
	case AttemptStopped:
		return Stopped, true
	case AttemptRejected:
		return NotStarted, true
	case AttemptRunning:
	}
	return 0, false
}

// AttemptSpec holds the fields of an AttemptReport.
type AttemptSpec struct {
	Task    model.TaskID
	Attempt model.Attempt
	State   AttemptState
	// Usage is the measured usage, UsageAge its age when the report was sent.
	Usage    model.Resources
	UsageAge time.Duration
	// Throttled is set while the worker limits the attempt.
	Throttled bool
	// Checkpoint is the newest checkpoint that the attempt took; zero for
	// none.
	Checkpoint Checkpoint
	// ResumedFrom is the checkpoint at which the attempt started; zero for
	// none.
	ResumedFrom Checkpoint
}

// AttemptReport is a worker's report of one attempt.
type AttemptReport struct {
	spec AttemptSpec
}

// NewAttemptReport returns the report of one attempt.
func NewAttemptReport(spec AttemptSpec) AttemptReport { return AttemptReport{spec: spec} }

// ReportSpec holds the fields of a WorkerReport.
type ReportSpec struct {
	// Poll identifies the poll; the Answer that completes it has the same
	// value.
	Poll   uint64
	Worker model.WorkerID
	Rack   string
	// Size is the resources of the worker.
	Size model.Resources
	// Tag is the tag of the last answer that the worker received, 0 for none.
	Tag      uint64
	Attempts []AttemptReport
}

// WorkerReport is one poll of a worker with the state of its attempts.
type WorkerReport struct {
	spec ReportSpec
}

// NewWorkerReport returns the report of a worker.
func NewWorkerReport(spec ReportSpec) WorkerReport { return WorkerReport{spec: spec} }

// TailLatencySpec holds the fields of a TailLatency.
type TailLatencySpec struct {
	Worker  model.WorkerID
	Service model.ServiceID
	// Tail is the 99th percentile of the latency since the previous
	// measurement.
	Tail time.Duration
	// Load is the fraction of the service's request slots on the worker that
	// are in use, 0 to 1.
	Load float64
}

// TailLatency reports the tail latency of a service on a worker, as measured by
// the entry VMs.
type TailLatency struct {
	spec TailLatencySpec
}

// NewTailLatency returns the input for one measurement.
func NewTailLatency(spec TailLatencySpec) TailLatency { return TailLatency{spec: spec} }

func (SteppedDown) input()     {}
func (TailLatency) input()     {}
func (Tick) input()            {}
func (Applied) input()         {}
func (ProposalDropped) input() {}
func (BecameLeader) input()    {}
func (WorkerReport) input()    {}
