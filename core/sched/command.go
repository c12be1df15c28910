package sched

import "guavarail/core/model"

// OpKind is the type of an operation.
type OpKind uint8

// The kinds of operations.
const (
	// OpSubmit adds a job.
	OpSubmit OpKind = iota + 1
	// OpCancel cancels jobs; one operation can name many.
	OpCancel
	// OpRegisterWorker registers a worker or changes its size and rack.
	OpRegisterWorker
	// OpRemoveWorker removes a worker without live attempts.
	OpRemoveWorker
	// OpStart records the start of the next attempt of a task.
	OpStart
	// OpConfirm records that the worker runs the attempt or has run it.
	OpConfirm
	// OpEnd records the end of an attempt.
	OpEnd
	// OpCheckpoint records a checkpoint.
	OpCheckpoint
	// OpEvict requests the stop of an attempt.
	OpEvict
	// OpResize changes the commitment of an attempt.
	OpResize
	// OpFail closes a job that cannot run; its tasks become Failed.
	OpFail
	// OpMarkSilent marks a worker that sends no reports.
	OpMarkSilent
	// OpClearSilent removes the mark of a worker that reports again.
	OpClearSilent
)

// Op is one operation of a command. Only the fields of its kind are set.
type Op struct {
	kind       OpKind
	reason     Reason
	outcome    Outcome
	borrowed   bool
	attempt    model.Attempt
	task       model.TaskID
	worker     model.WorkerID
	rack       string
	size       model.Resources
	checkpoint Checkpoint
	job        Job
	jobs       []model.JobID
}

// Submit adds a job. Submitting the same job again has no effect.
func Submit(jo Job) Op { return Op{kind: OpSubmit, job: jo} }

// Cancel cancels all the named jobs.
func Cancel(jobs ...model.JobID) Op {
	return Op{kind: OpCancel, jobs: append([]model.JobID(nil), jobs...)}
}

// RegisterWorker registers a worker or changes its size and rack.
func RegisterWorker(id model.WorkerID, rack string, size model.Resources) Op {
	return Op{kind: OpRegisterWorker, worker: id, rack: rack, size: size}
}

// RemoveWorker removes a worker without live attempts.
func RemoveWorker(id model.WorkerID) Op { return Op{kind: OpRemoveWorker, worker: id} }

// MarkSilent marks a worker that sends no reports; see the comment in silence.go.
func MarkSilent(id model.WorkerID) Op { return Op{kind: OpMarkSilent, worker: id} }

// ClearSilent removes the mark of a worker that reports again.
func ClearSilent(id model.WorkerID) Op { return Op{kind: OpClearSilent, worker: id} }

// Start records that attempt att of the task may start on a worker with a
// commitment of the given size. The attempt resumes from checkpoint cp, which
// must be the task's newest one; it is zero for a start from the beginning.
// borrowed marks a commitment beyond the team's quota.
func Start(task model.TaskID, att model.Attempt, wid model.WorkerID, size model.Resources, cp Checkpoint, borrowed bool) Op {
	return Op{kind: OpStart, task: task, attempt: att, worker: wid, size: size, checkpoint: cp, borrowed: borrowed}
}

// Confirm records that the attempt runs and which checkpoint it resumed from.
func Confirm(task model.TaskID, att model.Attempt, cp Checkpoint) Op {
	return Op{kind: OpConfirm, task: task, attempt: att, checkpoint: cp}
}

// End records how the attempt on the worker ended.
func End(task model.TaskID, att model.Attempt, wid model.WorkerID, oc Outcome) Op {
	return Op{kind: OpEnd, task: task, attempt: att, worker: wid, outcome: oc}
}

// RecordCheckpoint records a checkpoint of the task, taken by the attempt that
// cp names.
func RecordCheckpoint(task model.TaskID, cp Checkpoint) Op {
	return Op{kind: OpCheckpoint, task: task, attempt: cp.attempt, checkpoint: cp}
}

// Evict requests the stop of the attempt; the task waits for another attempt
// afterwards.
func Evict(task model.TaskID, att model.Attempt, reason Reason) Op {
	return Op{kind: OpEvict, task: task, attempt: att, reason: reason}
}

