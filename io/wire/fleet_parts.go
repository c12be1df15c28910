package wire

import (
	"time"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// convertAll translates a list item by item.
func convertAll[A, B any](vals []A, fn func(A) B) []B {
	out := make([]B, 0, len(vals))
	for _, val := range vals {
		out = append(out, fn(val))
	}
	return out
}

func changeMessage(ch fleet.Change) *FleetChange {
	if ch == (fleet.Change{}) {
		return nil
	}
	return &FleetChange{
		Command: string(ch.Command()), Number: ch.Number(), Operator: ch.Operator(),
		Kind: uint32(ch.Kind()), Target: ch.Target(), Active: ch.ActivePreset(),
	}
}

func changeOf(msg *FleetChange) fleet.Change {
	return fleet.NewChange(model.CommandID(msg.GetCommand()), msg.GetNumber(), msg.GetOperator(),
		fleet.Kind(msg.GetKind()), msg.GetTarget(), msg.GetActive())
}

func vmMessage(vm fleet.VM) *FleetVM {
	sp := vm.Spec()
	return &FleetVM{
		Name: string(sp.Name), Centre: string(sp.Centre), PeerAddress: sp.PeerAddress, ApiAddress: sp.APIAddress,
		Disk: sp.Disk, DiskId: sp.DiskID, Voter: sp.Role == fleet.Voter, By: changeMessage(vm.ChangedBy()),
	}
}

func vmOf(msg *FleetVM) fleet.VM {
	sp := fleet.VMSpec{
		Name: model.VMID(msg.GetName()), Centre: model.CentreID(msg.GetCentre()),
		PeerAddress: msg.GetPeerAddress(), APIAddress: msg.GetApiAddress(),
		Disk: msg.GetDisk(), DiskID: msg.GetDiskId(),
	}
	if msg.GetVoter() {
		sp.Role = fleet.Voter
	}
	return fleet.RestoreVM(sp, changeOf(msg.GetBy()))
}

func centreMessage(ce fleet.Centre) *FleetCentre {
	return &FleetCentre{Name: string(ce.Name()), Out: ce.Out(), By: changeMessage(ce.ChangedBy())}
}

func centreOf(msg *FleetCentre) fleet.Centre {
	return fleet.NewCentre(model.CentreID(msg.GetName()), msg.GetOut(), changeOf(msg.GetBy()))
}

func answerMessage(an fleet.Answer) *FleetAnswer {
	msg := &FleetAnswer{Asked: changeMessage(an.Request())}
	if rej := an.Rejected(); rej != nil {
		holder, _ := rej.Holder()
		msg.Rejected = &FleetRejection{
			Reason: uint32(rej.Reason()), Holder: changeMessage(holder), Number: rej.Number(), Active: rej.ActivePreset(),
		}
	}
	return msg
}

func answerOf(msg *FleetAnswer) fleet.Answer {
	asked := changeOf(msg.GetAsked())
	rej := msg.GetRejected()
	if rej == nil {
		return fleet.NewAnswer(asked, nil)
	}
	return fleet.NewAnswer(asked, fleet.NewRejectedError(asked.Command(), fleet.Reason(rej.GetReason()),
		changeOf(rej.GetHolder()), rej.GetNumber(), rej.GetActive()))
}

func presetMessage(en fleet.PresetEntry) *FleetPreset {
	spec := en.Preset().Spec()
	return &FleetPreset{
		Name: spec.Name, Deadline: int64(spec.Deadline), MaxRequest: int64(spec.MaxRequest),
		QueuePerSlot: int32(spec.QueuePerSlot), BatchSharePercent: int32(spec.BatchSharePercent),
		Drain: uint32(spec.Drain), Forward: spec.Forward, GuardsOff: spec.GuardsOff,
		Services: convertAll(spec.Services, serviceMessage), Quotas: convertAll(spec.Quotas, quotaMessage),
		By: changeMessage(en.ChangedBy()),
	}
}

func presetOf(msg *FleetPreset) (fleet.PresetEntry, error) {
	pre, err := model.NewPreset(model.PresetSpec{
		Name: msg.GetName(), Deadline: time.Duration(msg.GetDeadline()), MaxRequest: time.Duration(msg.GetMaxRequest()),
		QueuePerSlot: int(msg.GetQueuePerSlot()), BatchSharePercent: int(msg.GetBatchSharePercent()),
		Drain: model.DrainMode(msg.GetDrain()), Forward: msg.GetForward(), GuardsOff: msg.GetGuardsOff(),
		Services: convertAll(msg.GetServices(), serviceOf), Quotas: convertAll(msg.GetQuotas(), quotaOf),
	})
	if err != nil {
		return fleet.PresetEntry{}, &FleetError{part: "preset", cause: err}
	}
	return fleet.NewPresetEntry(pre, changeOf(msg.GetBy())), nil
}

func serviceMessage(sp model.ServicePolicy) *FleetService {
	return &FleetService{Service: string(sp.Service()), TailTarget: int64(sp.TailTarget()), Weight: int64(sp.Weight())}
}

func serviceOf(msg *FleetService) model.ServicePolicy {
	return model.NewServicePolicy(model.ServiceID(msg.GetService()), time.Duration(msg.GetTailTarget()), int(msg.GetWeight()))
}

func quotaMessage(qu model.Quota) *FleetQuota {
	lim := qu.Limit()
	return &FleetQuota{
		Team: string(qu.Team()), MilliCpu: lim.MilliCPU(), MemoryMb: lim.MemoryMB(),
		Accelerators: lim.Accelerators(), Weight: int64(qu.Weight()),
	}
}

func quotaOf(msg *FleetQuota) model.Quota {
	return model.NewQuota(model.TeamID(msg.GetTeam()),
		model.NewResources(msg.GetMilliCpu(), msg.GetMemoryMb(), msg.GetAccelerators()), int(msg.GetWeight()))
}
