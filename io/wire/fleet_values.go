package wire

import (
	"time"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// convertAll returns the results of fn for all vals, in their order.
func convertAll[A, B any](vals []A, fn func(A) B) []B {
	out := make([]B, 0, len(vals))
	for _, val := range vals {
		out = append(out, fn(val))
	}
	return out
}

// changeToProto returns the message for a change, or nil for the zero value, which means
// that there was no change.
func changeToProto(ch fleet.Change) *FleetChange {
	if ch == (fleet.Change{}) {
		return nil
	}
	return &FleetChange{
		Command: string(ch.Command()), Number: ch.Number(), Operator: ch.Operator(),
		Kind: uint32(ch.Kind()), Target: ch.Target(), Active: ch.ActivePreset(),
	}
}

func changeFromProto(msg *FleetChange) fleet.Change {
	return fleet.NewChange(model.CommandID(msg.GetCommand()), msg.GetNumber(), msg.GetOperator(),
		fleet.Kind(msg.GetKind()), msg.GetTarget(), msg.GetActive())
}

func vmToProto(vm fleet.VM) *FleetVM {
	sp := vm.Spec()
	return &FleetVM{
		Name: string(sp.Name), Centre: string(sp.Centre), PeerAddress: sp.PeerAddress, ApiAddress: sp.APIAddress,
		Disk: sp.Disk, DiskId: sp.DiskID, Voter: sp.Role == fleet.Voter, By: changeToProto(vm.ChangedBy()),
	}
}

func vmFromProto(msg *FleetVM) fleet.VM {
	sp := fleet.VMSpec{
		Name: model.VMID(msg.GetName()), Centre: model.CentreID(msg.GetCentre()),
		PeerAddress: msg.GetPeerAddress(), APIAddress: msg.GetApiAddress(),
		Disk: msg.GetDisk(), DiskID: msg.GetDiskId(),
	}
	if msg.GetVoter() {
		sp.Role = fleet.Voter
	}
	return fleet.RestoreVM(sp, changeFromProto(msg.GetBy()))
}

func centreToProto(ce fleet.Centre) *FleetCentre {
	return &FleetCentre{Name: string(ce.Name()), Out: ce.Out(), By: changeToProto(ce.ChangedBy())}
}

func centreFromProto(msg *FleetCentre) fleet.Centre {
	return fleet.NewCentre(model.CentreID(msg.GetName()), msg.GetOut(), changeFromProto(msg.GetBy()))
}

func answerToProto(an fleet.Answer) *FleetAnswer {
	msg := &FleetAnswer{Asked: changeToProto(an.Request())}
	if rej := an.Rejected(); rej != nil {
		holder, _ := rej.Holder()
		msg.Rejected = &FleetRejection{
			Reason: uint32(rej.Reason()), Holder: changeToProto(holder), Number: rej.Number(), Active: rej.ActivePreset(),
		}
	}
	return msg
}

func answerFromProto(msg *FleetAnswer) fleet.Answer {
	request := changeFromProto(msg.GetAsked())
	rej := msg.GetRejected()
	if rej == nil {
		return fleet.NewAnswer(request, nil)
	}
	return fleet.NewAnswer(request, fleet.NewRejectedError(request.Command(), fleet.Reason(rej.GetReason()),
		changeFromProto(rej.GetHolder()), rej.GetNumber(), rej.GetActive()))
}

func presetToProto(ent fleet.PresetEntry) *FleetPreset {
	spec := ent.Preset().Spec()
	return &FleetPreset{
		Name: spec.Name, Deadline: int64(spec.Deadline), MaxRequest: int64(spec.MaxRequest),
		QueuePerSlot: int32(spec.QueuePerSlot), BatchSharePercent: int32(spec.BatchSharePercent),
		Drain: uint32(spec.Drain), Forward: spec.Forward, GuardsOff: spec.GuardsOff,
		Services: convertAll(spec.Services, serviceToProto), Quotas: convertAll(spec.Quotas, quotaToProto),
		By: changeToProto(ent.ChangedBy()),
	}
}

// presetFromProto returns the preset that msg encodes. An invalid preset is a FleetError.
func presetFromProto(msg *FleetPreset) (fleet.PresetEntry, error) {
	pre, err := model.NewPreset(model.PresetSpec{
		Name: msg.GetName(), Deadline: time.Duration(msg.GetDeadline()), MaxRequest: time.Duration(msg.GetMaxRequest()),
		QueuePerSlot: int(msg.GetQueuePerSlot()), BatchSharePercent: int(msg.GetBatchSharePercent()),
		Drain: model.DrainMode(msg.GetDrain()), Forward: msg.GetForward(), GuardsOff: msg.GetGuardsOff(),
		Services: convertAll(msg.GetServices(), serviceFromProto), Quotas: convertAll(msg.GetQuotas(), quotaFromProto),
	})
	if err != nil {
		return fleet.PresetEntry{}, &FleetError{part: "preset", cause: err}
	}
	return fleet.NewPresetEntry(pre, changeFromProto(msg.GetBy())), nil
}

func serviceToProto(sp model.ServicePolicy) *FleetService {
	return &FleetService{Service: string(sp.Service()), TailTarget: int64(sp.TailTarget()), Weight: int64(sp.Weight())}
}

func serviceFromProto(msg *FleetService) model.ServicePolicy {
	return model.NewServicePolicy(model.ServiceID(msg.GetService()), time.Duration(msg.GetTailTarget()), int(msg.GetWeight()))
}

func quotaToProto(qu model.Quota) *FleetQuota {
	lim := qu.Limit()
	return &FleetQuota{
		Team: string(qu.Team()), MilliCpu: lim.MilliCPU(), MemoryMb: lim.MemoryMB(),
		Accelerators: lim.Accelerators(), Weight: int64(qu.Weight()),
	}
}

func quotaFromProto(msg *FleetQuota) model.Quota {
	return model.NewQuota(model.TeamID(msg.GetTeam()),
		model.NewResources(msg.GetMilliCpu(), msg.GetMemoryMb(), msg.GetAccelerators()), int(msg.GetWeight()))
}
