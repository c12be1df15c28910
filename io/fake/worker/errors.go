package worker

import "strconv"

// ListenError reports that the address of the backend server cannot be used.
type ListenError struct {
	addr  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string { return "listen on " + err.addr + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }

// StatusError reports a response that is not a success.
type StatusError struct {
	path   string
	status int
	body   string
}

// Status returns the HTTP status.
func (err *StatusError) Status() int { return err.status }

// Error describes the failure.
func (err *StatusError) Error() string {
	return err.path + ": status " + strconv.Itoa(err.status) + ": " + err.body
}
