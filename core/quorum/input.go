package quorum

import (
	"time"

	"guavarail/core/model"
)

// Input is an input of Node.Step.
type Input interface{ input() }

// Tick makes the node check its timers. The owner sends it at a fixed interval,
// which limits the precision of heartbeats and elections.
type Tick struct{}

// Proposal is one encoded command. Accepted and Rejected carry its identifier,
// which is local to the owner of the node.
type Proposal struct {
	id   uint64
	data []byte
}

// NewProposal returns a proposal of the encoded command data.
func NewProposal(id uint64, data []byte) Proposal { return Proposal{id: id, data: data} }

// Propose asks the leader to append commands to the log.
type Propose struct{ list []Proposal }

// NewPropose returns an input that proposes the commands in the given order.
func NewPropose(list ...Proposal) Propose { return Propose{list: list} }

// ProposeChange asks the leader to change the configuration.
type ProposeChange struct {
	id     uint64
	change Change
	// timeout is the time after which the change is rejected if it is not in the
	// log yet. Zero selects changeTimeout.
	timeout time.Duration
}

// NewProposeChange returns an input that proposes chg. Accepted and Rejected
// carry id.
func NewProposeChange(id uint64, chg Change) ProposeChange { return ProposeChange{id: id, change: chg} }

// WithTimeout returns a copy that is rejected after timeout if the members that the
// change depends on do not reply or catch up.
func (in ProposeChange) WithTimeout(timeout time.Duration) ProposeChange {
	in.timeout = timeout
	return in
}

// Transfer asks the leader to transfer leadership to another voter. RoleChanged
// reports success, Rejected failure.
type Transfer struct{ id uint64 }

// NewTransfer returns an input that asks for a transfer. Rejected carries id.
func NewTransfer(id uint64) Transfer { return Transfer{id: id} }

// Receive delivers a message from another replica.
type Receive struct{ msg Message }

// NewReceive returns an input that delivers msg.
func NewReceive(msg Message) Receive { return Receive{msg: msg} }

// Persisted reports that every write up to and including a Persist or Compact
// is on disk.
type Persisted struct{ seq uint64 }

// NewPersisted returns the response to the Persist or Compact with number seq.
func NewPersisted(seq uint64) Persisted { return Persisted{seq: seq} }

// SnapshotSaved reports that a snapshot taken by this replica is on disk.
type SnapshotSaved struct{ snap Snapshot }

// NewSnapshotSaved returns the response to TakeSnapshot. The size of snap must
// be set.
func NewSnapshotSaved(snap Snapshot) SnapshotSaved { return SnapshotSaved{snap: snap} }

// ChunkStored reports that a chunk of a received snapshot is written. After the
// last chunk the snapshot is synced to disk.
type ChunkStored struct {
	from   model.VMID
	snap   Snapshot
	offset uint64
}

// NewChunkStored returns the response to StoreChunk. offset is the end of the
// chunk in the encoded snapshot, in bytes.
func NewChunkStored(from model.VMID, snap Snapshot, offset uint64) ChunkStored {
	return ChunkStored{from: from, snap: snap, offset: offset}
}

// Halt makes the node passive until it is restarted, because its store or its
// Replica failed: it no longer votes, acknowledges or writes.
type Halt struct{ cause error }

// NewHalt returns an input that halts the node because of cause.
func NewHalt(cause error) Halt { return Halt{cause: cause} }

func (Tick) input()          {}
func (Propose) input()       {}
func (ProposeChange) input() {}
func (Transfer) input()      {}
func (Receive) input()       {}
func (Persisted) input()     {}
func (SnapshotSaved) input() {}
func (ChunkStored) input()   {}
func (Halt) input()          {}
