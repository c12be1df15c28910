package quorum

import "guavarail/core/model"

// MessageKind is a type of message between replicas.
type MessageKind uint8

// The kinds of messages.
const (
	PreVote MessageKind = iota + 1
	PreVoteReply
	Vote
	VoteReply
	Append
	AppendReply
	Piece
	PieceReply
	// TimeoutNow asks the target of a transfer to start an election at once.
	TimeoutNow
)

// Ack is the highest committed index that a disk is known to have
// acknowledged.
type Ack struct {
	disk  DiskID
	index uint64
}

// NewAck returns an acknowledgement.
func NewAck(disk DiskID, index uint64) Ack { return Ack{disk: disk, index: index} }

// Disk returns the disk that acknowledged.
func (ak Ack) Disk() DiskID { return ak.disk }

// Index returns the acknowledged index.
func (ak Ack) Index() uint64 { return ak.index }

// MessageSpec is the input of NewMessage. Fields that a kind does not use are
// zero.
type MessageSpec struct {
	Kind MessageKind
	From model.VMID
	To   model.VMID
	Term uint64
	// Disk is the sender's disk.
	Disk DiskID
	// ToDisk is the disk that the sender knows the receiver to have.
	ToDisk DiskID
	// Index is the last entry of a candidate, the entry before the first one
	// sent, the entry that an AppendReply acknowledges, or, when it rejects,
	// the highest one that may match.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	Commit  uint64
	Entries []Entry
	// Sent is the time on the leader's clock at which a round was sent. The
	// reply returns it.
	Sent model.Instant
	// Reject is set when a vote is refused or an append does not fit.
	Reject bool
	// Transfer is set when the leader asked the candidate to take over.
	Transfer bool
	// Acked is the highest committed index that the receiver's disk is known
	// to have acknowledged.
	Acked uint64
	Acks  []Ack
	// Snapshot, Offset and Data describe a piece; Offset of a PieceReply is
	// the start of the next one.
	Snapshot Snapshot
	Offset   uint64
	Data     []byte
}

// Message is one message between two replicas.
type Message struct {
	// spec is not changed after the message was made.
	spec MessageSpec
}

// NewMessage returns the message that spec describes.
func NewMessage(spec MessageSpec) Message { return Message{spec: spec} }

// Spec returns what the message was made from. Its slices must not be changed.
func (msg Message) Spec() MessageSpec { return msg.spec }

// Kind returns the type of the message.
func (msg Message) Kind() MessageKind { return msg.spec.Kind }

// From returns the sender.
func (msg Message) From() model.VMID { return msg.spec.From }

// To returns the receiver.
func (msg Message) To() model.VMID { return msg.spec.To }
