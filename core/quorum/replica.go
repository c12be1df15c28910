package quorum

// Replica is the state that a group keeps identical on its VMs. C is the type
// of commands, R of results and S of snapshots. Apply must depend on nothing
// but the state and the command. Encoding is left to the adapter.
type Replica[C, R, S any] interface {
	// Apply carries out one committed command and returns its result.
	Apply(cmd C) R
	// Snapshot returns a copy that later commands do not change.
	Snapshot() S
	// Restore replaces the state.
	Restore(snap S)
}
