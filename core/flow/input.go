package flow

import (
	"time"

	"guavarail/core/model"
)

// TickInterval is the interval at which the owner steps a Planner with Tick.
const TickInterval = 20 * time.Millisecond

// Input is an event that a Planner handles.
type Input interface{ input() }

// Tick reports the passing of time.
type Tick struct {
	// LeaseUntil is the end of the leader lease; it lies in the past if this VM
	// does not hold it.
	LeaseUntil model.Instant
	// Wall is the wall clock in milliseconds since 1970.
	Wall int64
	// Posted is a time before which no heartbeat arrived that still waits to be
	// handled; 0 means now.
	Posted model.Instant
	// Waiting is the number of heartbeats that wait to be handled.
	Waiting int
}

// BecameLeader reports that this VM has become the leader of the cell.
type BecameLeader struct {
	// Term increases with each leader. Workers use it as a fencing token: they
	// ignore orders with a lower term than the highest they have seen.
	Term uint64
	// PreviousTerm is the last term, before Term, whose leader may have held the
	// leader lease, 0 if it is unknown.
	PreviousTerm uint64
	// FormerLeaseEnd is when the leader leases of earlier terms had ended, 0 if it is
	// unknown. Nobody has granted a worker a lease from then until now.
	FormerLeaseEnd model.Instant
	// LeaseUntil and Wall are as in Tick.
	LeaseUntil model.Instant
	Wall       int64
}

// SteppedDown reports that this VM is no longer the leader of the cell.
type SteppedDown struct{}

// Applied reports an operation that the replica has applied to State.
type Applied struct {
	Op      Op
	Verdict Verdict
}

// ProposalEnded reports that the owner no longer waits for the result of a
// Propose effect.
type ProposalEnded struct {
	// Term is the term of the Propose effect. The proposal of an earlier term
	// may end after the next one was made.
	Term uint64
	// Applied is false if the outcome is unknown: the operations may have been
	// dropped, or may be applied later, which Applied inputs then report.
	Applied bool
	// Dropped are the operations that the log cannot hold. They will not be applied.
	Dropped []Op
}

// Leave announces that an incarnation of a worker, which was draining, is about to exit. The
// worker goes on until the planner emits the LeaveAnswer, or for some seconds without that, so
// that its runs have not ended yet.
type Leave struct {
	// LeaveID identifies the announcement in its LeaveAnswer.
	LeaveID uint64
	Worker  model.WorkerID
	// StartedAt is the start time of the incarnation on the worker's clock, in
	// milliseconds since 1970; 0 if it is unknown.
	StartedAt int64
}

// Outage replaces the set of data centres in which no task may start.
type Outage struct{ Centres map[model.CentreID]bool }

// Services replaces the set of services to which workers may belong. Before the first one,
// and with an empty set, they may belong to any.
type Services struct{ Names map[model.ServiceID]bool }

// Heartbeat is what a worker reports about itself and about all of its runs. The
// worker's call waits until the planner emits the Answer.
type Heartbeat struct {
	// HeartbeatID identifies the heartbeat in its Answer.
	HeartbeatID uint64
	// Arrived is when the owner received the heartbeat; 0 means now.
	Arrived model.Instant
	// ReadUntil is a time before which no heartbeat arrived that still waits to be
	// handled; 0 means Arrived.
	ReadUntil model.Instant
	// Waiting is the number of further heartbeats that wait to be handled.
	Waiting     int
	Incarnation Incarnation
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// Clock is the worker's steady clock when it sent the heartbeat, 0 if unknown.
	// It begins anew with each incarnation.
	Clock   time.Duration
	Service model.ServiceID
	Centre  model.CentreID
	// Address is the network address of the worker. A new incarnation replaces
	// workers of other names that had the address and started earlier.
	Address string
	// Version is the version of the worker's program. The planner does not use it.
	Version string
	// Size is the total of the worker's resources.
	Size model.Resources
	// Labels are compared with StepSpec.RequiredLabel. Rack is compared with
	// StepSpec.DataRack; it is also one of Labels.
	Labels []string
	Rack   string
	// Draining is set if the worker is about to exit and takes no more tasks.
	Draining bool
	// Remaining is for how much longer, at least, a draining worker goes on
	// running. What would not end by then is stopped before.
	Remaining time.Duration
	// WarmUp is for how much longer the worker is slow after its start. The
	// planner does not use it.
	WarmUp time.Duration
	// Runs lists the runs that the worker has now, and Ended those that have
	// ended and are not acknowledged yet.
	Runs  []RunReport
	Ended []EndReport
	// EndsTruncated is set if Ended may lack some of the later ends. A run in neither
	// list may then have ended.
	EndsTruncated bool
}

