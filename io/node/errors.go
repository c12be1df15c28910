package node

// ListenError reports that the VM cannot listen on an address of its settings.
type ListenError struct {
	// listener is the key of the address in the [listen] section.
	listener string
	cause    error
}

// Error describes the failure.
func (err *ListenError) Error() string {
	return "listen for " + err.listener + ": " + err.cause.Error() + "; check the [listen] section of the settings"
}

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }
