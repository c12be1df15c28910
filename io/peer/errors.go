package peer

import (
	"context"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/wire"
)

// Values of wire.Failure.type for UnknownMessageError, for a request handler that
// returned context.DeadlineExceeded, for NoMemoryError and for AnswerMemoryError.
const (
	unknownMessageType = "unknownMessage"
	timeoutType        = "timeout"
	noMemoryType       = "noMemory"
	answerMemoryType   = "answerMemory"
)

// UnreachableError reports that no link to a VM is up, that the link has maxRequests
// unanswered requests, or that it failed before the answer was complete. In the last
// case the VM may have received the request; see Sent.
type UnreachableError struct {
	vm    model.VMID
	cause error
}

// VM returns the VM that was not reached.
func (err *UnreachableError) VM() model.VMID { return err.vm }

// Error describes the failure.
func (err *UnreachableError) Error() string {
	text := "vm " + string(err.vm) + " is not reachable"
	if err.cause != nil {
		text += ": " + err.cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (err *UnreachableError) Unwrap() error { return err.cause }

// Sent reports whether the VM may have received the request. It is false if
// nothing was sent, because no link was up or the link had too many requests.
func (err *UnreachableError) Sent() bool {
	var bus *BusyError
	return err.cause != nil && !errors.As(err.cause, &bus)
}

// TimeoutError reports that the answer did not arrive in time. The VM may have
// handled the request.
type TimeoutError struct {
	vm model.VMID
	// kind is the full protobuf name of the request.
	kind  string
	cause error
}

// VM returns the VM that did not answer.
func (err *TimeoutError) VM() model.VMID { return err.vm }

// Error describes the failure.
func (err *TimeoutError) Error() string {
	return "vm " + string(err.vm) + " did not answer " + err.kind + " in time"
}

// Unwrap returns the cause, which may be nil.
func (err *TimeoutError) Unwrap() error { return err.cause }

// RemoteError is the failure that the request handler on another VM returned.
type RemoteError struct {
	vm model.VMID
	// failureType is the value of wire.Failure.type; see Typed.
	failureType string
	text        string
}

// VM returns the VM whose handler failed.
func (err *RemoteError) VM() model.VMID { return err.vm }

// Type returns the FailureType of the handler's error or, for an error that is
// not Typed, its Go type name.
func (err *RemoteError) Type() string { return err.failureType }

// Text returns the message of the handler's error.
func (err *RemoteError) Text() string { return err.text }

// Error describes the failure.
func (err *RemoteError) Error() string { return "vm " + string(err.vm) + ": " + err.text }

// UnknownMessageError reports that a VM has no handler for a message type.
type UnknownMessageError struct {
	vm   model.VMID
	kind string
}

// VM returns the VM that has no handler.
func (err *UnknownMessageError) VM() model.VMID { return err.vm }

// Kind returns the full protobuf name of the message.
func (err *UnknownMessageError) Kind() string { return err.kind }

// Error describes the failure.
func (err *UnknownMessageError) Error() string {
	return "vm " + string(err.vm) + " has no handler for " + err.kind
}

// FailureType implements Typed.
func (err *UnknownMessageError) FailureType() string { return unknownMessageType }

// NoMemoryError reports that a VM had no memory for a request, which it has not handled.
type NoMemoryError struct {
	vm model.VMID
}

// VM returns the VM that had no memory.
func (err *NoMemoryError) VM() model.VMID { return err.vm }

// Error describes the failure.
func (err *NoMemoryError) Error() string {
	return "vm " + string(err.vm) + " has no memory for the request: retry later"
}

// FailureType implements Typed.
func (err *NoMemoryError) FailureType() string { return noMemoryType }

// FrameSizeError reports a frame that was rejected because it is larger than
// MaxFrame, or a Hello larger than maxHello.
type FrameSizeError struct {
	size int
}

// Size returns the size of the rejected frame in bytes, without its length field.
func (err *FrameSizeError) Size() int { return err.size }

// Error describes the failure.
func (err *FrameSizeError) Error() string {
	return "frame of " + strconv.Itoa(err.size) + " bytes refused: send at most " + strconv.Itoa(MaxFrame)
}

// ProtocolError reports a peer that violates the link protocol.
type ProtocolError struct {
	text string
}

// Error describes the failure.
func (err *ProtocolError) Error() string { return "link protocol: " + err.text }

// BusyError reports that a link has its maximum number of unanswered requests.
type BusyError struct {
	limit int
}

// Error describes the failure.
func (err *BusyError) Error() string {
	return strconv.Itoa(err.limit) + " requests are already waiting: retry later"
}

// ListenError reports that the listen address cannot be used, or that the hub's actor
// cannot be started because the actor system has a hub of the same VM.
type ListenError struct {
	addr  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string { return "listen on " + err.addr + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }

// Typed is an error that determines its failure type on the wire. An error that is not
// Typed is sent under its Go type name.
type Typed interface {
	// FailureType returns the value of wire.Failure.type.
	FailureType() string
}

// toFailure encodes the error of a request handler. The failure type of a Typed error
// anywhere in the chain of err takes precedence.
func toFailure(err error) *wire.Failure {
	var typ Typed
	if errors.As(err, &typ) {
		return &wire.Failure{Type: typ.FailureType(), Text: err.Error()}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &wire.Failure{Type: timeoutType, Text: err.Error()}
	}
	return &wire.Failure{Type: typeName(errors.Cause(err)), Text: err.Error()}
}

// fromFailure decodes the error that the request handler on vm returned; kind is the full
// protobuf name of the request.
func fromFailure(vm model.VMID, kind string, fail *wire.Failure) error {
	switch fail.GetType() {
	case unknownMessageType:
		return &UnknownMessageError{vm: vm, kind: kind}
	case noMemoryType:
		return &NoMemoryError{vm: vm}
	case answerMemoryType:
		return &AnswerMemoryError{}
	case timeoutType:
		return &TimeoutError{vm: vm, kind: kind, cause: context.DeadlineExceeded}
	}
	return &RemoteError{vm: vm, failureType: fail.GetType(), text: fail.GetText()}
}

// typeName returns the Go type name of err without its package and pointer.
func typeName(err error) string {
	name := goType(err)
	if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
		name = name[dot+1:]
	}
	return strings.TrimPrefix(name, "*")
}