// RunReport is one run that a worker has now.
type RunReport struct {
	Task    TaskID
	Attempt int
	// Checkpoint is the latest checkpoint in a format of the task's own, "" if
	// there is none.
	Checkpoint string
	// Percent is the percentage of the run's work that is done; for a
	// long-running task, 100 means that it is serving.
	Percent int
	// Reading covers the last half second, 0 without a measurement. It is the
	// tail latency of its callers in milliseconds for a serving task, at the
	// percentile to which StepSpec.TailTarget refers (the planner depends on no
	// particular one), and the processors in use in thousandths of a processor
	// for any other.
	Reading float64
}

// EndReport is one run that has ended on a worker. The worker repeats it until
// Number is acknowledged.
type EndReport struct {
	// Number increases with each run that ends in an incarnation; 0 is not
	// used.
	Number  uint64
	Task    TaskID
	Attempt int
	Outcome Outcome
	// Checkpoint is as in RunReport; "" stands for the latest one that the
	// leader has for the run.
	Checkpoint string
}

func (Tick) input()          {}
func (BecameLeader) input()  {}
func (SteppedDown) input()   {}
func (Applied) input()       {}
func (ProposalEnded) input() {}
func (Leave) input()         {}
func (Outage) input()        {}
func (Services) input()      {}
func (Heartbeat) input()     {}

// Effect is what a Planner asks its owner to carry out.
type Effect interface{ effect() }

// Propose orders the owner to propose the operations to the replication group,
// in one log entry, and to step ProposalEnded afterwards.
type Propose struct {
	Ops []Op
	// Term is the term in which the operations were decided.
	Term uint64
}

// Answer is the reply to a heartbeat.
type Answer struct {
	HeartbeatID uint64
	// Refused is set if this VM does not hold the leader lease; HeartbeatID is
	// then the only other field that is set.
	Refused bool
	// Term and LeaseDuration renew the lease of all runs of the worker. The
	// duration counts from when the worker sent the heartbeat; 0 renews
	// nothing.
	Term          uint64
	LeaseDuration time.Duration
	// Acknowledged is the EndReport.Number up to which the worker need not
	// repeat ends; 0 for none.
	Acknowledged uint64
	Starts       []StartOrder
	Stops        []StopOrder
	Paces        []PaceOrder
	// HeartbeatDelay is how long after the answer the worker sends its next
	// heartbeat, at the latest.
	HeartbeatDelay time.Duration
}

// LeaveAnswer is the reply to a Leave: the worker may exit.
type LeaveAnswer struct {
	LeaveID uint64
	// Refused is set if this VM no longer leads.
	Refused bool
}

// StartOrder orders a worker to start a run.
type StartOrder struct {
	Task    TaskID
	Attempt int
	// Body is JobSpec.Body.
	Body string
	// Checkpoint is where the task resumes, "" for its beginning.
	Checkpoint string
}

// StopOrder orders a worker to stop a run.
type StopOrder struct {
	Task    TaskID
	Attempt int
}

// PaceOrder orders a worker to limit the speed of a run.
type PaceOrder struct {
	Task    TaskID
	Attempt int
	// Percent is the percentage of full speed: 0 suspends the run, 100 lifts
	// the limit.
	Percent int
}

// RecordEvent adds an event to the timeline. Task is a TaskID and Worker an
// Incarnation as text; Job, Task and Worker are empty if the event does not
// concern one.
type RecordEvent struct {
	Kind   string
	Job    model.JobID
	Task   string
	Worker string
	Fields []Field
}

// Field is one named value of a RecordEvent.
type Field struct{ Key, Value string }

func (Propose) effect()     {}
func (Answer) effect()      {}
func (LeaveAnswer) effect() {}
func (RecordEvent) effect() {}
