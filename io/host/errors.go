package host

// SpawnError reports that an actor could not be started.
type SpawnError struct {
	name  string
	cause error
}

// Error describes the failure.
func (err *SpawnError) Error() string { return "start actor " + err.name + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *SpawnError) Unwrap() error { return err.cause }

// ReadError reports that Read got no result from an actor.
type ReadError struct {
	// name is the actor's identifier, "" for the zero Ref.
	name  string
	cause error
}

// Error describes the failure.
func (err *ReadError) Error() string { return "read actor " + err.name + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *ReadError) Unwrap() error { return err.cause }
