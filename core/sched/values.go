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
	Waiting TaskState = iota
	Starting
	Running
	Stopping
	Finished
	Failed
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
	// Errored: the attempt failed by itself.
	Errored
	// Stopped: the worker ended the attempt on request.
	Stopped
	// Lost: the lease expired without a report of the attempt.
	Lost
	// NotStarted: the worker rejected the start order, and nothing ran.
	NotStarted
)

var outcomeNames = [...]string{"none", "succeeded", "failed", "stopped", "lost", "notStarted"}

// String returns the name used in the API.
func (oc Outcome) String() string { return nameOf(outcomeNames[:], int(oc)) }

// Reason is why a task waits, was evicted or failed.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	// For a waiting task.

	// ReasonQueued: the task was not considered yet.
	ReasonQueued
	// ReasonNoCapacity: no worker has room.
	ReasonNoCapacity
	// ReasonQuota: the start would exceed the team's quota.
	ReasonQuota
	// ReasonBatchShare: the start would exceed the share for batch tasks.
	ReasonBatchShare
	// ReasonCentreOut: the data centre is out of service.
	ReasonCentreOut
	// ReasonNoPermission: the leader has no permission to start tasks now.
	ReasonNoPermission
	// ReasonAdmission: the start would exceed what may be committed while the
	// data centre returns to service.
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
	// ReasonDrain: the data centre is out of service.
	ReasonDrain
	// ReasonShrunk: the worker is smaller than its commitments.
	ReasonShrunk

	// For the end of a job.

	// ReasonCancelled: a caller cancelled the job.
	ReasonCancelled
	// ReasonTooLarge: no worker is large enough for a task.
	ReasonTooLarge
	// ReasonKeepsFailing: the job failed on too many workers or too often.
	ReasonKeepsFailing
)

var reasonNames = [...]string{
	"none", "queued", "noCapacity", "quota", "batchShare", "centreOut", "noPermission", "admission",
	"urgent", "reclaim", "interference", "growth", "drain", "workerShrunk",
	"cancelled", "noWorkerLargeEnough", "keepsFailing",
}

// String returns the name used in the API.
func (re Reason) String() string { return nameOf(reasonNames[:], int(re)) }

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

// The kinds of history entries.
const (
	HistoryQueued HistoryKind = iota + 1
	HistoryStarted
	HistoryRunning
	HistoryCheckpointUnreadable
	HistoryStopRequested
	HistorySucceeded
	HistoryErrored
	HistoryStopped
	HistoryLost
	HistoryNotStarted
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
	// slot is the worker's slot plus one; 0 means no worker.
	slot int32
}

// NewHistory returns an entry; slot is the worker's position in the snapshot
// plus one, 0 for none.
func NewHistory(kind HistoryKind, reason Reason, att model.Attempt, slot int32) History {
	return History{kind: kind, reason: reason, attempt: att, slot: slot}
}

// Kind returns the type of the entry.
func (hi History) Kind() HistoryKind { return hi.kind }

// Reason returns the reason of a stop, end or wait.
func (hi History) Reason() Reason { return hi.reason }

// Attempt returns the attempt that the entry is about.
func (hi History) Attempt() model.Attempt { return hi.attempt }

// Slot returns the worker's position in the snapshot plus one, 0 for none.
func (hi History) Slot() int32 { return hi.slot }

// stamp is a time in units of 100 ms, in 32 bits, which last 13 years. The
// zero value means none.
type stamp uint32

const stampUnit = 100 * time.Millisecond

func stampOf(now model.Instant) stamp { return stamp(now/model.Instant(stampUnit)) + 1 }

// age returns the time since the stamp.
func (sta stamp) age(now model.Instant) time.Duration {
	return now.Sub(model.Instant(sta-1) * model.Instant(stampUnit))
}

// maxAmount bounds each dimension of an amount, so that it fits in 32 bits.
const maxAmount = 1<<31 - 1

// amount is a packed model.Resources of half its size; half a million tasks
// hold two each.
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
