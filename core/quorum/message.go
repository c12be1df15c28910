package quorum

import (
	"time"

	"guavarail/core/model"
)

// MessageKind is the type of a message between replicas.
type MessageKind uint8

// The kinds of messages.
const (
	// PreVote asks a voter whether it would vote for the sender in a new term.
	PreVote MessageKind = iota + 1
	PreVoteReply
	// Vote asks a voter for its vote in the term of the message.
	Vote
	VoteReply
	// Append carries log entries, or none as a heartbeat.
	Append
	AppendReply
	// SnapshotChunk carries a part of the encoded snapshot.
	SnapshotChunk
	SnapshotChunkReply
	// TimeoutNow makes the target of a leadership transfer start an election
	// without waiting for its election timeout.
	TimeoutNow
)

// Ack is the index of the last committed entry that a disk is known to have
// acknowledged. The leader distributes it, so that the other replicas detect a
// disk that was replaced by an older copy.
type Ack struct {
	disk  DiskID
	index uint64
}

// NewAck returns the acknowledgement of the entry at index by disk.
func NewAck(disk DiskID, index uint64) Ack { return Ack{disk: disk, index: index} }

// Disk returns the disk that acknowledged the entry.
func (ak Ack) Disk() DiskID { return ak.disk }

// Index returns the acknowledged index.
func (ak Ack) Index() uint64 { return ak.index }

// MessageSpec holds the fields of a message. Fields that a kind does not use
// are zero.
type MessageSpec struct {
	Kind MessageKind
	From model.VMID
	To   model.VMID
	// Term is the term of the sender. In PreVote, and in a PreVoteReply that
	// grants the vote, it is the term of the election that the candidate would
	// start.
	Term uint64
	// Disk identifies the sender's disk.
	Disk DiskID
	// ToDisk is the receiver's disk according to the sender's configuration, or
	// empty if it is unknown.
	ToDisk DiskID
	// Index is the last entry of the candidate in PreVote and Vote, and the
	// entry before Entries in Append. In AppendReply and SnapshotChunkReply it
	// is the acknowledged entry: the last one that matches the leader's log and
	// is on disk. In AppendReply with Reject it is the highest entry that may
	// match the leader's log, or 0.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	// Commit is the leader's commit index in Append.
	Commit  uint64
	Entries []Entry
	// Sent is the send time of an Append or SnapshotChunk on the leader's clock.
	// The reply echoes it; a reply after a disk write echoes the latest one.
	Sent model.Instant
	// Reject is set in replies if the vote is rejected, the entries do not follow
	// the receiver's log, or the request has an earlier term or another ToDisk.
	Reject bool
	// SinceContact is, in a VoteReply that grants the vote, how long no leader has
	// relied on the voter for its lease; 0 from replicas of earlier versions.
	SinceContact time.Duration
	// Transfer is set in a Vote that TimeoutNow caused.
	Transfer bool
	// Acked is the index of the last committed entry that the receiver's disk is
	// known to have acknowledged. A receiver whose log ends before it has a stale
	// disk.
	Acked uint64
	// Acks lists that index for the disks of all voters. It is only set in the
	// first heartbeat to a member after a change.
	Acks []Ack
	// Snapshot, Offset and Data hold a snapshot chunk. In SnapshotChunkReply,
	// Offset is the start of the next chunk. Offsets are in bytes of the encoded
	// snapshot.
	Snapshot Snapshot
	Offset   uint64
	Data     []byte
}

// Message is one message between two replicas.
type Message struct {
	// spec is immutable once the message is created.
	spec MessageSpec
}

// NewMessage returns the message that spec describes.
func NewMessage(spec MessageSpec) Message { return Message{spec: spec} }

// Spec returns the fields of the message. Its slices must not be modified.
func (msg Message) Spec() MessageSpec { return msg.spec }

// Kind returns the type of the message.
func (msg Message) Kind() MessageKind { return msg.spec.Kind }

// From returns the sender.
func (msg Message) From() model.VMID { return msg.spec.From }

// To returns the receiver.
func (msg Message) To() model.VMID { return msg.spec.To }
