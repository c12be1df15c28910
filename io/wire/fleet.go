package wire

import (
	"google.golang.org/protobuf/proto"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// FleetError reports a fleet command or snapshot that cannot be decoded.
type FleetError struct {
	part  string
	cause error
}

// Error describes the failure.
func (err *FleetError) Error() string {
	if err.cause == nil {
		return "decode fleet " + err.part + ": content is missing or unknown"
	}
	return "decode fleet " + err.part + ": " + err.cause.Error()
}

// Unwrap returns the cause.
func (err *FleetError) Unwrap() error { return err.cause }

// FleetCommands is the codec of the commands of the fleet group.
type FleetCommands struct{}

var _ Codec[fleet.Command] = FleetCommands{}

// Encode returns the bytes of a command.
func (FleetCommands) Encode(cmd fleet.Command) ([]byte, error) {
	msg := &FleetCommand{Id: string(cmd.ID()), Number: cmd.Number(), Operator: cmd.Operator()}
	switch act := cmd.Action().(type) {
	case fleet.Bootstrap:
		msg.Action = &FleetCommand_Bootstrap{Bootstrap: &FleetBootstrap{Vms: convertAll(act.VMs(), vmMessage)}}
	case fleet.CreatePreset:
		pre := presetMessage(fleet.NewPresetEntry(act.Preset(), fleet.Change{}))
		msg.Action = &FleetCommand_CreatePreset{CreatePreset: &FleetCreatePreset{Preset: pre, Replace: act.Replace()}}
	case fleet.SwitchPreset:
		msg.Action = &FleetCommand_SwitchPreset{SwitchPreset: &FleetSwitchPreset{Name: act.Target()}}
	case fleet.CentreOut:
		msg.Action = &FleetCommand_CentreOut{CentreOut: &FleetCentreOut{Centre: act.Target(), Force: act.Force()}}
	case fleet.CentreIn:
		msg.Action = &FleetCommand_CentreIn{CentreIn: &FleetCentreIn{Centre: act.Target()}}
	case fleet.AddLearner:
		msg.Action = &FleetCommand_AddLearner{AddLearner: &FleetAddLearner{Vm: vmMessage(act.VM())}}
	case fleet.Promote:
		msg.Action = &FleetCommand_Promote{Promote: &FleetPromote{Vm: act.Target(), DiskId: act.DiskID()}}
	case fleet.RemoveVM:
		msg.Action = &FleetCommand_RemoveVm{RemoveVm: &FleetRemoveVM{Vm: act.Target()}}
	case fleet.ReplaceVM:
		msg.Action = &FleetCommand_ReplaceVm{ReplaceVm: &FleetReplaceVM{Old: act.Target(), Vm: vmMessage(act.VM())}}
	}
	return proto.Marshal(msg)
}

// Decode returns the command in buf.
func (FleetCommands) Decode(buf []byte) (fleet.Command, error) {
	var msg FleetCommand
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return fleet.Command{}, &FleetError{part: "command", cause: err}
	}
	act, err := fleetAction(&msg)
	if err != nil {
		return fleet.Command{}, err
	}
	return fleet.NewCommand(model.CommandID(msg.GetId()), msg.GetNumber(), msg.GetOperator(), act), nil
}

func fleetAction(msg *FleetCommand) (fleet.Action, error) {
	switch act := msg.GetAction().(type) {
	case *FleetCommand_Bootstrap:
		return fleet.NewBootstrap(convertAll(act.Bootstrap.GetVms(), vmOf)), nil
	case *FleetCommand_CreatePreset:
		en, err := presetOf(act.CreatePreset.GetPreset())
		return fleet.NewCreatePreset(en.Preset(), act.CreatePreset.GetReplace()), err
	case *FleetCommand_SwitchPreset:
		return fleet.NewSwitchPreset(act.SwitchPreset.GetName()), nil
	case *FleetCommand_CentreOut:
		return fleet.NewCentreOut(model.CentreID(act.CentreOut.GetCentre()), act.CentreOut.GetForce()), nil
	case *FleetCommand_CentreIn:
		return fleet.NewCentreIn(model.CentreID(act.CentreIn.GetCentre())), nil
	case *FleetCommand_AddLearner:
		return fleet.NewAddLearner(vmOf(act.AddLearner.GetVm())), nil
	case *FleetCommand_Promote:
		return fleet.NewPromote(model.VMID(act.Promote.GetVm()), act.Promote.GetDiskId()), nil
	case *FleetCommand_RemoveVm:
		return fleet.NewRemoveVM(model.VMID(act.RemoveVm.GetVm())), nil
	case *FleetCommand_ReplaceVm:
		return fleet.NewReplaceVM(model.VMID(act.ReplaceVm.GetOld()), vmOf(act.ReplaceVm.GetVm())), nil
	}
	return nil, &FleetError{part: "command"}
}

// FleetSnapshots is the codec of the snapshots of the fleet group.
type FleetSnapshots struct{}

var _ Codec[fleet.Snapshot] = FleetSnapshots{}

// Encode returns the bytes of a snapshot.
func (FleetSnapshots) Encode(sn fleet.Snapshot) ([]byte, error) {
	spec := sn.Spec()
	return proto.Marshal(&FleetSnapshot{
		Last:    changeMessage(spec.Last),
		Active:  changeMessage(spec.Active),
		Presets: convertAll(spec.Presets, presetMessage),
		Centres: convertAll(spec.Centres, centreMessage),
		Vms:     convertAll(spec.VMs, vmMessage),
		Answers: convertAll(spec.Answers, answerMessage),
	})
}

// Decode returns the snapshot in buf.
func (FleetSnapshots) Decode(buf []byte) (fleet.Snapshot, error) {
	var msg FleetSnapshot
	if err := proto.Unmarshal(buf, &msg); err != nil {
		return fleet.Snapshot{}, &FleetError{part: "snapshot", cause: err}
	}
	spec := fleet.SnapshotSpec{
		Last:    changeOf(msg.GetLast()),
		Active:  changeOf(msg.GetActive()),
		Centres: convertAll(msg.GetCentres(), centreOf),
		VMs:     convertAll(msg.GetVms(), vmOf),
		Answers: convertAll(msg.GetAnswers(), answerOf),
	}
	for _, pre := range msg.GetPresets() {
		en, err := presetOf(pre)
		if err != nil {
			return fleet.Snapshot{}, err
		}
		spec.Presets = append(spec.Presets, en)
	}
	return fleet.NewSnapshot(spec), nil
}
