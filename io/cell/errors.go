package cell

import (
	"time"

	"github.com/juju/errors"

	"guavarail/core/quorum"
	"guavarail/core/shed"
	"guavarail/io/group"
	"guavarail/io/peer"
)

// BusyError reports that the leader did not handle a call, which had no effect: its turn
// would come too late, or a later heartbeat of the worker took its place.
type BusyError = group.BusyError

// SizeError reports a command that is too large for the log and had no effect.
type SizeError = group.SizeError

// EncodeError reports a command that cannot be encoded and had no effect.
type EncodeError = group.EncodeError

// CodecError reports a command that was stored, cannot be decoded and has no effect.
type CodecError = group.CodecError

// RefusedError reports that admission control did not accept a job.
// The submission had no effect.
type RefusedError struct{ decision shed.Decision }

// Error describes the refusal.
func (err *RefusedError) Error() string {
	return "not accepted (" + err.decision.Reason().String() + "), submit it again in " + err.RetryAfter().String()
}

// RetryAfter returns the time after which the job should be submitted again, in whole
// seconds.
func (err *RefusedError) RetryAfter() time.Duration { return err.decision.RetryAfter() }

// jobMemoryRetry is the time after which a job that was refused for lack of memory should be
// submitted again: jobs end, and are dropped after their retention.
const jobMemoryRetry = 5 * time.Second

// JobMemoryError reports that the leader has no memory for a job. The submission had no
// effect.
type JobMemoryError struct{ tooLarge bool }

// TooLarge reports whether the job alone takes more than all jobs may.
func (err *JobMemoryError) TooLarge() bool { return err.tooLarge }

// Error describes the refusal.
func (err *JobMemoryError) Error() string {
	if err.tooLarge {
		return "the job takes more memory than all jobs may"
	}
	return "no memory for the job, submit it again in " + jobMemoryRetry.String()
}

// RetryAfter returns the time after which the job should be submitted again, in whole
// seconds.
func (err *JobMemoryError) RetryAfter() time.Duration { return jobMemoryRetry }

// NotReachedError reports that a call did not reach the leader and was therefore
// not carried out.
type NotReachedError struct{ cause error }

// Error describes the failure.
func (err *NotReachedError) Error() string {
	if err.cause == nil {
		return "no leader is known, retry later"
	}
	return "the leader was not reached, retry later: " + err.cause.Error()
}

// Unwrap returns the cause, which may be nil.
func (err *NotReachedError) Unwrap() error { return err.cause }

// LostReplyError reports that a call was sent to the leader but its reply was
// lost, so that it may have been carried out.
type LostReplyError struct{ cause error }

// Error describes the failure.
func (err *LostReplyError) Error() string {
	return "the outcome of the call is unknown, send it again: " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *LostReplyError) Unwrap() error { return err.cause }

// ExpiredError reports a call whose caller no longer waits for the reply. It had no effect.
type ExpiredError struct{}

// Error describes the failure.
func (err *ExpiredError) Error() string { return "the call waited for longer than its caller does" }

// InvalidCallError reports a call whose host, path or key is not UTF-8, so that no VM can
// forward it. It had no effect.
type InvalidCallError struct{}

// Error describes the failure.
func (err *InvalidCallError) Error() string { return "the host or the path of the call is not UTF-8" }

// NoHandlerError reports that no handler was set with Serve, or that the VM has no
// disk and so cannot lead.
type NoHandlerError struct{}

// Error describes the failure.
func (err *NoHandlerError) Error() string { return "no front end serves calls on this vm" }

// isNotLeader reports whether err means that the VM does not lead and that the
// call had no effect.
func isNotLeader(err error) bool {
	var nle *quorum.NotLeaderError
	return errors.As(err, &nle)
}

// isUnstorable reports whether err means that a command was not added to the log, which
// cannot hold it.
func isUnstorable(err error) bool {
	var ece *EncodeError
	var sie *SizeError
	return errors.As(err, &ece) || errors.As(err, &sie)
}

// isWithoutAnswer reports whether err means that there was no memory for the answer to a
// request, which may have been handled.
func isWithoutAnswer(err error) bool {
	var ame *peer.AnswerMemoryError
	return errors.As(err, &ame)
}

// isExpired reports whether err means that a call expired and had no effect.
func isExpired(err error) bool {
	var exe *ExpiredError
	return errors.As(err, &exe)
}

// isNoMemory reports whether err means that another VM had no memory for a request, which
// it has not handled.
func isNoMemory(err error) bool {
	var nme *peer.NoMemoryError
	return errors.As(err, &nme)
}

// isUnsent reports whether err means that a request to another VM was not sent.
func isUnsent(err error) bool {
	var unr *peer.UnreachableError
	return errors.As(err, &unr) && !unr.Sent()
}
