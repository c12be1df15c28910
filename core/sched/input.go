package sched

import (
	"time"

	"guavarail/core/model"
)

// Input is what a planner is stepped with.
type Input interface{ input() }

// TickSpec is the input of NewTick.
type TickSpec struct {
	// LeadUntil is the end of the leader lease; in the past when this VM does
	// not lead.
	LeadUntil model.Instant
	// StartUntil is the end of the start permission.
	StartUntil model.Instant
	// Out says that operators took the data centre out.
	Out bool
	// Admission is the percentage of the data centre that may be in use while
	// it returns to service; 0 means 100.
	Admission int
	// QuotaPercent is this data centre's part of the fleet-wide quotas; 0
	// means 100.
	QuotaPercent int
	// Preset is the active preset.
	Preset model.Preset
}

// Tick passes the time and what this VM may do.
type Tick struct {
	spec TickSpec
}

// NewTick returns a tick.
func NewTick(spec TickSpec) Tick { return Tick{spec: spec} }

// Applied reports a command that the group applied.
type Applied struct {
	cmd Command
	res Result
}

// NewApplied returns the input for an applied command.
func NewApplied(cmd Command, res Result) Applied { return Applied{cmd: cmd, res: res} }

// Dropped reports that the last proposal failed and will not be applied.
type Dropped struct{}

// TookOver reports that this VM leads the group and has applied all that was
// committed before.
type TookOver struct{}

// SteppedDown reports that this VM no longer leads. It must come before the
// state is restored from a snapshot.
type SteppedDown struct{}

// AttemptState is what a worker says about an attempt.
type AttemptState uint8

// The states that workers report.
const (
	// AttemptRunning includes an attempt that is being stopped.
	AttemptRunning AttemptState = iota
	AttemptSucceeded
	AttemptBroke
	AttemptStopped
	// AttemptRejected: the start order came too late or names an attempt that
	// is not newer than one seen.
	AttemptRejected
)

// outcome returns the outcome of an attempt that has ended.
func (as AttemptState) outcome() (Outcome, bool) {
	switch as {
	case AttemptSucceeded:
		return Succeeded, true
	case AttemptBroke:
		return Broke, true
	case AttemptStopped:
		return Stopped, true
	case AttemptRejected:
		return NotStarted, true
	case AttemptRunning:
	}
	return 0, false
}

// AttemptSpec is the input of NewAttemptReport.
type AttemptSpec struct {
	Task    model.TaskID
	Attempt model.Attempt
	State   AttemptState
	// Usage was measured UsageAge before the report was sent.
	Usage    model.Resources
	UsageAge time.Duration
	// Throttled says that the attempt is limited.
	Throttled bool
	// Checkpoint is the newest checkpoint that the attempt took, if any.
	Checkpoint Checkpoint
	// Resumed is the checkpoint that the attempt resumed from, if any.
	Resumed Checkpoint
}

// AttemptReport is what a worker reports about one attempt.
type AttemptReport struct {
	spec AttemptSpec
}

// NewAttemptReport returns the report of one attempt.
func NewAttemptReport(spec AttemptSpec) AttemptReport { return AttemptReport{spec: spec} }

// ReportSpec is the input of NewWorkerReport.
type ReportSpec struct {
	// Poll identifies the poll that the answer completes.
	Poll   uint64
	Worker model.WorkerID
	Rack   string
	Size   model.Resources
	// Tag is the tag of the last answer that the worker received, 0 for none.
	Tag      uint64
	Attempts []AttemptReport
}

// WorkerReport is one poll of a worker.
type WorkerReport struct {
	spec ReportSpec
}

// NewWorkerReport returns the report of a worker.
func NewWorkerReport(spec ReportSpec) WorkerReport { return WorkerReport{spec: spec} }

// TailSpec is the input of NewTail.
type TailSpec struct {
	Worker  model.WorkerID
	Service model.ServiceID
	// Tail is the 99th percentile of the latency since the last reading.
	Tail time.Duration
	// Load is the part of the service's slots on the worker in use, 0 to 1.
	Load float64
}

// Tail reports the latency of a service on a worker, as entry VMs see it.
type Tail struct {
	spec TailSpec
}

// NewTail returns a reading of the tail latency.
func NewTail(spec TailSpec) Tail { return Tail{spec: spec} }

func (SteppedDown) input()  {}
func (Tail) input()         {}
func (Tick) input()         {}
func (Applied) input()      {}
func (Dropped) input()      {}
func (TookOver) input()     {}
func (WorkerReport) input() {}
