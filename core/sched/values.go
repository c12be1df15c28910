package sched

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

// TaskState is the state of a task.
type TaskState uint8

// The states of a task.
const (
	// Waiting: no attempt is recorded, and the next one may start.
	Waiting TaskState = iota
	// Starting: the start of an attempt is recorded, but not that it runs.
	Starting
	// Running: the worker reported that the attempt runs.
	Running
	// Stopping: the stop of the attempt is requested, but its end is not
	// recorded.
	Stopping
	// Finished: an attempt succeeded.
	Finished
	// Failed: the job was closed because it cannot run.
	Failed
	// Cancelled: a caller cancelled the job before a success of the task was
	// recorded.
	Cancelled
)

var taskStateNames = [...]string{"waiting", "starting", "running", "stopping", "finished", "failed", "cancelled"}

// String returns the name used in the API.
func (ts TaskState) String() string { return nameOf(taskStateNames[:], int(ts)) }

// Live reports whether an attempt may be on a worker, so that its commitment
// counts.
func (ts TaskState) Live() bool { return ts == Starting || ts == Running || ts == Stopping }

// Final reports whether the task never runs again.
func (ts TaskState) Final() bool { return ts >= Finished }

// Outcome is the way in which an attempt ended.
type Outcome uint8

// The outcomes of an attempt.
const (
	// Succeeded: the task is complete.
	Succeeded Outcome = iota + 1
	// Errored: the attempt ended with an error; "failed" in the API.
	Errored
	// Stopped: the worker ended the attempt on request.
	Stopped
	// Lost: the task lease expired before the end of the attempt was recorded.
	Lost
	// NotStarted: the worker rejected the start order, and nothing ran.
	NotStarted
)

var outcomeNames = [...]string{"none", "succeeded", "failed", "stopped", "lost", "notStarted"}

// String returns the name used in the API.
func (oc Outcome) String() string { return nameOf(outcomeNames[:], int(oc)) }

// Reason is why a task waits, why an attempt is stopped or why a job was
// closed.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	// For a waiting task.

	// ReasonQueued: no plan has considered the task yet.
	ReasonQueued
	// ReasonNoCapacity: no worker that may run the task has room for it.
	ReasonNoCapacity
	// ReasonQuota: the start would exceed the team's quota.
	ReasonQuota
	// ReasonBatchShare: the start would exceed the share of the CPU capacity
	// that the preset allows for batch tasks.
	ReasonBatchShare
	// ReasonCentreOut: no task starts because the data centre is out of
	// service.
	ReasonCentreOut
	// ReasonNoPermit: the leader has no valid permit to start tasks, or its
	// leader lease has expired.
	ReasonNoPermit
	// ReasonAdmission: the start would exceed the admission, which is the
	// percentage of the CPU capacity that may be committed while the data
	// centre returns to service.
	ReasonAdmission

	// For an eviction.

	// ReasonUrgent: an urgent task needs the room.
	ReasonUrgent
	// ReasonReclaim: another team needs the quota that the task borrowed.
	ReasonReclaim
	// ReasonInterference: the task slows a service.
	ReasonInterference
	// ReasonGrowth: the usage of this task or of another one on the worker
	// exceeds its commitment.
	ReasonGrowth
	// ReasonDrain: batch attempts are stopped because the data centre is out
	// of service.
	ReasonDrain
	// ReasonShrunk: the worker is smaller than the sum of its commitments. The
	// planner does not evict for this reason at present.
	ReasonShrunk

	// For the end of a job.

	// ReasonCancelled: a caller cancelled the job.
	ReasonCancelled
	// ReasonTooLarge: no worker is large enough for a task.
	ReasonTooLarge
	// ReasonKeepsFailing: too many attempts of the job failed, on different
	// workers or in all.
	ReasonKeepsFailing
)

var reasonNames = [...]string{
	"none", "queued", "noCapacity", "quota", "batchShare", "centreOut", "noPermission", "admission",
	"urgent", "reclaim", "interference", "growth", "drain", "workerShrunk",
	"cancelled", "noWorkerLargeEnough", "keepsFailing",
}

// String returns the name used in the API.
func (re Reason) String() string { return nameOf(reasonNames[:], int(re)) }

// lacksRoom reports whether a task waits because others use the workers.
func (re Reason) lacksRoom() bool { return re == ReasonNoCapacity || re == ReasonBatchShare }

func nameOf(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return strconv.Itoa(i)
}

// Checkpoint identifies a checkpoint of a task by the attempt that took it and
// its sequence number in that attempt. The zero value means none.
type Checkpoint struct {
	attempt  model.Attempt
	sequence uint32
}

