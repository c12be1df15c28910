package client

import (
	"net/http"
	"strconv"
	"strings"

	"guavarail/io/rest"
)

// AddressError reports that an address of the API is missing or is not an IP
// address and port.
type AddressError struct {
	address string
}

// Error describes the failure.
func (err *AddressError) Error() string {
	if err.address == "" {
		return "no API address is given; use --api IP:port"
	}
	return "API address " + strconv.Quote(err.address) + " is not an IP address and port; use one such as 10.0.0.1:7001"
}

// APIError is a failure that the API reported.
type APIError struct {
	status int
	body   rest.Error
}

// Status returns the HTTP status.
func (err *APIError) Status() int { return err.status }

// Type returns the type of the failure, one of the constants rest.TypeX.
func (err *APIError) Type() string { return err.body.Type }

// Body returns the failure as the API reported it.
func (err *APIError) Body() rest.Error { return err.body }

// Rejected reports whether the system rejected the call: because of its content, or
// because there is no majority.
func (err *APIError) Rejected() bool {
	return err.status < http.StatusInternalServerError || err.body.Type == rest.TypeNoMajority
}

// Error describes the failure.
func (err *APIError) Error() string {
	if err.body.Message != "" {
		return err.body.Message
	}
	return "the API answered " + strconv.Itoa(err.status) + " " + http.StatusText(err.status)
}

// UnreachableError reports that no address returned a usable answer.
type UnreachableError struct {
	tried []string
	// maybeDone reports that the command may have been carried out; it is false for
	// a read.
	maybeDone bool
	// last is the failure of the last request.
	last error
}

// MaybeDone reports whether the command may have been carried out. It can be sent
// again with the same identity: it is carried out at most once, and the answer is
// that of the first time.
func (err *UnreachableError) MaybeDone() bool { return err.maybeDone }

// Unwrap returns the last failure.
func (err *UnreachableError) Unwrap() error { return err.last }

// Error describes the failure.
func (err *UnreachableError) Error() string {
	out := "no usable answer from " + strings.Join(err.tried, ", ")
	if err.maybeDone {
		out += "; the command may have been carried out"
	}
	if err.last != nil {
		out += "; last failure: " + err.last.Error()
	}
	return out
}

// AnswerError reports an answer that cannot be read or decoded.
type AnswerError struct {
	address string
	cause   error
}

// Error describes the failure.
func (err *AnswerError) Error() string {
	return "read the answer of " + err.address + ": " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *AnswerError) Unwrap() error { return err.cause }
