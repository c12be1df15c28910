package flow

import (
	"time"

	"guavarail/core/model"
)

// TickEvery is how often the owner steps a Planner with a Tick.
const TickEvery = 20 * time.Millisecond

// Input is what a Planner is stepped with.
type Input interface{ input() }

// Tick passes the time.
type Tick struct {
	// LeadUntil is the end of the leader lease; it lies in the past when this
	// VM does not lead.
	LeadUntil model.Instant
	// Wall is the time of day in milliseconds since 1970.
	Wall int64
}

// TookOver reports that this VM leads the cell from now on.
type TookOver struct {
	// Term rises with each leader; workers obey the highest that they saw.
	Term uint64
	// LeadUntil and Wall are as in Tick.
	LeadUntil model.Instant
	Wall      int64
}

// SteppedDown reports that this VM no longer leads the cell.
type SteppedDown struct{}

// Applied reports an operation that the group applied.
type Applied struct {
	Op      Op
	Verdict Verdict
}

// Settled reports that the proposal under way was applied, or that its outcome
// is not known.
type Settled struct {
	// Term is that of the Propose. The proposal of an earlier term may settle
	// after the next one was made.
	Term    uint64
	Applied bool
}

// Leave reports that a worker ends in an orderly way.
type Leave struct{ Worker model.WorkerID }

// Outage sets the data centres in which nothing may start.
type Outage struct{ Centres map[model.CentreID]bool }

// Heartbeat is the report of a worker about itself and all that it runs.
type Heartbeat struct {
	// PollID identifies the report for its answer.
	PollID      uint64
	Incarnation Incarnation
	// Sequence rises with each report of a life.
	Sequence uint64
	Service  model.ServiceID
	Centre   model.CentreID
	Address  string
	Size     model.Resources
	// Labels are what steps may require; Rack is one of them.
	Labels   []string
	Rack     string
	Draining bool
	// Remaining is how long a draining worker runs on at least.
	Remaining time.Duration
	// WarmUp is how much longer the worker is slow after its start.
	WarmUp time.Duration
	Runs   []RunReport
	Ended  []EndReport
}

// RunReport is one run that a worker has.
type RunReport struct {
	Task       TaskID
	Attempt    int
	Checkpoint string
	// Percent is the share of its work that is done; for a lasting task 100
	// says that it serves.
	Percent int
	// Reading is about the last half second: the tail latency of its callers in
	// milliseconds for a serving task, and the thousandths of a processor in
	// use for any other.
	Reading float64
}

// EndReport is one run that ended on a worker. It is repeated until Number
// was acknowledged.
type EndReport struct {
	Number     uint64
	Task       TaskID
	Attempt    int
	Outcome    Outcome
	Checkpoint string
}

func (Tick) input()        {}
func (TookOver) input()    {}
func (SteppedDown) input() {}
func (Applied) input()     {}
func (Settled) input()     {}
func (Leave) input()       {}
func (Outage) input()      {}
func (Heartbeat) input()   {}

// Effect is what a Planner asks its owner to do.
type Effect interface{ effect() }

// Propose asks to propose operations in the group, in one entry.
type Propose struct {
	Ops []Op
	// Term is the one in which the operations were decided.
	Term uint64
}

// Answer completes the report of a worker.
type Answer struct {
	PollID uint64
	// Refused says that this VM does not lead; nothing else is set then.
	Refused bool
	// Term and Hold renew the lease of everything that the worker runs. Hold
	// counts from the sending of the report.
	Term          uint64
	LeaseDuration time.Duration
	// Acknowledged is the last number of an end that need not be repeated.
	Acknowledged uint64
	Starts       []StartOrder
	Stops        []StopOrder
	Paces        []PaceOrder
	// HeartbeatDelay is when the worker should report at the latest.
	HeartbeatDelay time.Duration
}

// StartOrder tells a worker to start a run.
type StartOrder struct {
	Task       TaskID
	Attempt    int
	Body       string
	Checkpoint string
}

// StopOrder tells a worker to stop a run.
type StopOrder struct {
	Task    TaskID
	Attempt int
}

// PaceOrder limits the share of its speed at which a run works.
type PaceOrder struct {
	Task    TaskID
	Attempt int
	Percent int
}

// Note reports a decision for the log.
type Note struct {
	Kind   string
	Job    model.JobID
	Task   string
	Worker string
	Fields []Field
}

// Field is one named value of a Note.
type Field struct{ Key, Value string }

func (Propose) effect() {}
func (Answer) effect()  {}
func (Note) effect()    {}
