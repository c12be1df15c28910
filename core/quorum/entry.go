package quorum

import "guavarail/core/model"

// DiskID identifies one data directory. A directory that is replaced or emptied
// gets a new ID.
type DiskID string

// EntryKind is the type of a log entry.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty has no content. A new leader appends one, because committing an
	// entry of its own term also commits the entries of earlier terms.
	EntryEmpty EntryKind = iota
	// EntryCommand holds one encoded command of the Replica.
	EntryCommand
	// EntryMembers holds a configuration, the list of the group's members. It is
	// in effect from this entry on, even before the entry is committed.
	EntryMembers
)

// Entry is one record of the log.
type Entry struct {
	index   uint64
	term    uint64
	kind    EntryKind
	data    []byte
	members Members
}

// NewEntry returns an entry of any kind but EntryMembers.
func NewEntry(index, term uint64, kind EntryKind, data []byte) Entry {
	return Entry{index: index, term: term, kind: kind, data: data}
}

// NewMembersEntry returns an EntryMembers with the configuration mems.
func NewMembersEntry(index, term uint64, mems Members) Entry {
	return Entry{index: index, term: term, kind: EntryMembers, members: mems}
}

// Index returns the index of the entry in the log. The first entry has index 1.
func (ent Entry) Index() uint64 { return ent.index }

// Term returns the term of the leader that added the entry.
func (ent Entry) Term() uint64 { return ent.term }

// Kind returns the type of the entry.
func (ent Entry) Kind() EntryKind { return ent.kind }

// Data returns the encoded command, nil for other kinds than EntryCommand. The
// caller must not modify it.
func (ent Entry) Data() []byte { return ent.data }

// Members returns the configuration of an EntryMembers; it is empty for other
// kinds.
func (ent Entry) Members() Members { return ent.members }

// entryOverhead approximates the bytes of an entry without its data.
const entryOverhead = 32

func (ent Entry) size() int { return entryOverhead + len(ent.data) }

// HardState holds what Raft must store besides the log: the current term and the
// vote in that term. It must be on disk before a message that depends on it is
// sent. The zero value is that of a new replica.
type HardState struct {
	term uint64
	vote model.VMID
}

// NewHardState returns the hard state with the given term and vote.
func NewHardState(term uint64, vote model.VMID) HardState { return HardState{term: term, vote: vote} }

// Term returns the highest term seen.
func (hs HardState) Term() uint64 { return hs.term }

// Vote returns the VM that this replica voted for in the term, or "".
func (hs HardState) Vote() model.VMID { return hs.vote }

// Snapshot describes a stored snapshot of the Replica without its data. Its index
// is 0 if there is no snapshot.
type Snapshot struct {
	index        uint64
	term         uint64
	members      Members
	membersIndex uint64
	size         uint64
}

// NewSnapshot returns the description of a snapshot of the state after the entry
// at index. Its size is 0 until WithSize sets it. The entry at membersIndex set the
// configuration mems, which is in effect at index; membersIndex is 0 if mems comes
// from Config.
func NewSnapshot(index, term uint64, mems Members, membersIndex uint64) Snapshot {
	return Snapshot{index: index, term: term, members: mems, membersIndex: membersIndex}
}

// WithSize returns a copy with the size of the encoded state in bytes.
func (sn Snapshot) WithSize(size uint64) Snapshot {
	sn.size = size
	return sn
}

// Index returns the index of the last entry that the snapshot includes.
func (sn Snapshot) Index() uint64 { return sn.index }

// Term returns the term of that entry.
func (sn Snapshot) Term() uint64 { return sn.term }

// Members returns the configuration at that entry.
func (sn Snapshot) Members() Members { return sn.members }

// MembersIndex returns the index of the entry that set the configuration, or 0 if
// it comes from Config.
func (sn Snapshot) MembersIndex() uint64 { return sn.membersIndex }

// Size returns the size of the encoded state in bytes.
func (sn Snapshot) Size() uint64 { return sn.size }

// StoredState is what the store holds for a node: its hard state, its latest
// snapshot and the log after that. The zero value is that of a new replica.
type StoredState struct {
	hardState HardState
	snap      Snapshot
	entries   []Entry
}

// NewStoredState returns the state with the given parts. The entries are
// consecutive and start with the one after the snapshot.
func NewStoredState(hard HardState, snap Snapshot, ents []Entry) StoredState {
	return StoredState{hardState: hard, snap: snap, entries: ents}
}

// HardState returns the stored term and vote.
func (ss StoredState) HardState() HardState { return ss.hardState }

// Snapshot returns the stored snapshot. Its index is 0 if there is none.
func (ss StoredState) Snapshot() Snapshot { return ss.snap }

// Entries returns the log after the snapshot. The caller must not modify it.
func (ss StoredState) Entries() []Entry { return ss.entries }
