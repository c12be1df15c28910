package quorum

// Replica is the replicated state machine of a group. C is the type of its
// commands, R of its results and S of its snapshots. Apply must be
// deterministic: its outcome depends only on the state and the command.
// Encoding is left to the adapter.
type Replica[C, R, S any] interface {
	// Apply executes one committed command and returns its result.
	Apply(cmd C) R
	// Snapshot returns a copy of the state that later commands do not modify.
	Snapshot() S
	// Restore replaces the state with that of snap.
	Restore(snap S)
}
