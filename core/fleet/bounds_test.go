package fleet_test

import (
	"strconv"
	"testing"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// defaultMaxAnswers is the number of answers that the state must store, the latest ones.
const defaultMaxAnswers = 4096

func command(id string, number uint64, act fleet.Action) fleet.Command {
	return fleet.NewCommand(model.CommandID(id), number, "ilze", act)
}

// Guards against a command that is executed twice because it is resent after its
// answer was dropped: exactly the last 4,096 answers are stored, and a command resent
// later is rejected.
func TestExpiredCommandIsNotExecutedAgain(t *testing.T) {
	st := fleet.New()
	// lastNumber is the number of commands, each with its own number as identifier.
	const lastNumber = 3 * defaultMaxAnswers
	for i := uint64(1); i <= lastNumber; i++ {
		st.Apply(command(strconv.FormatUint(i, 10), i, fleet.NewSwitchPreset(fleet.DefaultPreset)))
	}
	if stored := len(st.Snapshot().Spec().Answers); stored != defaultMaxAnswers || st.Number() != lastNumber {
		t.Fatalf("%d answers are stored at configuration number %d, want %d at %d", stored, st.Number(), defaultMaxAnswers, lastNumber)
	}
	// Commands with a stored answer are resent first, since the rejection of an
	// expired one is stored too and displaces the oldest answer.
	for _, tc := range []struct {
		id   uint64
		want fleet.Reason
	}{
		{lastNumber, fleet.Accepted},
		{lastNumber - defaultMaxAnswers + 1, fleet.Accepted},
		{lastNumber - defaultMaxAnswers, fleet.AnswerExpired},
		{1, fleet.AnswerExpired},
	} {
		res := st.Apply(command(strconv.FormatUint(tc.id, 10), tc.id, fleet.NewSwitchPreset(fleet.DefaultPreset)))
		got := fleet.Accepted
		if rej := res.Rejection(); rej != nil {
			got = rej.Reason()
		}
		if got != tc.want || st.Number() != lastNumber {
			t.Errorf("resent command %d got %s at configuration number %d, want %s at %d", tc.id, got, st.Number(), tc.want, lastNumber)
		}
	}
}

// Guards against a state that grows without limit with the number of commands.
func TestStateIsBounded(t *testing.T) {
	// One more than a preset may have.
	quotas := make([]model.Quota, 1001)
	for i := range quotas {
		quotas[i] = model.NewQuota(model.TeamID("t"+strconv.Itoa(i)), model.Resources{}, 1)
	}
	for name, tc := range map[string]struct {
		// bound is the number of commands that must be accepted.
		bound int
		act   func(i int) fleet.Action
	}{
		"presets": {256, func(i int) fleet.Action {
			return fleet.NewCreatePreset(preset(t, model.PresetSpec{Name: "p" + strconv.Itoa(i)}), false)
		}},
		"VMs": {1000, func(i int) fleet.Action {
			return fleet.NewAddLearner(vm("v"+strconv.Itoa(i), "riga-a", true))
		}},
		"data centres": {256, func(i int) fleet.Action {
			return fleet.NewAddLearner(vm("v"+strconv.Itoa(i), "c"+strconv.Itoa(i), true))
		}},
		"quotas": {0, func(int) fleet.Action {
			return fleet.NewCreatePreset(preset(t, model.PresetSpec{Name: "large", Quotas: quotas}), false)
		}},
	} {
		st := fleet.New()
		for i := range tc.bound + 2 {
			rej := st.Apply(command(strconv.Itoa(i), st.Number()+1, tc.act(i))).Rejection()
			if (rej != nil) != (i >= tc.bound) || rej != nil && rej.Reason() != fleet.TooMany {
				t.Fatalf("%s: command %d got rejection %v, want the first %d accepted and the rest rejected", name, i, rej, tc.bound)
			}
		}
	}
}

// Guards against storing an answer to a command that lacks an identifier, number,
// operator or action, so that a resent command could not be recognized, or whose
// texts are too long.
func TestIncompleteCommandsAreNotRecorded(t *testing.T) {
	st := fleet.New()
	act := fleet.NewSwitchPreset(fleet.DefaultPreset)
	long := string(make([]byte, 65))
	for name, cmd := range map[string]fleet.Command{
		"zero": {}, "no identity": command("", 1, act), "no number": command("a", 0, act), "no action": command("a", 1, nil),
		"no operator": fleet.NewCommand("a", 1, "", act), "long identity": command(long, 1, act), "long target": command("a", 1, fleet.NewSwitchPreset(long)),
	} {
		if rej := st.Apply(cmd).Rejection(); rej == nil || rej.Reason() != fleet.Invalid {
			t.Errorf("%s: got %v, want invalid", name, rej)
		}
	}
	if sn := st.Snapshot().Spec(); len(sn.Answers) != 0 || st.Number() != 0 {
		t.Errorf("state after invalid commands is %+v, want it empty", sn)
	}
}

func preset(t *testing.T, spec model.PresetSpec) model.Preset {
	t.Helper()
	pre, err := model.NewPreset(spec)
	if err != nil {
		t.Fatal(err)
	}
	return pre
}

func vm(name, centre string, disk bool) fleet.VM {
	return fleet.NewVM(fleet.VMSpec{
		Name: model.VMID(name), Centre: model.CentreID(centre), PeerAddress: "10.0.0.1:7002", APIAddress: "10.0.0.1:7001", Disk: disk,
	})
}
