package fleet_test

import (
	"bytes"
	"flag"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/io/wire"
)

// TestMain sets the seed, the number of sequences and the steps of each sequence of
// rapid, unless the command line sets them, so that every run tests the same commands.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, val := range map[string]string{"rapid.seed": "4711", "rapid.checks": "300", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		given := false
		flag.Visit(func(fl *flag.Flag) { given = given || fl.Name == name })
		if given {
			continue
		}
		if err := flag.Set(name, val); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var (
	centres     = []string{"riga-a", "riga-b", "riga-c"}
	vmNames     = []string{"v1", "v2", "v3", "v4"}
	presetNames = []string{fleet.DefaultPreset, "peak", "night"}
)

// fleetTest applies the same commands to a state, to the oracle and, later, to a
// second replica, and compares them.
type fleetTest struct {
	st *fleet.State
	or *oracle
	// unapplied has the encoded commands that replica has not applied yet.
	unapplied [][]byte
	replica   *fleet.State
	// sent has each command as it was sent the first time; resend draws from them.
	sent []fleet.Command
}

func drawVM(t *rapid.T) fleet.VM {
	disk := rapid.Bool().Draw(t, "disk")
	spec := fleet.VMSpec{
		Name: model.VMID(rapid.SampledFrom(vmNames).Draw(t, "vm")), Centre: model.CentreID(rapid.SampledFrom(centres).Draw(t, "centre")),
		PeerAddress: "10.0.0.1:7002", APIAddress: "10.0.0.1:7001", Disk: disk,
		// The state must ignore the role in the command: only bootstrap and
		// promote make voters.
		Role: rapid.SampledFrom([]fleet.VMRole{fleet.Learner, fleet.Voter}).Draw(t, "role"),
	}
	if disk {
		spec.DiskID = rapid.SampledFrom([]string{"", "d1", "d2"}).Draw(t, "disk identity")
	}
	return fleet.NewVM(spec)
}

func drawAction(t *rapid.T) fleet.Action {
	centre := model.CentreID(rapid.SampledFrom(centres).Draw(t, "centre"))
	vm := model.VMID(rapid.SampledFrom(vmNames).Draw(t, "vm"))
	name := rapid.SampledFrom(presetNames).Draw(t, "preset")
	replaceOrForce := rapid.Bool().Draw(t, "flag")
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0:
		pre, err := model.NewPreset(model.PresetSpec{Name: name})
		if err != nil {
			t.Fatal(err)
		}
		return fleet.NewCreatePreset(pre, replaceOrForce)
	case 1:
		return fleet.NewSwitchPreset(name)
	case 2:
		return fleet.NewCentreOut(centre, replaceOrForce)
	case 3:
		return fleet.NewCentreIn(centre)
	case 4:
		return fleet.NewAddLearner(drawVM(t))
	case 5:
		return fleet.NewPromote(vm, rapid.SampledFrom([]string{"d1", "d2"}).Draw(t, "disk identity"))
	case 6:
		return fleet.NewRemoveVM(vm)
	}
	return fleet.NewReplaceVM(vm, drawVM(t))
}

// apply applies one command to the state and compares the answer with that of
// the oracle.
func (ft *fleetTest) apply(t *rapid.T, cmd fleet.Command) {
	buf, err := wire.FleetCommands{}.Encode(cmd)
	if err != nil {
		t.Fatal(err)
	}
	ft.unapplied = append(ft.unapplied, buf)
	before, answerStored := ft.st.Number(), ft.or.answerStored(cmd.ID())
	wantReason, wantFirstAnswer := ft.or.predict(cmd)
	res := ft.st.Apply(cmd)
	switch {
	case wantFirstAnswer:
		first := ft.or.results[cmd.ID()]
		if !sameResult(first, res) || ft.st.Number() != before {
			t.Fatalf("resent %s got %+v at configuration number %d, first answer %+v", cmd.ID(), res, ft.st.Number(), first)
		}
	case wantReason == fleet.Accepted:
		ch, ok := res.Change()
		if !ok || ch.Number() != before+1 || ft.st.Number() != before+1 {
			t.Fatalf("%s %s got %v, want it accepted as configuration number %d", cmd.Kind(), cmd.Target(), res.Err(), before+1)
		}
	default:
		rej := res.Rejection()
		if rej == nil || rej.Reason() != wantReason || rej.Number() != before || rej.ActivePreset() != ft.or.active || ft.st.Number() != before {
			t.Fatalf("%s %s got %+v, want %s at configuration number %d", cmd.Kind(), cmd.Target(), res, wantReason, before)
		}
		holder, _ := rej.Holder()
		if wantReason == fleet.NumberTaken && holder.Command() != ft.or.holders[cmd.Number()] {
			t.Fatalf("holder of configuration number %d is %+v, want command %s", cmd.Number(), holder, ft.or.holders[cmd.Number()])
		}
	}
	if !answerStored {
		ft.or.record(cmd, res)
	}
}

// sameResult reports whether two answers have equal content.
func sameResult(ra, rb fleet.Result) bool {
	ca, oka := ra.Change()
	cb, okb := rb.Change()
	if oka != okb || ca != cb {
		return false
	}
	return oka || *ra.Rejection() == *rb.Rejection()
}

// send applies a new command, often with a configuration number that is not the next
// one.
func (ft *fleetTest) send(t *rapid.T) {
	now := int64(ft.st.Number())
	number := max(1, now+rapid.SampledFrom([]int64{1, 1, 1, 1, 0, -1, -20, 2}).Draw(t, "number"))
	id := model.CommandID("c" + strconv.Itoa(len(ft.sent)))
	operator := rapid.SampledFrom([]string{"ilze", "janis"}).Draw(t, "operator")
	cmd := fleet.NewCommand(id, uint64(number), operator, drawAction(t))
	ft.sent = append(ft.sent, cmd)
	ft.apply(t, cmd)
}

