package wire

import (
	"google.golang.org/protobuf/proto"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// FleetError reports that a fleet command or snapshot cannot be decoded.
type FleetError struct {
	// part is what could not be decoded: command, preset or snapshot.
	part  string
	cause error
}

// Error describes the failure.
func (err *FleetError) Error() string {
	return "decode fleet " + err.part + ": " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *FleetError) Unwrap() error { return err.cause }

// FleetCommands is the codec of the commands of the fleet group, which replicates the
// configuration that operators change.
type FleetCommands struct{}

var _ Codec[fleet.Command] = FleetCommands{}

// Encode implements Codec.
func (FleetCommands) Encode(cmd fleet.Command) ([]byte, error) {
	msg := &FleetCommand{Id: string(cmd.ID()), Number: cmd.Number(), Operator: cmd.Operator()}
	switch act := cmd.Action().(type) {
	case fleet.Bootstrap:
		msg.Action = &FleetCommand_Bootstrap{Bootstrap: &FleetBootstrap{Vms: convertAll(act.VMs(), vmToProto)}}
	case fleet.CreatePreset:
		pre := presetToProto(fleet.NewPresetEntry(act.Preset(), fleet.Change{}))
		msg.Action = &FleetCommand_CreatePreset{CreatePreset: &FleetCreatePreset{Preset: pre, Replace: act.Replace()}}
	case fleet.SwitchPreset:
		msg.Action = &FleetCommand_SwitchPreset{SwitchPreset: &FleetSwitchPreset{Name: act.Target()}}
	case fleet.CentreOut:
		msg.Action = &FleetCommand_CentreOut{CentreOut: &FleetCentreOut{Centre: act.Target(), Force: act.Force()}}
	case fleet.CentreIn:
		msg.Action = &FleetCommand_CentreIn{CentreIn: &FleetCentreIn{Centre: act.Target()}}
	case fleet.AddLearner:
		msg.Action = &FleetCommand_AddLearner{AddLearner: &FleetAddLearner{Vm: vmToProto(act.VM())}}
	case fleet.Promote:
		msg.Action = &FleetCommand_Promote{Promote: &FleetPromote{Vm: act.Target(), DiskId: act.DiskID()}}
	case fleet.RemoveVM:
		msg.Action = &FleetCommand_RemoveVm{RemoveVm: &FleetRemoveVM{Vm: act.Target()}}
	case fleet.ReplaceVM:
		msg.Action = &FleetCommand_ReplaceVm{ReplaceVm: &FleetReplaceVM{Old: act.Target(), Vm: vmToProto(act.VM())}}
	}
	return proto.Marshal(msg)
}

// Decode implements Codec. Its error is a *FleetError or an *UnknownOperationError.
func (FleetCommands) Decode(buf []byte) (fleet.Command, error) {
	var msg FleetCommand
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return fleet.Command{}, &FleetError{part: "command", cause: err}
	}
	act, err := fleetActionFromProto(&msg)
	if err != nil {
		return fleet.Command{}, err
	}
	return fleet.NewCommand(model.CommandID(msg.GetId()), msg.GetNumber(), msg.GetOperator(), act), nil
}

// fleetActionFromProto returns the action of a command. A missing or unknown action is an
// UnknownOperationError.
func fleetActionFromProto(msg *FleetCommand) (fleet.Action, error) {
	switch act := msg.GetAction().(type) {
	case *FleetCommand_Bootstrap:
		return fleet.NewBootstrap(convertAll(act.Bootstrap.GetVms(), vmFromProto)), nil
	case *FleetCommand_CreatePreset:
		ent, err := presetFromProto(act.CreatePreset.GetPreset())
		return fleet.NewCreatePreset(ent.Preset(), act.CreatePreset.GetReplace()), err
	case *FleetCommand_SwitchPreset:
		return fleet.NewSwitchPreset(act.SwitchPreset.GetName()), nil
	case *FleetCommand_CentreOut:
		return fleet.NewCentreOut(model.CentreID(act.CentreOut.GetCentre()), act.CentreOut.GetForce()), nil
	case *FleetCommand_CentreIn:
		return fleet.NewCentreIn(model.CentreID(act.CentreIn.GetCentre())), nil
	case *FleetCommand_AddLearner:
		return fleet.NewAddLearner(vmFromProto(act.AddLearner.GetVm())), nil
	case *FleetCommand_Promote:
		return fleet.NewPromote(model.VMID(act.Promote.GetVm()), act.Promote.GetDiskId()), nil
	case *FleetCommand_RemoveVm:
		return fleet.NewRemoveVM(model.VMID(act.RemoveVm.GetVm())), nil
	case *FleetCommand_ReplaceVm:
		return fleet.NewReplaceVM(model.VMID(act.ReplaceVm.GetOld()), vmFromProto(act.ReplaceVm.GetVm())), nil
	}
	return nil, &UnknownOperationError{group: "fleet"}
}

// FleetSnapshots is the codec of the snapshots of the fleet group.
type FleetSnapshots struct{}

var _ Codec[fleet.Snapshot] = FleetSnapshots{}

// Encode implements Codec.
func (FleetSnapshots) Encode(sn fleet.Snapshot) ([]byte, error) {
	spec := sn.Spec()
	return proto.Marshal(&FleetSnapshot{
		Last:    changeToProto(spec.Last),
		Active:  changeToProto(spec.Active),
		Presets: convertAll(spec.Presets, presetToProto),
		Centres: convertAll(spec.Centres, centreToProto),
		Vms:     convertAll(spec.VMs, vmToProto),
		Answers: convertAll(spec.Answers, answerToProto),
	})
}

// Decode implements Codec. Its error is a *FleetError.
func (FleetSnapshots) Decode(buf []byte) (fleet.Snapshot, error) {
	var msg FleetSnapshot
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return fleet.Snapshot{}, &FleetError{part: "snapshot", cause: err}
	}
	spec := fleet.SnapshotSpec{
		Last:    changeFromProto(msg.GetLast()),
		Active:  changeFromProto(msg.GetActive()),
		Centres: convertAll(msg.GetCentres(), centreFromProto),
		VMs:     convertAll(msg.GetVms(), vmFromProto),
		Answers: convertAll(msg.GetAnswers(), answerFromProto),
	}
	for _, pre := range msg.GetPresets() {
		ent, err := presetFromProto(pre)
		if err != nil {
			return fleet.Snapshot{}, err
		}
		spec.Presets = append(spec.Presets, ent)
	}
	return fleet.NewSnapshot(spec), nil
}
