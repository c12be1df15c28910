package entry

import "strconv"

// ConfigError reports a part of the configuration that is missing.
type ConfigError struct{ field string }

// Error describes the failure.
func (err *ConfigError) Error() string { return "entry: set " + err.field }

// BodyTooLargeError reports a request body of more than limit bytes.
type BodyTooLargeError struct{ limit int64 }

// Error describes the failure.
func (err *BodyTooLargeError) Error() string {
	return "request body too large: send at most " + strconv.FormatInt(err.limit, 10) + " bytes"
}

// ResentError reports that the transport tried to send a request a second time
// after bytes of it were written.
type ResentError struct{}

// Error describes the failure.
func (err *ResentError) Error() string { return "connection ended after the request was sent" }

// DrainError reports that requests were aborted at the end of a planned shutdown.
// aborted is the number of slots that requests used then; 0 if it could not be read.
type DrainError struct{ aborted int64 }

// Error describes the failure.
func (err *DrainError) Error() string {
	return "shutdown aborted " + strconv.FormatInt(err.aborted, 10) + " requests at its time limit"
}

// Aborted returns the number of aborted requests that used a slot. Requests that
// waited for a slot are not counted.
func (err *DrainError) Aborted() int64 { return err.aborted }
