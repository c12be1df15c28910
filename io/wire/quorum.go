package wire

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

// QuorumMessageToProto returns the wire form of a message of the named group.
func QuorumMessageToProto(group string, msg quorum.Message) *QuorumMessage {
	spec := msg.Spec()
	out := &QuorumMessage{
		Group: group, Kind: uint32(spec.Kind), Term: spec.Term, Disk: string(spec.Disk), ToDisk: string(spec.ToDisk),
		Index: spec.Index, LogTerm: spec.LogTerm, Commit: spec.Commit, Entries: quorumEntriesTo(spec.Entries),
		Sent: int64(spec.Sent), Reject: spec.Reject, Transfer: spec.Transfer, Acked: spec.Acked,
		Offset: spec.Offset, Data: spec.Data,
	}
	for _, ack := range spec.Acks {
		out.Acks = append(out.Acks, &QuorumAck{Disk: string(ack.Disk()), Index: ack.Index()})
	}
	if spec.Snapshot.Index() > 0 {
		out.Snapshot = quorumSnapshotTo(spec.Snapshot)
	}
	return out
}

// QuorumMessageFromProto returns the message that from sent to the VM to.
func QuorumMessageFromProto(from, to model.VMID, msg *QuorumMessage) quorum.Message {
	spec := quorum.MessageSpec{
		Kind: quorum.MessageKind(msg.GetKind()), From: from, To: to, Term: msg.GetTerm(),
		Disk: quorum.DiskID(msg.GetDisk()), ToDisk: quorum.DiskID(msg.GetToDisk()),
		Index: msg.GetIndex(), LogTerm: msg.GetLogTerm(), Commit: msg.GetCommit(),
		Entries: quorumEntriesFrom(msg.GetEntries()), Sent: model.Instant(msg.GetSent()),
		Reject: msg.GetReject(), Transfer: msg.GetTransfer(), Acked: msg.GetAcked(),
		Snapshot: quorumSnapshotFrom(msg.GetSnapshot()), Offset: msg.GetOffset(), Data: msg.GetData(),
	}
	for _, ack := range msg.GetAcks() {
		spec.Acks = append(spec.Acks, quorum.NewAck(quorum.DiskID(ack.GetDisk()), ack.GetIndex()))
	}
	return quorum.NewMessage(spec)
}

func quorumEntriesTo(ents []quorum.Entry) []*QuorumEntry {
	out := make([]*QuorumEntry, 0, len(ents))
	for _, ent := range ents {
		wir := &QuorumEntry{Index: ent.Index(), Term: ent.Term(), Kind: uint32(ent.Kind()), Data: ent.Data()}
		if ent.Kind() == quorum.EntryMembers {
			wir.Members = quorumMembersTo(ent.Members())
		}
		out = append(out, wir)
	}
	return out
}

func quorumEntriesFrom(wirs []*QuorumEntry) []quorum.Entry {
	var out []quorum.Entry
	for _, wir := range wirs {
		if kind := quorum.EntryKind(wir.GetKind()); kind == quorum.EntryMembers {
			out = append(out, quorum.NewMembersEntry(wir.GetIndex(), wir.GetTerm(), quorumMembersFrom(wir.GetMembers())))
		} else {
			out = append(out, quorum.NewEntry(wir.GetIndex(), wir.GetTerm(), kind, wir.GetData()))
		}
	}
	return out
}

func quorumMembersTo(mems quorum.Members) *QuorumMembers {
	out := &QuorumMembers{Founding: mems.Bootstrap()}
	for _, mem := range mems.List() {
		out.Members = append(out.Members, &QuorumMember{Vm: string(mem.VM()), Disk: string(mem.Disk()), Voter: mem.Voter()})
	}
	return out
}

func quorumMembersFrom(wir *QuorumMembers) quorum.Members {
	var lst []quorum.Member
	for _, mem := range wir.GetMembers() {
		lst = append(lst, quorum.NewMember(model.VMID(mem.GetVm()), quorum.DiskID(mem.GetDisk()), mem.GetVoter()))
	}
	return quorum.NewMembers(wir.GetFounding(), lst...)
}

func quorumSnapshotTo(snap quorum.Snapshot) *QuorumSnapshot {
	return &QuorumSnapshot{
		Index: snap.Index(), Term: snap.Term(), Members: quorumMembersTo(snap.Members()),
		MembersIndex: snap.MembersIndex(), Size: snap.Size(),
	}
}

func quorumSnapshotFrom(wir *QuorumSnapshot) quorum.Snapshot {
	return quorum.NewSnapshot(wir.GetIndex(), wir.GetTerm(), quorumMembersFrom(wir.GetMembers()), wir.GetMembersIndex()).
		WithSize(wir.GetSize())
}

// EncodeQuorumSnapshot returns the stored form of a snapshot's description.
func EncodeQuorumSnapshot(snap quorum.Snapshot) ([]byte, error) {
	buf, err := proto.Marshal(quorumSnapshotTo(snap))
	return buf, errors.Trace(err)
}

// DecodeQuorumSnapshot reverses EncodeQuorumSnapshot.
func DecodeQuorumSnapshot(buf []byte) (quorum.Snapshot, error) {
	var wir QuorumSnapshot
	if err := proto.Unmarshal(buf, &wir); err != nil {
		return quorum.Snapshot{}, errors.Trace(err)
	}
	return quorumSnapshotFrom(&wir), nil
}

// QuorumRecordToProto returns the stored form of a change of the log.
func QuorumRecordToProto(hard quorum.HardState, ents []quorum.Entry) *QuorumRecord {
	return &QuorumRecord{Term: hard.Term(), Vote: string(hard.Vote()), Entries: quorumEntriesTo(ents)}
}

// QuorumRecordFromProto reverses QuorumRecordTo.
func QuorumRecordFromProto(rec *QuorumRecord) (quorum.HardState, []quorum.Entry) {
	return quorum.NewHardState(rec.GetTerm(), model.VMID(rec.GetVote())), quorumEntriesFrom(rec.GetEntries())
}
