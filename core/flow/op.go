package flow

import (
	"time"

	"guavarail/core/model"
)

// Outcome is how a run ended. The zero value is not an outcome.
type Outcome uint8

// The outcomes of a run.
const (
	// Succeeded means that the task is complete.
	Succeeded Outcome = iota + 1
	// Failed means that the run failed, because of the task or of the worker.
	Failed
	// Stopped means that the worker carried out a stop order.
	Stopped
	// Lost means that the worker exited or the lease of its runs expired.
	Lost
	// GangBroken means that another member of the gang ended.
	GangBroken
	// GangIncomplete means that the other members of the gang did not start.
	GangIncomplete
	// NotStarted means that the worker got no start order or did not carry it
	// out. A run that an earlier leader ordered may have started, but its lease
	// has ended.
	NotStarted
)

var outcomeNames = [...]string{"none", "succeeded", "failed", "stopped", "lost", "broken", "alone", "notStarted"}

// String returns the name for logs and events, for example "alone" for
// GangIncomplete.
func (oc Outcome) String() string { return nameOf(outcomeNames[:], int(oc)) }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return "unknown"
}

// OpKind is what an operation does.
type OpKind uint8

// The kinds of operations.
const (
	OpSubmit OpKind = iota + 1
	OpCancel
	OpStart
	OpEnd
	// OpForget drops a job that ended longer ago than Config.JobRetention.
	OpForget
	// OpSilence marks an incarnation of a worker as silent, and OpHeard removes the
	// mark.
	OpSilence
	OpHeard
	// OpLeft tells all VMs that an incarnation of a worker has announced its exit. It
	// changes nothing in the state.
	OpLeft
)

// Op is one operation on the replicated state. Only the fields of its kind are
// set.
type Op struct {
	kind        OpKind
	job         Job
	id          model.JobID
	task        TaskID
	attempt     int
	incarnation Incarnation
	outcome     Outcome
	checkpoint  string
	term        uint64
	leaseLeft   time.Duration
	caller      Caller
	atMs        int64
}

// Submit returns the operation that adds a job.
func Submit(jo Job) Op { return Op{kind: OpSubmit, job: jo, id: jo.ID()} }

// Cancel returns the operation that cancels a job.
func Cancel(id model.JobID) Op { return Op{kind: OpCancel, id: id} }

// CancelAs returns the operation that cancels a job if the caller has access to it.
func CancelAs(id model.JobID, caller Caller) Op {
	return Op{kind: OpCancel, id: id, caller: caller}
}

// At returns a Cancel that the leader got at a time, in milliseconds since 1970. If the job is
// not known, a submission that arrives later is not accepted. Without a time it is.
func (op Op) At(unixMs int64) Op {
	op.atMs = unixMs
	return op
}

// Forget returns the operation that drops an ended job.
func Forget(id model.JobID) Op { return Op{kind: OpForget, id: id} }

// Start returns the operation that records the next run of a task. It is
// committed before the worker gets the start order.
func Start(task TaskID, attempt int, inc Incarnation) Op {
	return Op{kind: OpStart, id: task.job, task: task, attempt: attempt, incarnation: inc}
}

// End returns the operation that records the end of a run, with its latest
// known checkpoint.
func End(task TaskID, attempt int, oc Outcome, checkpoint string) Op {
	return Op{kind: OpEnd, id: task.job, task: task, attempt: attempt, outcome: oc, checkpoint: checkpoint}
}

// Silence returns the operation that marks an incarnation as silent. The leader of
// the term has granted it no lease since it decided the operation, and an earlier
// lease ends within leaseLeft after that.
func Silence(inc Incarnation, term uint64, leaseLeft time.Duration) Op {
	return Op{kind: OpSilence, incarnation: inc, term: term, leaseLeft: leaseLeft}
}

// Heard returns the operation, decided by the leader of the term, that removes the
// mark of a silent incarnation. The leader grants leases once it has applied it.
func Heard(inc Incarnation, term uint64) Op {
	return Op{kind: OpHeard, incarnation: inc, term: term}
}

// Left returns the operation that records the exit of an incarnation of a worker.
func Left(inc Incarnation) Op { return Op{kind: OpLeft, incarnation: inc} }

// Kind returns what the operation does.
func (op Op) Kind() OpKind { return op.kind }

// Job returns the job of a Submit.
func (op Op) Job() Job { return op.job }

// ID returns the job that the operation applies to.
func (op Op) ID() model.JobID { return op.id }

// Task returns the task of a Start or End.
func (op Op) Task() TaskID { return op.task }

// Attempt returns the attempt number of a Start or End, from 1.
func (op Op) Attempt() int { return op.attempt }

// Incarnation returns the incarnation of the worker of a Start, Silence or Heard.
func (op Op) Incarnation() Incarnation { return op.incarnation }

// Outcome returns the outcome of an End.
func (op Op) Outcome() Outcome { return op.outcome }

// Checkpoint returns the checkpoint of an End.
func (op Op) Checkpoint() string { return op.checkpoint }

// Term returns the term of a Silence or Heard.
func (op Op) Term() uint64 { return op.term }

// LeaseLeft returns how long the lease may last, at most, after a Silence was
// decided.
func (op Op) LeaseLeft() time.Duration { return op.leaseLeft }

// AtMs returns when the leader got a Cancel, in milliseconds since 1970; 0 if that is unknown.
func (op Op) AtMs() int64 { return op.atMs }

// Caller returns who cancels a job.
func (op Op) Caller() Caller { return op.caller }

// Verdict is the result of applying an operation.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota
	// Repeated means that the job was already submitted, or had already ended
	// when it was to be cancelled; nothing changed.
	Repeated
	// UnknownJob means that the job or the task does not exist.
	UnknownJob
	// Stale means that the task or the job has changed since the operation was
	// decided, so that it no longer applies.
	Stale
	// Closed means that the job has ended and starts no more runs.
	Closed
	// Foreign means that the job belongs to another workspace than that of the
	// operation; nothing changed.
	Foreign
	// OverQuota means that the start would bring what the workspace of the job has in
	// use above its quota; nothing changed.
	OverQuota
	// Withdrawn means that the job was cancelled before its submission arrived; nothing
	// changed.
	Withdrawn
)

var verdictNames = [...]string{"accepted", "repeated", "unknownJob", "stale", "closed", "foreign", "overQuota", "withdrawn"}

// String returns the name for logs.
func (ve Verdict) String() string { return nameOf(verdictNames[:], int(ve)) }
