package peer

import (
	"fmt"
	"runtime/debug"

	"github.com/juju/errors"

	"guavarail/core/model"
)

// PanicError reports that the handler of a message panicked. What it had done before is
// unknown.
type PanicError struct {
	kind, text, stack string
}

// Stack returns the stack of the goroutine at the panic.
func (err *PanicError) Stack() string { return err.stack }

// Error describes the failure.
func (err *PanicError) Error() string { return "handler of " + err.kind + " panicked: " + err.text }

// recoverPanic sets *err to a *PanicError if a handler has panicked, so that one message
// ends neither the link nor the process. It must be deferred.
func recoverPanic(kind string, err *error) {
	if val := recover(); val != nil {
		*err = &PanicError{kind: kind, text: fmt.Sprint(val), stack: string(debug.Stack())}
	}
}

// logPanic logs the panic of a handler with its stack.
func (hub *Hub) logPanic(from model.VMID, err error) {
	var pan *PanicError
	if !errors.As(err, &pan) {
		return
	}
	hub.vars.panics.Add(1)
	hub.cfg.Log.Error("handler of an incoming message panicked; the message is dropped and its outcome unknown",
		"from", from, "error", pan, "stack", pan.Stack())
}
