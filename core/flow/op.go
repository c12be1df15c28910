package flow

import "guavarail/core/model"

// Outcome says how a run ended.
type Outcome uint8

// The outcomes of a run.
const (
	// Succeeded: the task is complete.
	Succeeded Outcome = iota + 1
	// Failed: the run failed by its own fault or the worker's.
	Failed
	// Stopped: the worker ended the run on an order.
	Stopped
	// Lost: the worker or its lease ended, and the run with it.
	Lost
	// GangBroken: another member of the gang ended.
	GangBroken
	// GangIncomplete: the rest of the gang did not come.
	GangIncomplete
	// NotStarted: the order did not start anything.
	NotStarted
)

var outcomeNames = [...]string{"none", "succeeded", "failed", "stopped", "lost", "broken", "alone", "notStarted"}

// String returns the name for logs.
func (oc Outcome) String() string { return nameOf(outcomeNames[:], int(oc)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return "unknown"
}

// OpKind says what an operation does.
type OpKind uint8

// The kinds of operations.
const (
	OpSubmit OpKind = iota + 1
	OpCancel
	OpStart
	OpEnd
	// OpForget drops jobs that ended long ago.
	OpForget
)

// Op is one operation on the state.
type Op struct {
	kind        OpKind
	job         Job
	id          model.JobID
	task        TaskID
	attempt     int
	incarnation Incarnation
	outcome     Outcome
	checkpoint  string
}

// Submit adds a job.
func Submit(jo Job) Op { return Op{kind: OpSubmit, job: jo, id: jo.ID()} }

// Cancel ends a job.
func Cancel(id model.JobID) Op { return Op{kind: OpCancel, id: id} }

// Forget drops a job that has ended.
func Forget(id model.JobID) Op { return Op{kind: OpForget, id: id} }

// Start records the next run of a task before the worker is told.
func Start(task TaskID, attempt int, inc Incarnation) Op {
	return Op{kind: OpStart, id: task.job, task: task, attempt: attempt, incarnation: inc}
}

// End records the end of a run with the newest checkpoint that is known.
func End(task TaskID, attempt int, oc Outcome, checkpoint string) Op {
	return Op{kind: OpEnd, id: task.job, task: task, attempt: attempt, outcome: oc, checkpoint: checkpoint}
}

// Kind says what the operation does.
func (op Op) Kind() OpKind { return op.kind }

// Job returns the job of a Submit.
func (op Op) Job() Job { return op.job }

// ID returns the job that the operation is about.
func (op Op) ID() model.JobID { return op.id }

// Task returns the task of a Start or End.
func (op Op) Task() TaskID { return op.task }

// Attempt returns the number of the run, from 1.
func (op Op) Attempt() int { return op.attempt }

// Incarnation returns the worker of a Start.
func (op Op) Incarnation() Incarnation { return op.incarnation }

// Outcome returns how the run of an End ended.
func (op Op) Outcome() Outcome { return op.outcome }

// Checkpoint returns the checkpoint of an End.
func (op Op) Checkpoint() string { return op.checkpoint }

// Verdict says whether an operation took effect.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota
	// Repeated: the operation took effect before; nothing changed.
	Repeated
	// UnknownJob: no such job is known.
	UnknownJob
	// Stale: the operation names another run or state than the task has.
	Stale
	// Closed: the job takes no more runs.
	Closed
)

var verdictNames = [...]string{"accepted", "repeated", "unknownJob", "stale", "closed"}

// String returns the name for logs.
func (ve Verdict) String() string { return nameOf(verdictNames[:], int(ve)) }
