package quorum

import "guavarail/core/model"

// Role is what a replica is to its group at one moment.
type Role struct {
	// leased is set only while leading is.
	leased  bool
	leading bool
	// current is set only while the leader is known.
	current bool
	failed  bool
	term    uint64
	leader  model.VMID
	applied uint64
	// leasedUntil is set only while leased is.
	leasedUntil model.Instant
}

// Leading reports whether the replica leads its group.
func (ro Role) Leading() bool { return ro.leading }

// Leased reports whether the leader lease holds and every command that was
// accepted before is applied, so that the replica's state is the newest.
func (ro Role) Leased() bool { return ro.leased }

// Current reports whether the replica has applied a command of the present
// term, so that its state is not older than one that it had before a restart.
func (ro Role) Current() bool { return ro.current }

// LeasedUntil returns the end of the leader lease as known now; it is only
// meaningful while Leased. Renewals move it ahead.
func (ro Role) LeasedUntil() model.Instant { return ro.leasedUntil }

// Failed reports whether the replica stopped taking part because of its disk.
func (ro Role) Failed() bool { return ro.failed }

// Term returns the term of the replica.
func (ro Role) Term() uint64 { return ro.term }

// Leader returns the leader, or "" when it is not known.
func (ro Role) Leader() model.VMID { return ro.leader }

// Applied returns the last entry that the replica has applied.
func (ro Role) Applied() uint64 { return ro.applied }
