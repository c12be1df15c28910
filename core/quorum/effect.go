package quorum

import (
	"guavarail/core/event"
	"guavarail/core/model"
)

// Effect is an action that the owner of a node must execute.
type Effect interface{ effect() }

// Send sends a message to another replica.
type Send struct{ msg Message }

// Message returns the message.
func (eff Send) Message() Message { return eff.msg }

// SendChunk sends a snapshot chunk. The owner first sets the data of the message
// to length bytes of the stored snapshot, starting at the message's offset.
type SendChunk struct {
	msg    Message
	length uint64
}

// Message returns the message without its data.
func (eff SendChunk) Message() Message { return eff.msg }

// Length returns the length of the chunk in bytes.
func (eff SendChunk) Length() uint64 { return eff.length }

// Persist writes the hard state and entries to the store, which responds with
// Persisted after the sync. Each entry replaces all stored entries with the same
// or a higher index.
type Persist struct {
	seq       uint64
	hardState HardState
	entries   []Entry
}

// Seq returns the write number that the Persisted response must carry.
func (eff Persist) Seq() uint64 { return eff.seq }

// HardState returns the term and vote to store.
func (eff Persist) HardState() HardState { return eff.hardState }

// Entries returns the entries to store, in the order of their indexes. It is
// empty if only the hard state has changed.
func (eff Persist) Entries() []Entry { return eff.entries }

// Compact replaces the stored log with the entries after the snapshot. The store
// responds with Persisted after the sync.
type Compact struct {
	seq    uint64
	stored StoredState
}

// Seq returns the write number that the Persisted response must carry.
func (eff Compact) Seq() uint64 { return eff.seq }

// Stored returns the complete state that the store holds afterwards.
func (eff Compact) Stored() StoredState { return eff.stored }

// Apply reports a committed entry. The owner executes the command of an
// EntryCommand on the Replica; entries of other kinds do not concern it. Indexes
// are consecutive; after InstallSnapshot they continue with the entry after the
// snapshot.
type Apply struct{ entry Entry }

// Entry returns the committed entry.
func (eff Apply) Entry() Entry { return eff.entry }

// TakeSnapshot stores a snapshot of the state of the Replica after exactly the
// entries of the Apply effects emitted before. The store responds with
// SnapshotSaved after the sync.
type TakeSnapshot struct{ snap Snapshot }

// Snapshot describes the snapshot; its size is zero.
func (eff TakeSnapshot) Snapshot() Snapshot { return eff.snap }

// StoreChunk writes a chunk of a received snapshot. The store responds with
// ChunkStored, after the last chunk only once the whole snapshot is synced.
type StoreChunk struct {
	from   model.VMID
	snap   Snapshot
	offset uint64
	data   []byte
}

// From returns the VM that sent the chunk.
func (eff StoreChunk) From() model.VMID { return eff.from }

// Snapshot describes the snapshot that the chunk belongs to.
func (eff StoreChunk) Snapshot() Snapshot { return eff.snap }

// Offset returns the start of the chunk in the encoded snapshot, in bytes.
func (eff StoreChunk) Offset() uint64 { return eff.offset }

// Data returns the content of the chunk.
func (eff StoreChunk) Data() []byte { return eff.data }

// Last reports whether the chunk completes the snapshot.
func (eff StoreChunk) Last() bool { return eff.offset+uint64(len(eff.data)) >= eff.snap.size }

// InstallSnapshot restores the Replica from a received snapshot, which the store
// holds completely.
type InstallSnapshot struct{ snap Snapshot }

// Snapshot describes the received snapshot.
func (eff InstallSnapshot) Snapshot() Snapshot { return eff.snap }

// Accepted reports that the leader has appended a proposal or change to its
// log. It is not committed yet: it takes effect if an entry with this index and
// term is applied, and is lost if another entry is applied at this index. After
// InstallSnapshot with this or a higher index it is unknown which of both holds.
type Accepted struct {
	id    uint64
	index uint64
	term  uint64
}

// ID returns the identifier of the proposal or change.
func (eff Accepted) ID() uint64 { return eff.id }

// Index returns the index of the entry.
func (eff Accepted) Index() uint64 { return eff.index }

// Term returns the term of the entry.
func (eff Accepted) Term() uint64 { return eff.term }

// Rejected reports that a proposal, change or transfer was rejected and has no
// effect.
type Rejected struct {
	id  uint64
	err error
}

// ID returns the identifier of the rejected request.
func (eff Rejected) ID() uint64 { return eff.id }

// Err returns the reason: a *NotLeaderError, *ChangeError or *TransferError.
func (eff Rejected) Err() error { return eff.err }

// RoleChanged reports a new role. It is not emitted if only the applied index or
// the end of the lease has changed.
type RoleChanged struct{ role Role }

// Role returns the new role.
func (eff RoleChanged) Role() Role { return eff.role }

// RecordEvent adds an event to the timeline.
type RecordEvent struct{ event event.Event }

// Event returns the event.
func (eff RecordEvent) Event() event.Event { return eff.event }

func (Send) effect()            {}
func (SendChunk) effect()       {}
func (Persist) effect()         {}
func (Compact) effect()         {}
func (Apply) effect()           {}
func (TakeSnapshot) effect()    {}
func (StoreChunk) effect()      {}
func (InstallSnapshot) effect() {}
func (Accepted) effect()        {}
func (Rejected) effect()        {}
func (RoleChanged) effect()     {}
func (RecordEvent) effect()     {}
