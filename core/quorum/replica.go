package quorum

// Replica is the replicated state machine of a group. C is the type of its
// commands, R of its results and S of its snapshots. Apply must be
// deterministic: the result and the new state depend only on the previous state
// and the command. Adapters encode commands and snapshots.
type Replica[C, R, S any] interface {
	// Apply executes one committed command and returns its result.
	Apply(cmd C) R
	// Snapshot returns a copy of the state that later commands do not modify.
	Snapshot() S
	// Restore replaces the state with that of snap.
	Restore(snap S)
}
