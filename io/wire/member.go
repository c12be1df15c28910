package wire

import (
	"guavarail/core/member"
	"guavarail/core/model"
)

// The enumerations on the wire have the numbers of those in core/member, which
// a test guards.

// MemberToProto encodes a message of the failure detector.
func MemberToProto(msg member.Message) *MemberMessage {
	out := &MemberMessage{
		Kind: MemberKind(msg.Kind()), Seq: msg.Seq(), Target: string(msg.Target()), Incarnation: msg.Incarnation(),
	}
	for _, ne := range msg.Updates() {
		out.News = append(out.News, &MemberNews{
			Vm: string(ne.VM()), State: MemberState(ne.State()), Incarnation: ne.Incarnation(),
		})
	}
	return out
}

// MemberFromProto decodes a message of the failure detector. It returns false for a
// kind that this version does not know; updates with unknown states are left out.
func MemberFromProto(msg *MemberMessage) (member.Message, bool) {
	if _, ok := MemberKind_name[int32(msg.GetKind())]; !ok {
		return member.Message{}, false
	}
	var news []member.Update
	for _, ne := range msg.GetNews() {
		if _, ok := MemberState_name[int32(ne.GetState())]; ok {
			news = append(news, member.NewUpdate(model.VMID(ne.GetVm()), member.State(ne.GetState()), ne.GetIncarnation()))
		}
	}
	return member.NewMessage(member.Kind(msg.GetKind()), msg.GetSeq(), model.VMID(msg.GetTarget()), msg.GetIncarnation(), news...), true
}
