package peer

import (
	"context"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/wire"
)

// Failure types on the wire of UnknownMessageError and of an answerer whose
// context reached the deadline of the request.
const (
	unknownMessageType = "unknownMessage"
	timeoutType        = "timeout"
)

// UnreachableError reports that no link to a VM is up, or that the link failed
// before the answer was complete. The VM may have received the request.
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

// Sent reports whether the VM may have received the request. Without a link,
// or with too many requests on it, nothing is sent.
func (err *UnreachableError) Sent() bool {
	var bus *BusyError
	return err.cause != nil && !errors.As(err.cause, &bus)
}

// TimeoutError reports that the answer did not arrive in time. The VM may have
// handled the request.
type TimeoutError struct {
	vm    model.VMID
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

// RemoteError is the failure that the answerer on another VM returned.
type RemoteError struct {
	vm   model.VMID
	kind string
	text string
}

// VM returns the VM that failed the request.
func (err *RemoteError) VM() model.VMID { return err.vm }

// Type returns the type of the failure, as FailureType of the answerer's error
// or its Go type name.
func (err *RemoteError) Type() string { return err.kind }

// Text returns the message of the answerer's error.
func (err *RemoteError) Text() string { return err.text }

// Error describes the failure.
func (err *RemoteError) Error() string { return "vm " + string(err.vm) + ": " + err.text }

// UnknownMessageError reports a message type without a handler.
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

// FrameSizeError reports a frame above MaxFrame.
type FrameSizeError struct {
	size int
}

// Size returns the size of the refused frame in bytes.
func (err *FrameSizeError) Size() int { return err.size }

// Error describes the failure.
func (err *FrameSizeError) Error() string {
	return "frame of " + strconv.Itoa(err.size) + " bytes refused: send at most " + strconv.Itoa(MaxFrame)
}

// ProtocolError reports a peer that does not follow the link protocol.
type ProtocolError struct {
	text string
}

// Error describes the failure.
func (err *ProtocolError) Error() string { return "link protocol: " + err.text }

// BusyError reports that a link already has the most requests it may have.
type BusyError struct {
	limit int
}

// Error describes the failure.
func (err *BusyError) Error() string {
	return strconv.Itoa(err.limit) + " requests are already waiting: retry later"
}

// ListenError reports that the listen address cannot be used.
type ListenError struct {
	addr  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string { return "listen on " + err.addr + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }

// Typed is an error that names its own type on the wire.
type Typed interface {
	FailureType() string
}

// toFailure encodes an answerer's error.
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

// fromFailure decodes an answerer's error. The text of an unknown message
// failure is rebuilt from the kind that was asked for.
func fromFailure(vm model.VMID, kind string, fail *wire.Failure) error {
	switch fail.GetType() {
	case unknownMessageType:
		return &UnknownMessageError{vm: vm, kind: kind}
	case timeoutType:
		return &TimeoutError{vm: vm, kind: kind, cause: context.DeadlineExceeded}
	}
	return &RemoteError{vm: vm, kind: fail.GetType(), text: fail.GetText()}
}

// typeName returns the Go type name of err without its package and pointer.
func typeName(err error) string {
	name := goType(err)
	if dot := strings.LastIndexByte(name, '.'); dot >= 0 {
		name = name[dot+1:]
	}
	return strings.TrimPrefix(name, "*")
}
