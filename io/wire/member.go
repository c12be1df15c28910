package wire

import (
	"guavarail/core/member"
	"guavarail/core/model"
)

// MemberKind and MemberState have the same numbers as the enumerations of core/member;
// TestMemberMessagesSurviveTheWire compares them.

// MemberToProto returns the message for a message of the failure detector.
func MemberToProto(msg member.Message) *MemberMessage {
	out := &MemberMessage{
		Kind: MemberKind(msg.Kind()), Seq: msg.Seq(), Target: string(msg.Target()), Incarnation: msg.Incarnation(),
	}
	for _, up := range msg.Updates() {
		out.News = append(out.News, &MemberNews{
			Vm: string(up.VM()), State: MemberState(up.State()), Incarnation: up.Incarnation(),
		})
	}
	return out
}

// MemberFromProto returns the failure detector's message that msg encodes. It returns
// false if the kind is unknown to this version, and drops updates with an unknown
// state.
func MemberFromProto(msg *MemberMessage) (member.Message, bool) {
	if _, ok := MemberKind_name[int32(msg.GetKind())]; !ok {
		return member.Message{}, false
	}
	var ups []member.Update
	for _, up := range msg.GetNews() {
		if _, ok := MemberState_name[int32(up.GetState())]; ok {
			ups = append(ups, member.NewUpdate(model.VMID(up.GetVm()), member.State(up.GetState()), up.GetIncarnation()))
		}
	}
	return member.NewMessage(member.Kind(msg.GetKind()), msg.GetSeq(), model.VMID(msg.GetTarget()), msg.GetIncarnation(), ups...), true
}
