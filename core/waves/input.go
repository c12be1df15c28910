package waves

import (
	"guavarail/core/model"
)

// MachineState is the state of a machine according to the platform.
type MachineState uint8

// The states of a machine.
const (
	// Down means that the machine is not in service, for another cause than maintenance.
	Down MachineState = iota
	Up
	Moving
	Maintained
)

// Listed is one machine in the platform's list.
type Listed struct {
	ID     MachineID
	State  MachineState
	Worker model.WorkerID
}

// Load is what the planner has to know of a worker before its machine may go down.
type Load struct {
	// Runs counts the runs that may be on the worker.
	Runs int
	// Bounded counts those of steps of which only so many tasks may be away.
	Bounded int
	// Stuck is set if a run on the worker may never be stopped.
	Stuck bool
	// Blocked is set if a run on the worker may not be stopped now.
	Blocked bool
}

// Fleet tells what runs on the workers.
type Fleet interface {
	Load(id model.WorkerID) Load
}

// Input is an input of Planner.Step.
type Input interface{ input() }

// Began starts the term of a leader.
type Began struct{ Term uint64 }

// Tick is sent every TickInterval while this VM leads under its lease. Fleet is used during the
// step only.
type Tick struct {
	WallMs int64
	Fleet  Fleet
}

// Page is the end of a Read of the term.
type Page struct {
	Term     uint64
	Machines []Listed
	// Next is the token of the next page, empty for none.
	Next string
	// Failed is set if the page was not read.
	Failed bool
}

// Outcome is the outcome of an order.
type Outcome uint8

// The outcomes of an order.
const (
	// Unknown means that the order may have been carried out.
	Unknown Outcome = iota
	// Done means that the maintenance has begun.
	Done
	// Refused means that the order was not carried out.
	Refused
	// Limited means that the order was not carried out, because there were too many calls.
	Limited
)

// Answered is the end of an Order of the term.
type Answered struct {
	Term    uint64
	Wave    Number
	Machine MachineID
	Outcome Outcome
}

// ProposalEnded is the end of a Propose of the term, whether it was applied or not.
type ProposalEnded struct{ Term uint64 }

func (Began) input()         {}
func (Tick) input()          {}
func (Page) input()          {}
func (Answered) input()      {}
func (ProposalEnded) input() {}

// Effect is an effect of Planner.Step.
type Effect interface{ effect() }

// Read asks for one page of the platform's list. Token is empty for the first.
type Read struct {
	Term  uint64
	Token string
}

// Order asks the platform to begin the maintenance of a machine. Term is the fencing token.
type Order struct {
	Term    uint64
	Wave    Number
	Machine MachineID
}

// Propose proposes operations for the log.
type Propose struct {
	Term uint64
	Ops  []Op
}

// Drained is a worker that is drained.
type Drained struct {
	Worker model.WorkerID
	// Late is set if the time no longer suffices to wait for the end of its runs.
	Late bool
}

// Drain replaces the set of workers that are drained. They are ordered by name.
type Drain struct{ Workers []Drained }

func (Read) effect()    {}
func (Order) effect()   {}
func (Propose) effect() {}
func (Drain) effect()   {}

// RecordEvent adds an event about a machine of a wave to the timeline.
type RecordEvent struct {
	Kind    string
	Wave    Number
	Machine MachineID
	// Reason is empty if the kind needs none.
	Reason string
}

func (RecordEvent) effect() {}