// NewCheckpoint returns the identifier of a checkpoint.
func NewCheckpoint(att model.Attempt, sequence uint32) Checkpoint {
	return Checkpoint{attempt: att, sequence: sequence}
}

// Attempt returns the attempt that took the checkpoint.
func (cp Checkpoint) Attempt() model.Attempt { return cp.attempt }

// Sequence returns the sequence number in the attempt, from 1.
func (cp Checkpoint) Sequence() uint32 { return cp.sequence }

// IsZero reports whether cp identifies no checkpoint.
func (cp Checkpoint) IsZero() bool { return cp == Checkpoint{} }

// Before reports whether cp was taken before other.
func (cp Checkpoint) Before(other Checkpoint) bool {
	if cp.attempt != other.attempt {
		return cp.attempt < other.attempt
	}
	return cp.sequence < other.sequence
}

// HistoryKind is the type of a history entry.
type HistoryKind uint8

// The kinds of history entries. The entries from HistorySucceeded to
// HistoryNotStarted record the end of an attempt with the outcome of that name.
const (
	HistoryQueued HistoryKind = iota + 1
	// HistoryStarted: the start of an attempt was recorded.
	HistoryStarted
	HistoryRunning
	// HistoryCheckpointUnreadable: the attempt resumed from an older
	// checkpoint than the newest, or from the beginning.
	HistoryCheckpointUnreadable
	// HistoryStopRequested is "stopAsked" in the API.
	HistoryStopRequested
	HistorySucceeded
	// HistoryErrored is "failed" in the API.
	HistoryErrored
	HistoryStopped
	HistoryLost
	HistoryNotStarted
	// HistoryClosed: the task became final because its job was closed.
	HistoryClosed
)

var historyNames = [...]string{
	"none", "queued", "started", "running", "checkpointUnreadable", "stopAsked", "succeeded",
	"failed", "stopped", "lost", "notStarted", "closed",
}

// String returns the name used in the API.
func (hk HistoryKind) String() string { return nameOf(historyNames[:], int(hk)) }

// History is one entry in the history of a task.
type History struct {
	kind    HistoryKind
	reason  Reason
	attempt model.Attempt
	// workerNumber is the index of the worker plus one, 0 for none.
	workerNumber int32
}

// NewHistory returns an entry; workerNumber is the worker's index in the
// snapshot plus one, 0 for none.
func NewHistory(kind HistoryKind, reason Reason, att model.Attempt, workerNumber int32) History {
	return History{kind: kind, reason: reason, attempt: att, workerNumber: workerNumber}
}

// Kind returns the type of the entry.
func (hi History) Kind() HistoryKind { return hi.kind }

// Reason returns why the task waits, was stopped or was closed, else NoReason.
func (hi History) Reason() Reason { return hi.reason }

// Attempt returns the attempt that the entry is about.
func (hi History) Attempt() model.Attempt { return hi.attempt }

// WorkerNumber returns the worker's index in the snapshot plus one, 0 for none.
func (hi History) WorkerNumber() int32 { return hi.workerNumber }

// stamp is a model.Instant in 32 bits: the number of full units of 100 ms since
// instant 0, plus one. It overflows 13 years after instant 0. The zero value
// means no time.
type stamp uint32

const stampUnit = 100 * time.Millisecond

func stampOf(now model.Instant) stamp { return stamp(now/model.Instant(stampUnit)) + 1 }

// instant returns the time of the stamp, which must not be zero. It is up to
// 100 ms too early, because stamps are rounded down.
func (sta stamp) instant() model.Instant { return model.Instant(sta-1) * model.Instant(stampUnit) }

// age returns the time since the stamp, which must not be zero. It is up to
// 100 ms too long.
func (sta stamp) age(now model.Instant) time.Duration { return now.Sub(sta.instant()) }

// maxAmount bounds each dimension of an amount, so that it fits in 32 bits.
const maxAmount = 1<<31 - 1

// amount is a model.Resources in half the memory. With half a million tasks,
// each live attempt holds two, and each task one more.
type amount struct {
	milliCPU, memoryMB, accelerators int32
}

func pack(re model.Resources) amount {
	return amount{int32(re.MilliCPU()), int32(re.MemoryMB()), int32(re.Accelerators())}
}

func (am amount) resources() model.Resources {
	return model.NewResources(int64(am.milliCPU), int64(am.memoryMB), int64(am.accelerators))
}

// packable reports whether re can be packed.
func packable(re model.Resources) bool {
	return re.Valid() && re.FitsIn(model.NewResources(maxAmount, maxAmount, maxAmount))
}
