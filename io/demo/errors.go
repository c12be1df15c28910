package demo

import (
	"strconv"
	"strings"
)

// UserError reports a user without a recorded trace.
type UserError struct {
	user string
}

// Error describes the failure.
func (err *UserError) Error() string {
	return "no trace of user " + strconv.Quote(err.user) + "; use one of " + strings.Join(Users(), ", ")
}

// TraceError reports a line of a trace that cannot be decoded.
type TraceError struct {
	user  string
	line  int
	cause error
}

// Error describes the failure.
func (err *TraceError) Error() string {
	return "trace of " + err.user + ", line " + strconv.Itoa(err.line) + ": " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *TraceError) Unwrap() error { return err.cause }

// OutcomeError reports outcomes that differ from the expected ones, or entry VMs
// that were not ready in time.
type OutcomeError struct {
	// failed describes each outcome that differs.
	failed []string
}

// Error lists the outcomes that differ.
func (err *OutcomeError) Error() string {
	return "outcomes differ from the expected ones: " + strings.Join(err.failed, "; ")
}
