package wire

import (
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

// QuorumMessageToProto returns the wire message for a message between the replicas of the
// named group.
func QuorumMessageToProto(group string, msg quorum.Message) *QuorumMessage {
	spec := msg.Spec()
	out := &QuorumMessage{
		Group: group, Kind: uint32(spec.Kind), Term: spec.Term, Disk: string(spec.Disk), ToDisk: string(spec.ToDisk),
		Index: spec.Index, LogTerm: spec.LogTerm, Commit: spec.Commit, Entries: quorumEntriesToProto(spec.Entries),
		Sent: int64(spec.Sent), Reject: spec.Reject, Transfer: spec.Transfer, Acked: spec.Acked, SinceContactNs: int64(spec.SinceContact),
		Offset: spec.Offset, Data: spec.Data,
	}
	for _, ack := range spec.Acks {
		out.Acks = append(out.Acks, &QuorumAck{Disk: string(ack.Disk()), Index: ack.Index()})
	}
	if spec.Snapshot.Index() > 0 {
		out.Snapshot = quorumSnapshotToProto(spec.Snapshot)
	}
	return out
}

// QuorumMessageFromProto returns the message between replicas that msg encodes; it was sent
// by the VM from to the VM to.
func QuorumMessageFromProto(from, to model.VMID, msg *QuorumMessage) quorum.Message {
	spec := quorum.MessageSpec{
		Kind: quorum.MessageKind(msg.GetKind()), From: from, To: to, Term: msg.GetTerm(),
		Disk: quorum.DiskID(msg.GetDisk()), ToDisk: quorum.DiskID(msg.GetToDisk()),
		Index: msg.GetIndex(), LogTerm: msg.GetLogTerm(), Commit: msg.GetCommit(),
		Entries: quorumEntriesFromProto(msg.GetEntries()), Sent: model.Instant(msg.GetSent()),
		Reject: msg.GetReject(), Transfer: msg.GetTransfer(), Acked: msg.GetAcked(), SinceContact: time.Duration(msg.GetSinceContactNs()),
		Snapshot: quorumSnapshotFromProto(msg.GetSnapshot()), Offset: msg.GetOffset(), Data: msg.GetData(),
	}
	for _, ack := range msg.GetAcks() {
		spec.Acks = append(spec.Acks, quorum.NewAck(quorum.DiskID(ack.GetDisk()), ack.GetIndex()))
	}
	return quorum.NewMessage(spec)
}

func quorumEntriesToProto(ents []quorum.Entry) []*QuorumEntry {
	out := make([]*QuorumEntry, 0, len(ents))
	for _, ent := range ents {
		msg := &QuorumEntry{Index: ent.Index(), Term: ent.Term(), Kind: uint32(ent.Kind()), Data: ent.Data()}
		if ent.Kind() == quorum.EntryMembers {
			msg.Members = quorumMembersToProto(ent.Members())
		}
		out = append(out, msg)
	}
	return out
}

func quorumEntriesFromProto(msgs []*QuorumEntry) []quorum.Entry {
	var out []quorum.Entry
	for _, msg := range msgs {
		if kind := quorum.EntryKind(msg.GetKind()); kind == quorum.EntryMembers {
			out = append(out, quorum.NewMembersEntry(msg.GetIndex(), msg.GetTerm(), quorumMembersFromProto(msg.GetMembers())))
		} else {
			out = append(out, quorum.NewEntry(msg.GetIndex(), msg.GetTerm(), kind, msg.GetData()))
		}
	}
	return out
}

func quorumMembersToProto(mems quorum.Members) *QuorumMembers {
	out := &QuorumMembers{Founding: mems.Bootstrap()}
	for _, mem := range mems.List() {
		out.Members = append(out.Members, &QuorumMember{Vm: string(mem.VM()), Disk: string(mem.Disk()), Voter: mem.Voter()})
	}
	return out
}

func quorumMembersFromProto(msg *QuorumMembers) quorum.Members {
	var lst []quorum.Member
	for _, mem := range msg.GetMembers() {
		lst = append(lst, quorum.NewMember(model.VMID(mem.GetVm()), quorum.DiskID(mem.GetDisk()), mem.GetVoter()))
	}
	return quorum.NewMembers(msg.GetFounding(), lst...)
}

func quorumSnapshotToProto(snap quorum.Snapshot) *QuorumSnapshot {
	return &QuorumSnapshot{
		Index: snap.Index(), Term: snap.Term(), Members: quorumMembersToProto(snap.Members()),
		MembersIndex: snap.MembersIndex(), Size: snap.Size(),
	}
}

func quorumSnapshotFromProto(msg *QuorumSnapshot) quorum.Snapshot {
	return quorum.NewSnapshot(msg.GetIndex(), msg.GetTerm(), quorumMembersFromProto(msg.GetMembers()), msg.GetMembersIndex()).
		WithSize(msg.GetSize())
}

// EncodeQuorumSnapshot encodes the description of a snapshot, without its data.
func EncodeQuorumSnapshot(snap quorum.Snapshot) ([]byte, error) {
	buf, err := proto.Marshal(quorumSnapshotToProto(snap))
	return buf, errors.Trace(err)
}

// DecodeQuorumSnapshot decodes the description of a snapshot.
func DecodeQuorumSnapshot(buf []byte) (quorum.Snapshot, error) {
	var msg QuorumSnapshot
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return quorum.Snapshot{}, errors.Trace(err)
	}
	return quorumSnapshotFromProto(&msg), nil
}

// QuorumRecordToProto returns the record that stores a change of the hard state and
// the log.
func QuorumRecordToProto(hs quorum.HardState, ents []quorum.Entry) *QuorumRecord {
	return &QuorumRecord{Term: hs.Term(), Vote: string(hs.Vote()), Entries: quorumEntriesToProto(ents)}
}

// QuorumRecordFromProto returns the hard state and the entries of a stored record.
func QuorumRecordFromProto(rec *QuorumRecord) (quorum.HardState, []quorum.Entry) {
	return quorum.NewHardState(rec.GetTerm(), model.VMID(rec.GetVote())), quorumEntriesFromProto(rec.GetEntries())
}
