package quorum

import "guavarail/core/model"

// Role is the role of a replica in its group at one moment: whether it leads and
// holds the lease, its term, the leader and how far it has applied the log.
type Role struct {
	// leased means that the replica holds the leader lease; it implies leading.
	leased  bool
	leading bool
	// appliedCurrentTerm implies that leader is not empty.
	appliedCurrentTerm bool
	failed             bool
	term               uint64
	// previousTerm is zero unless leading.
	previousTerm uint64
	// formerLeaseEnd is zero unless leading.
	formerLeaseEnd model.Instant
	leader         model.VMID
	// applied is the index of the last applied entry.
	applied uint64
	// leasedUntil is zero unless leased.
	leasedUntil model.Instant
}

// Leading reports whether the replica leads its group.
func (ro Role) Leading() bool { return ro.leading }

// Leased reports whether the replica holds the leader lease and has applied
// every command committed in earlier terms. Its state then contains every
// acknowledged command, so it can serve linearizable reads.
func (ro Role) Leased() bool { return ro.leased }

// AppliedCurrentTerm reports whether the leader is known and the last applied
// entry is of the current term. The state then contains every command that was
// committed in earlier terms. After a restart it is at first false, and the state
// is that of the stored snapshot.
func (ro Role) AppliedCurrentTerm() bool { return ro.appliedCurrentTerm }

// LeasedUntil returns the end of the leader lease, which each renewal moves
// forward. It is only valid while Leased is true.
func (ro Role) LeasedUntil() model.Instant { return ro.leasedUntil }

// Failed reports whether the replica has stopped voting and acknowledging
// because its store or Replica failed or its disk is stale.
func (ro Role) Failed() bool { return ro.failed }

// Term returns the current term of the replica.
func (ro Role) Term() uint64 { return ro.term }

// PreviousTerm returns the last term, before that of this replica, whose leader
// may have held the lease; 0 for none. It is only valid while Leading is true.
func (ro Role) PreviousTerm() uint64 { return ro.previousTerm }

// FormerLeaseEnd returns a time at which the leader leases of all earlier terms had
// ended, at the latest when this replica was elected. It is only valid while Leading
// is true.
func (ro Role) FormerLeaseEnd() model.Instant { return ro.formerLeaseEnd }

// Leader returns the leader of the current term, or "" if it is unknown.
func (ro Role) Leader() model.VMID { return ro.leader }

// Applied returns the index of the last applied entry.
func (ro Role) Applied() uint64 { return ro.applied }
