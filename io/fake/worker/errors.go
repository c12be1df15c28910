package worker

import "strconv"

// ListenError reports that the backend server cannot listen on its address.
type ListenError struct {
	addr  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string { return "listen on " + err.addr + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }

// StatusError reports an HTTP error response of an entry VM. The status is 0 when
// no entry VM is configured.
type StatusError struct {
	path   string
	status int
	body   string
}

// Status returns the HTTP status, or 0 if no request was sent.
func (err *StatusError) Status() int { return err.status }

// Error describes the failure.
func (err *StatusError) Error() string {
	return err.path + ": status " + strconv.Itoa(err.status) + ": " + err.body
}
