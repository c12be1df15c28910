package quorum

import (
	"guavarail/core/event"
	"guavarail/core/model"
)

// Effect is what a node asks its owner to do.
type Effect interface{ effect() }

// Send sends a message.
type Send struct{ msg Message }

// Message returns the message.
func (eff Send) Message() Message { return eff.msg }

// SendPiece sends a message after filling its data with length bytes of the
// stored snapshot from the message's offset on.
type SendPiece struct {
	msg    Message
	length uint64
}

// Message returns the message without data.
func (eff SendPiece) Message() Message { return eff.msg }

// Length returns the bytes of the piece.
func (eff SendPiece) Length() uint64 { return eff.length }

// Persist writes to the log and answers with Persisted after the sync. An
// entry replaces the entries with the same and higher indexes.
type Persist struct {
	seq     uint64
	hard    Hard
	entries []Entry
}

// Seq returns the number for the answer.
func (eff Persist) Seq() uint64 { return eff.seq }

// Hard returns the term and vote to store.
func (eff Persist) Hard() Hard { return eff.hard }

// Entries returns the entries to store.
func (eff Persist) Entries() []Entry { return eff.entries }

// Compact replaces the log by the entries after the snapshot and answers with
// Persisted after the sync.
type Compact struct {
	seq   uint64
	saved Saved
}

// Seq returns the number for the answer.
func (eff Compact) Seq() uint64 { return eff.seq }

// Saved returns all that the store holds afterwards.
func (eff Compact) Saved() Saved { return eff.saved }

// Apply carries out a committed entry. Entries come in order without gaps,
// except after Install.
type Apply struct{ entry Entry }

// Entry returns the committed entry.
func (eff Apply) Entry() Entry { return eff.entry }

// TakeSnapshot stores the present state of the replica and answers with
// SnapshotSaved.
type TakeSnapshot struct{ snap Snapshot }

// Snapshot describes the state, with no size.
func (eff TakeSnapshot) Snapshot() Snapshot { return eff.snap }

// StorePiece writes a piece of a received snapshot and answers with
// PieceStored. The last piece is complete on disk before the answer.
type StorePiece struct {
	from   model.VMID
	snap   Snapshot
	offset uint64
	data   []byte
}

// From returns the VM that sent the piece.
func (eff StorePiece) From() model.VMID { return eff.from }

// Snapshot describes the whole snapshot.
func (eff StorePiece) Snapshot() Snapshot { return eff.snap }

// Offset returns where the piece starts.
func (eff StorePiece) Offset() uint64 { return eff.offset }

// Data returns the piece.
func (eff StorePiece) Data() []byte { return eff.data }

// Last reports whether the piece completes the snapshot.
func (eff StorePiece) Last() bool { return eff.offset+uint64(len(eff.data)) >= eff.snap.size }

// Install replaces the state of the replica by the received snapshot.
type Install struct{ snap Snapshot }

// Snapshot describes the received state.
func (eff Install) Snapshot() Snapshot { return eff.snap }

// Accepted tells that a proposal or change is in the leader's log. It is
// carried out if the entry with this index and term is applied.
type Accepted struct {
	id    uint64
	index uint64
	term  uint64
}

// ID returns the identifier of the proposal.
func (eff Accepted) ID() uint64 { return eff.id }

// Index returns the position in the log.
func (eff Accepted) Index() uint64 { return eff.index }

// Term returns the term of the entry.
func (eff Accepted) Term() uint64 { return eff.term }

// Refused tells that a proposal, change or transfer had no effect.
type Refused struct {
	id  uint64
	err error
}

// ID returns the identifier of what was refused.
func (eff Refused) ID() uint64 { return eff.id }

// Err returns the reason.
func (eff Refused) Err() error { return eff.err }

// RoleChanged tells that the role differs from the last one.
type RoleChanged struct{ role Role }

// Role returns the new role.
func (eff RoleChanged) Role() Role { return eff.role }

// Report adds an event to the timeline.
type Report struct{ event event.Event }

// Event returns the event.
func (eff Report) Event() event.Event { return eff.event }

func (Send) effect()         {}
func (SendPiece) effect()    {}
func (Persist) effect()      {}
func (Compact) effect()      {}
func (Apply) effect()        {}
func (TakeSnapshot) effect() {}
func (StorePiece) effect()   {}
func (Install) effect()      {}
func (Accepted) effect()     {}
func (Refused) effect()      {}
func (RoleChanged) effect()  {}
func (Report) effect()       {}
