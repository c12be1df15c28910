package quorum

import "guavarail/core/model"

// MessageKind is the type of a message between replicas.
type MessageKind uint8

// The kinds of messages.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	// Append carries log entries, or none as a heartbeat.
	Append
	AppendReply
	SnapshotChunk
	SnapshotChunkReply
	// TimeoutNow makes the target of a leadership transfer start an election
	// without waiting for its election timeout.
	TimeoutNow
)

// Ack is the highest committed index that a disk is known to have
// acknowledged. The leader distributes it, so that the other replicas detect a
// disk that was replaced by an older copy.
type Ack struct {
	disk  DiskID
	index uint64
}

// NewAck returns an acknowledgement.
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
	Term uint64
	// Disk identifies the sender's disk.
	Disk DiskID
	// ToDisk is the receiver's disk according to the sender's configuration, or
	// empty if it is unknown.
	ToDisk DiskID
	// Index is the last entry of the candidate in PreVote and Vote, and the
	// entry before Entries in Append. In AppendReply it is the acknowledged
	// entry or, with Reject, the highest entry that may match the leader's log.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Sent is the send time of the request on the leader's clock. The reply
	// echoes it.
	Sent model.Instant
	// Reject is set in replies if the vote is rejected or the entries do not
	// follow the receiver's log.
	Reject bool
	// Transfer is set in a Vote that TimeoutNow caused.
	Transfer bool
	// Acked is the highest committed index that the receiver's disk is known
	// to have acknowledged. The receiver detects by it that its disk is stale.
	Acked uint64
	// Acks lists that index for the disks of all voters.
	Acks []Ack
	// Snapshot, Offset and Data hold a snapshot chunk. In SnapshotChunkReply,
	// Offset is the start of the next chunk.
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
