package quorum

import "guavarail/core/model"

// DiskID identifies one data directory. A replaced or emptied disk has another
// identity.
type DiskID string

// EntryKind says what a log entry holds.
type EntryKind uint8

// The kinds of entries.
const (
	// EntryEmpty is written by a new leader to commit the entries before it.
	EntryEmpty EntryKind = iota
	// EntryCommand holds one encoded command of the replica.
	EntryCommand
	// EntryMembers holds the members from this entry on.
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

// NewEntry returns an entry without members.
func NewEntry(index, term uint64, kind EntryKind, data []byte) Entry {
	return Entry{index: index, term: term, kind: kind, data: data}
}

// NewMembersEntry returns an entry that changes the members.
func NewMembersEntry(index, term uint64, mems Members) Entry {
	return Entry{index: index, term: term, kind: EntryMembers, members: mems}
}

// Index returns the position in the log, counted from 1.
func (ent Entry) Index() uint64 { return ent.index }

// Term returns the term of the leader that added the entry.
func (ent Entry) Term() uint64 { return ent.term }

// Kind returns what the entry holds.
func (ent Entry) Kind() EntryKind { return ent.kind }

// Data returns the encoded command. It must not be changed.
func (ent Entry) Data() []byte { return ent.data }

// Members returns the members of an EntryMembers.
func (ent Entry) Members() Members { return ent.members }

// entryOverhead approximates the size of an entry without its data.
const entryOverhead = 32

func (ent Entry) size() int { return entryOverhead + len(ent.data) }

// Hard is the part of the state that must be on disk before a message that
// depends on it is sent, besides the log.
type Hard struct {
	term uint64
	vote model.VMID
}

// NewHard returns a hard state.
func NewHard(term uint64, vote model.VMID) Hard { return Hard{term: term, vote: vote} }

// Term returns the highest term seen.
func (hs Hard) Term() uint64 { return hs.term }

// Vote returns the VM that got the vote of this term.
func (hs Hard) Vote() model.VMID { return hs.vote }

// Snapshot describes a stored state of the replica.
type Snapshot struct {
	index        uint64
	term         uint64
	members      Members
	membersIndex uint64
	size         uint64
}

// NewSnapshot returns the description of the state after the entry at index;
// the members come from the entry at membersIndex.
func NewSnapshot(index, term uint64, mems Members, membersIndex uint64) Snapshot {
	return Snapshot{index: index, term: term, members: mems, membersIndex: membersIndex}
}

// WithSize returns the description with the size of the encoded state.
func (sn Snapshot) WithSize(size uint64) Snapshot {
	sn.size = size
	return sn
}

// Index returns the last entry that the state contains.
func (sn Snapshot) Index() uint64 { return sn.index }

// Term returns the term of that entry.
func (sn Snapshot) Term() uint64 { return sn.term }

// Members returns the members at that entry.
func (sn Snapshot) Members() Members { return sn.members }

// MembersIndex returns the entry that set the members.
func (sn Snapshot) MembersIndex() uint64 { return sn.membersIndex }

// Size returns the bytes of the encoded state.
func (sn Snapshot) Size() uint64 { return sn.size }

// Saved is what a store holds of a replica.
type Saved struct {
	hard    Hard
	snap    Snapshot
	entries []Entry
}

// NewSaved returns stored state. The entries follow each other from the one
// after the snapshot.
func NewSaved(hard Hard, snap Snapshot, ents []Entry) Saved {
	return Saved{hard: hard, snap: snap, entries: ents}
}

// Hard returns the stored term and vote.
func (sv Saved) Hard() Hard { return sv.hard }

// Snapshot returns the stored snapshot; its index is 0 when there is none.
func (sv Saved) Snapshot() Snapshot { return sv.snap }

// Entries returns the log after the snapshot.
func (sv Saved) Entries() []Entry { return sv.entries }
