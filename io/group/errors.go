package group

import (
	"fmt"
	"time"

	"guavarail/core/quorum"
)

// NotLeaderError reports that this replica does not lead its group, or lost the
// leadership and a later leader replaced the log entry of the command. The command
// will never be applied. It names the leader, if known.
type NotLeaderError = quorum.NotLeaderError

// UnknownError reports that the outcome of a command is unknown: it may or may
// not be applied. A retry must carry the same command ID.
type UnknownError struct {
	group string
	cause error
}

// Error describes the failure.
func (err *UnknownError) Error() string {
	return "outcome in group " + err.group + " is unknown, retry with the same identity: " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *UnknownError) Unwrap() error { return err.cause }

// StoppedError reports that the replica is being stopped, or that the Ref is the
// zero value.
type StoppedError struct{}

// Error describes the failure.
func (err *StoppedError) Error() string { return "the replica is stopped" }

// BusyError reports that queued work was dropped and had no effect: a newer item of the
// same sender covers it, or its turn would come too late.
type BusyError struct {
	group string
	wait  time.Duration
}

// Wait returns how long work that is queued now is expected to wait.
func (err *BusyError) Wait() time.Duration { return err.wait }

// Error describes the failure.
func (err *BusyError) Error() string {
	return "group " + err.group + " did not handle the input, which waited in its queue; retry later"
}

// SpawnError reports that an actor could not be started.
type SpawnError struct {
	name  string
	cause error
}

// Error describes the failure.
func (err *SpawnError) Error() string { return "start actor " + err.name + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *SpawnError) Unwrap() error { return err.cause }

// SizeError reports a command that is too large for one message. The command
// was not added to the log.
type SizeError struct {
	// size and limit are in bytes.
	size  int
	limit int
}

// Error describes the failure.
func (err *SizeError) Error() string {
	return fmt.Sprintf("command has %d bytes, use at most %d", err.size, err.limit)
}

// EncodeError reports a command that cannot be encoded. It was not added to the log.
type EncodeError struct{ cause error }

// Error describes the failure.
func (err *EncodeError) Error() string { return "encode command: " + err.cause.Error() }

// Unwrap returns the cause.
func (err *EncodeError) Unwrap() error { return err.cause }

// PanicError reports that the actor of the replica panicked, which leaves its
// state unknown. The replica halts until the process is restarted.
type PanicError struct{ group string }

// Error describes the failure.
func (err *PanicError) Error() string {
	return "replica of group " + err.group + " failed, restart the process"
}

// CodecError reports a command or snapshot that this replica could not decode. The command
// has no effect on any replica.
type CodecError struct {
	group string
	index uint64
	cause error
}

// Index returns the index of the command, or the last index that the snapshot
// covers.
func (err *CodecError) Index() uint64 { return err.index }

// Error describes the failure.
func (err *CodecError) Error() string {
	return fmt.Sprintf("decode entry %d of group %s: %v", err.index, err.group, err.cause)
}

// Unwrap returns the cause.
func (err *CodecError) Unwrap() error { return err.cause }

// SkippedError is the cause of an UnknownError if the replica installed a
// snapshot that may include the command.
type SkippedError struct{}

// Error describes the failure.
func (err *SkippedError) Error() string { return "the result is part of a received snapshot" }
