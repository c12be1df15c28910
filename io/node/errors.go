package node

// ListenError reports an address that cannot be listened on.
type ListenError struct {
	what  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string {
	return "listen for " + err.what + ": " + err.cause.Error() + "; check the [listen] section of the settings"
}

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }
