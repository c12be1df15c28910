package wire

import (
	"reflect"
	"testing"
	"time"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// newPreset returns a preset with a value in each field except MaxRequest.
func newPreset(t *testing.T) model.Preset {
	t.Helper()
	pre, err := model.NewPreset(model.PresetSpec{
		Name: "peak", Deadline: 3 * time.Second, QueuePerSlot: 4, BatchSharePercent: 20,
		Drain: model.DrainCheckpoint, Forward: true, GuardsOff: true,
		Services: []model.ServicePolicy{model.NewServicePolicy("hire-desk", 120*time.Millisecond, 1<<40)},
		Quotas:   []model.Quota{model.NewQuota("fleet", model.NewResources(4000, 9, 1), 2)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return pre
}

// allCommands returns one command of each kind, numbered from 1.
func allCommands(t *testing.T) []fleet.Command {
	t.Helper()
	vm := fleet.NewVM(fleet.VMSpec{
		Name: "riga-a-1", Centre: "riga-a", PeerAddress: "10.0.0.1:1", APIAddress: "10.0.0.1:2", Disk: true, DiskID: "d1",
	})
	other := fleet.NewVM(fleet.VMSpec{Name: "riga-b-1", Centre: "riga-b", PeerAddress: "10.0.0.2:1", APIAddress: "10.0.0.2:2"})
	acts := []fleet.Action{
		fleet.NewBootstrap([]fleet.VM{vm}), fleet.NewCreatePreset(newPreset(t), true), fleet.NewSwitchPreset("peak"),
		fleet.NewAddLearner(other), fleet.NewCentreOut("riga-a", true), fleet.NewCentreIn("riga-a"),
		fleet.NewPromote("riga-b-1", "d2"), fleet.NewReplaceVM("riga-b-1", other), fleet.NewRemoveVM("riga-b-1"),
	}
	var out []fleet.Command
	for i, act := range acts {
		out = append(out, fleet.NewCommand(model.CommandID("c"+string(rune('0'+i))), uint64(i+1), "ilze", act))
	}
	return out
}

// Guards against a field that is not encoded: every kind of command, and the state
// after each of them, must be equal after encoding and decoding.
func TestFleetSurvivesEncoding(t *testing.T) {
	st := fleet.New()
	for _, cmd := range allCommands(t) {
		buf, err := FleetCommands{}.Encode(cmd)
		if err != nil {
			t.Fatal(err)
		}
		got, err := FleetCommands{}.Decode(buf)
		if err != nil || !reflect.DeepEqual(got, cmd) {
			t.Errorf("decoded %+v, %v; want %+v", got, err, cmd)
		}
		st.Apply(got)
		sn := st.Snapshot()
		buf, err = FleetSnapshots{}.Encode(sn)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := FleetSnapshots{}.Decode(buf)
		if err != nil {
			t.Fatal(err)
		}
		restored := fleet.New()
		restored.Restore(decoded)
		if !reflect.DeepEqual(restored.Snapshot(), sn) {
			t.Errorf("after %s restored %+v, want %+v", cmd.Kind(), restored.Snapshot(), sn)
		}
	}
}

// Guards against bytes that are empty or cut off, and that are decoded as a valid
// command.
func TestFleetDecodeRejectsOtherBytes(t *testing.T) {
	for name, buf := range map[string][]byte{"empty": nil, "torn": {0x0a, 0x7f}} {
		if cmd, err := (FleetCommands{}).Decode(buf); err == nil {
			t.Errorf("%s: decoded %+v, want an error", name, cmd)
		}
	}
}
