package wire

import (
	"reflect"
	"testing"

	"google.golang.org/protobuf/proto"

	"guavarail/core/quorum"
)

// Guards against a field that is not encoded: the receiver would read its zero value
// without an error.
func TestQuorumMessageRoundTrip(t *testing.T) {
	mems := quorum.NewMembers(true, quorum.NewMember("a", "d1", true), quorum.NewMember("b", "", false))
	spec := quorum.MessageSpec{
		Kind: quorum.Append, From: "a", To: "b", Term: 1, Disk: "d1", ToDisk: "d2", Index: 2, LogTerm: 3, Commit: 4,
		Entries: []quorum.Entry{quorum.NewEntry(5, 1, quorum.EntryCommand, []byte("x")), quorum.NewMembersEntry(6, 1, mems)},
		Sent:    -7, Reject: true, SinceContact: 13, Transfer: true, Acked: 8, Acks: []quorum.Ack{quorum.NewAck("d2", 9)},
		Snapshot: quorum.NewSnapshot(10, 1, mems, 6).WithSize(11), Offset: 12, Data: []byte("y"),
	}
	for pos, val := 0, reflect.ValueOf(spec); pos < val.NumField(); pos++ {
		if val.Field(pos).IsZero() {
			t.Errorf("%s is not tested", val.Type().Field(pos).Name)
		}
	}
	buf, err := proto.Marshal(QuorumMessageToProto("g", quorum.NewMessage(spec)))
	if err != nil {
		t.Fatal(err)
	}
	var msg QuorumMessage
	if err := proto.Unmarshal(buf, &msg); err != nil {
		t.Fatal(err)
	}
	if got := QuorumMessageFromProto("a", "b", &msg).Spec(); !reflect.DeepEqual(got, spec) || msg.GetGroup() != "g" {
		t.Errorf("got %+v, want %+v", got, spec)
	}
}