// Resize changes the commitment of the attempt.
func Resize(task model.TaskID, att model.Attempt, size model.Resources) Op {
	return Op{kind: OpResize, task: task, attempt: att, size: size}
}

// Fail closes a job that cannot run; its tasks become Failed.
func Fail(id model.JobID, reason Reason) Op {
	return Op{kind: OpFail, jobs: []model.JobID{id}, reason: reason}
}

// Kind returns the type of the operation.
func (op Op) Kind() OpKind { return op.kind }

// Reason returns the reason of an Evict or Fail.
func (op Op) Reason() Reason { return op.reason }

// Outcome returns how the attempt ended, for an End.
func (op Op) Outcome() Outcome { return op.outcome }

// Borrowed reports whether a start exceeds the team's quota.
func (op Op) Borrowed() bool { return op.borrowed }

// Attempt returns the number of the attempt, from 1.
func (op Op) Attempt() model.Attempt { return op.attempt }

// Task returns the task.
func (op Op) Task() model.TaskID { return op.task }

// Worker returns the worker.
func (op Op) Worker() model.WorkerID { return op.worker }

// Rack returns the rack of the worker.
func (op Op) Rack() string { return op.rack }

// Size returns the size of the worker or of the commitment.
func (op Op) Size() model.Resources { return op.size }

// Checkpoint returns the checkpoint that the attempt resumes from, for a Start
// or Confirm, or the one that it took, for a RecordCheckpoint.
func (op Op) Checkpoint() Checkpoint { return op.checkpoint }

// Job returns the submitted job.
func (op Op) Job() Job { return op.job }

// Jobs returns the identifiers of the jobs to cancel or fail.
func (op Op) Jobs() []model.JobID { return append([]model.JobID(nil), op.jobs...) }

// Command is a batch of operations that are applied together, in order. Each
// operation has its own verdict. The zero value does nothing.
type Command struct {
	ops []Op
	// serial numbers the commands of a planner; 0 for commands of callers.
	serial uint64
}

// NewCommand returns a command with the given operations.
func NewCommand(ops ...Op) Command { return Command{ops: ops} }

// Len returns the number of operations.
func (cmd Command) Len() int { return len(cmd.ops) }

// Serial returns the serial number that the planner gave the command, 0 for
// commands of callers.
func (cmd Command) Serial() uint64 { return cmd.serial }

// WithSerial returns a copy of the command with a planner's serial number.
func (cmd Command) WithSerial(serial uint64) Command {
	cmd.serial = serial
	return cmd
}

// Op returns operation i.
func (cmd Command) Op(i int) Op { return cmd.ops[i] }

// Verdict is the result of one operation.
type Verdict uint8

// The verdicts.
const (
	Accepted Verdict = iota
	// Repeated: the operation took effect earlier; nothing changed.
	Repeated
	// UnknownJob: the job or task does not exist, or the operation is invalid.
	UnknownJob
	// UnknownWorker: no such worker is registered, or a registration has an
	// invalid name or size.
	UnknownWorker
	// StaleAttempt: the attempt or checkpoint of the operation does not match
	// the present state of the task.
	StaleAttempt
	// DoesNotFit: the commitments would exceed the worker's size.
	DoesNotFit
	// Closed: the job was cancelled or failed.
	Closed
	// Conflict: a different job has the same name.
	Conflict
	// InUse: the worker still has live attempts.
	InUse
	// SilentWorker: the worker is marked as silent.
	SilentWorker
)

var verdictNames = [...]string{
	"accepted", "repeated", "unknownJob", "unknownWorker", "staleAttempt", "doesNotFit", "closed", "conflict", "inUse", "silentWorker",
}

// String returns the name used in the API.
func (ve Verdict) String() string { return nameOf(verdictNames[:], int(ve)) }

// Result holds the verdict of each operation of a command.
type Result struct {
	verdicts []Verdict
}

// Len returns the number of verdicts.
func (res Result) Len() int { return len(res.verdicts) }

// Verdict returns the verdict of operation i.
func (res Result) Verdict(i int) Verdict { return res.verdicts[i] }