// resend applies an earlier command again, sometimes with another action, operator
// or number.
func (ft *fleetTest) resend(t *rapid.T) {
	if len(ft.sent) == 0 {
		t.Skip()
	}
	cmd := rapid.SampledFrom(ft.sent).Draw(t, "earlier")
	switch rapid.IntRange(0, 9).Draw(t, "altered") {
	case 0:
		cmd = fleet.NewCommand(cmd.ID(), cmd.Number(), cmd.Operator(), drawAction(t))
	case 1:
		cmd = fleet.NewCommand(cmd.ID(), cmd.Number(), "marta", cmd.Action())
	case 2:
		cmd = fleet.NewCommand(cmd.ID(), cmd.Number()+1, cmd.Operator(), cmd.Action())
	}
	ft.apply(t, cmd)
}

// restart replaces the state by one that is restored from its encoded snapshot, as after
// a restart of the process.
func (ft *fleetTest) restart(t *rapid.T) {
	next := fleet.NewWithMaxAnswers(ft.or.maxAnswers)
	restore(t, next, encode(t, ft.st))
	ft.st = next
}

// catchUp applies the remaining commands to the replica and compares both states.
func (ft *fleetTest) catchUp(t *rapid.T) {
	for _, buf := range ft.unapplied {
		cmd, err := wire.FleetCommands{}.Decode(buf)
		if err != nil {
			t.Fatal(err)
		}
		ft.replica.Apply(cmd)
	}
	ft.unapplied = nil
	if !bytes.Equal(encode(t, ft.st), encode(t, ft.replica)) {
		t.Fatalf("replicas differ: %+v and %+v", ft.st.Snapshot(), ft.replica.Snapshot())
	}
}

func encode(t *rapid.T, st *fleet.State) []byte {
	buf, err := wire.FleetSnapshots{}.Encode(st.Snapshot())
	if err != nil {
		t.Fatal(err)
	}
	return buf
}

func restore(t *rapid.T, st *fleet.State, buf []byte) {
	sn, err := wire.FleetSnapshots{}.Decode(buf)
	if err != nil {
		t.Fatal(err)
	}
	st.Restore(sn)
}

// check compares the state with the oracle after every step.
func (ft *fleetTest) check(t *rapid.T) {
	if ft.st.Number() != ft.or.number || ft.st.ActivePresetName() != ft.or.active {
		t.Fatalf("configuration %d with preset %s, want %d with %s", ft.st.Number(), ft.st.ActivePresetName(), ft.or.number, ft.or.active)
	}
	active := 0
	for _, en := range ft.st.Presets() {
		if en.Preset().Name() == ft.st.ActivePreset().Preset().Name() {
			active++
		}
	}
	if active != 1 || len(ft.st.Presets()) != len(ft.or.presets) {
		t.Fatalf("%d active of %d presets, want 1 of %d", active, len(ft.st.Presets()), len(ft.or.presets))
	}
	for _, centre := range centres {
		ce, ok := ft.st.Centre(model.CentreID(centre))
		if ok != ft.or.hasCentre(centre) || ce.Out() != ft.or.out[centre] {
			t.Fatalf("data centre %s is %+v, want it to exist: %v, out of service: %v", centre, ce, ft.or.hasCentre(centre), ft.or.out[centre])
		}
	}
	for _, name := range vmNames {
		vm, _ := ft.st.VM(model.VMID(name))
		if vm.Spec() != ft.or.vms[name] {
			t.Fatalf("VM %s is %+v, want %+v", name, vm.Spec(), ft.or.vms[name])
		}
	}
	if stored := len(ft.st.Snapshot().Spec().Answers); stored > ft.or.maxAnswers {
		t.Fatalf("%d answers are stored, want %d at most", stored, ft.or.maxAnswers)
	}
}

// Guards against answers and states that differ from those of the oracle after random
// new and resent commands, restarts and replays on a second replica: exactly one
// preset is active, the configuration number only grows, one of several commands with
// the same number is accepted and named as the holder in the rejection of the others,
// a resent command gets its first answer also after a restart, replicas agree, and the
// number of stored answers is limited.
func TestFleetAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxAnswers := rapid.SampledFrom([]int{4, 16, 64}).Draw(t, "room")
		ft := &fleetTest{st: fleet.NewWithMaxAnswers(maxAnswers), replica: fleet.NewWithMaxAnswers(maxAnswers), or: newOracle(maxAnswers)}
		boot := fleet.NewCommand("boot", 1, "system", fleet.NewBootstrap([]fleet.VM{
			fleet.NewVM(fleet.VMSpec{Name: "v1", Centre: "riga-a", PeerAddress: "a", APIAddress: "b", Disk: true}),
			fleet.NewVM(fleet.VMSpec{Name: "v2", Centre: "riga-b", PeerAddress: "a", APIAddress: "b", Disk: true}),
		}))
		ft.sent = append(ft.sent, boot)
		ft.apply(t, boot)
		// send has two entries so that it is drawn more often; check runs after
		// every step.
		t.Repeat(map[string]func(*rapid.T){
			"":        ft.check,
			"send":    ft.send,
			"send 2":  ft.send,
			"resend":  ft.resend,
			"restart": ft.restart,
			"catchUp": ft.catchUp,
		})
		ft.catchUp(t)
	})
}
