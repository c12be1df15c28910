package wire

import (
	"reflect"
	"testing"

	"guavarail/core/member"
)

// Guards against enumerations whose numbers differ between core/member and the wire,
// and against a field that is not encoded.
func TestMemberMessagesSurviveTheWire(t *testing.T) {
	for kind, want := range map[member.Kind]MemberKind{
		member.Ping: MemberKind_MEMBER_KIND_PING, member.Ack: MemberKind_MEMBER_KIND_ACK,
		member.Nack: MemberKind_MEMBER_KIND_NACK, member.PingRequest: MemberKind_MEMBER_KIND_ASK,
	} {
		for state, wantState := range map[member.State]MemberState{
			member.Unknown: MemberState_MEMBER_STATE_UNKNOWN, member.Alive: MemberState_MEMBER_STATE_ALIVE,
			member.Suspect: MemberState_MEMBER_STATE_SUSPECT, member.Dead: MemberState_MEMBER_STATE_DEAD,
		} {
			msg := member.NewMessage(kind, 7, "t", 8, member.NewUpdate("v", state, 9))
			enc := MemberToProto(msg)
			if enc.GetKind() != want || enc.GetNews()[0].GetState() != wantState {
				t.Errorf("%v and %v are %v", kind, state, enc)
			}
			if got, ok := MemberFromProto(enc); !ok || !reflect.DeepEqual(got, msg) {
				t.Errorf("decoded %+v, want %+v", got, msg)
			}
		}
	}
	if _, ok := MemberFromProto(&MemberMessage{Kind: 99}); ok {
		t.Error("an unknown kind was accepted")
	}
}
