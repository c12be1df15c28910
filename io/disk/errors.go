package disk

// SpawnError reports that an actor could not be started.
type SpawnError struct {
	name  string
	cause error
}

// Error describes the failure.
func (err *SpawnError) Error() string { return "start actor " + err.name + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *SpawnError) Unwrap() error { return err.cause }
