package quorum

import "guavarail/core/model"

// Input is what a node can be given.
type Input interface{ input() }

// Tick tells the node that time has passed.
type Tick struct{}

// Proposal is one encoded command with a local identifier for the reply.
type Proposal struct {
	id   uint64
	data []byte
}

// NewProposal returns a proposal.
func NewProposal(id uint64, data []byte) Proposal { return Proposal{id: id, data: data} }

// Propose asks the leader to add commands to the log.
type Propose struct{ list []Proposal }

// NewPropose returns an input that proposes commands in order.
func NewPropose(list ...Proposal) Propose { return Propose{list: list} }

// Alter asks the leader to change the members.
type Alter struct {
	id     uint64
	change Change
}

// NewAlter returns an input that asks for chg.
func NewAlter(id uint64, chg Change) Alter { return Alter{id: id, change: chg} }

// Transfer asks the leader to hand leadership to another voter.
type Transfer struct{ id uint64 }

// NewTransfer returns an input that asks for a transfer.
func NewTransfer(id uint64) Transfer { return Transfer{id: id} }

// Receive delivers a message of another replica.
type Receive struct{ msg Message }

// NewReceive returns an input with a message.
func NewReceive(msg Message) Receive { return Receive{msg: msg} }

// Persisted tells that everything up to a Persist or Compact is on disk.
type Persisted struct{ seq uint64 }

// NewPersisted returns the answer to the Persist or Compact with number seq.
func NewPersisted(seq uint64) Persisted { return Persisted{seq: seq} }

// SnapshotSaved tells that a snapshot of this replica is on disk.
type SnapshotSaved struct{ snap Snapshot }

// NewSnapshotSaved returns the answer to TakeSnapshot, with the size set.
func NewSnapshotSaved(snap Snapshot) SnapshotSaved { return SnapshotSaved{snap: snap} }

// PieceStored tells that a piece is written, and synced if it was the last.
type PieceStored struct {
	from   model.VMID
	snap   Snapshot
	offset uint64
}

// NewPieceStored returns the answer to StorePiece; offset is the end of the
// piece.
func NewPieceStored(from model.VMID, snap Snapshot, offset uint64) PieceStored {
	return PieceStored{from: from, snap: snap, offset: offset}
}

// Halt stops the node from taking part, because its store or its replica
// failed.
type Halt struct{ cause error }

// NewHalt returns an input with the failure.
func NewHalt(cause error) Halt { return Halt{cause: cause} }

func (Tick) input()          {}
func (Propose) input()       {}
func (Alter) input()         {}
func (Transfer) input()      {}
func (Receive) input()       {}
func (Persisted) input()     {}
func (SnapshotSaved) input() {}
func (PieceStored) input()   {}
func (Halt) input()          {}
