package fleet_test

import (
	"strconv"
	"testing"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// defaultMaxAnswers is the number of answers that must be kept (section 4.4).
const defaultMaxAnswers = 4096

func command(id string, number uint64, act fleet.Action) fleet.Command {
	return fleet.NewCommand(model.CommandID(id), number, "ilze", act)
}

// Guards against a command that is executed twice (section 4.4, F12): exactly the
// last 4,096 answers are kept, and a command resent after its answer expired is
// rejected.
func TestExpiredCommandIsNotExecutedAgain(t *testing.T) {
	st := fleet.New()
	const last = 3 * defaultMaxAnswers
	for i := uint64(1); i <= last; i++ {
		st.Apply(command(strconv.FormatUint(i, 10), i, fleet.NewSwitchPreset(fleet.DefaultPreset)))
	}
	if kept := len(st.Snapshot().Spec().Answers); kept != defaultMaxAnswers || st.Number() != last {
		t.Fatalf("%d answers are kept at %d, want %d at %d", kept, st.Number(), defaultMaxAnswers, last)
	}
	// Commands with a kept answer are tried first, since the rejection of an
	// expired one is kept in turn and displaces the oldest answer.
	for _, tc := range []struct {
		id   uint64
		want fleet.Reason
	}{
		{last, fleet.Accepted},
		{last - defaultMaxAnswers + 1, fleet.Accepted},
		{last - defaultMaxAnswers, fleet.AnswerExpired},
		{1, fleet.AnswerExpired},
	} {
		res := st.Apply(command(strconv.FormatUint(tc.id, 10), tc.id, fleet.NewSwitchPreset(fleet.DefaultPreset)))
		got := fleet.Accepted
		if rej := res.Rejection(); rej != nil {
			got = rej.Reason()
		}
		if got != tc.want || st.Number() != last {
			t.Errorf("retry of command %d got %s at %d, want %s at %d", tc.id, got, st.Number(), tc.want, last)
		}
	}
}

// Guards against a state that grows without limit with the number of commands.
func TestStateIsBounded(t *testing.T) {
	many := make([]model.Quota, 1001)
	for i := range many {
		many[i] = model.NewQuota(model.TeamID("t"+strconv.Itoa(i)), model.Resources{}, 1)
	}
	for name, tc := range map[string]struct {
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
			return fleet.NewCreatePreset(preset(t, model.PresetSpec{Name: "large", Quotas: many}), false)
		}},
	} {
		st := fleet.New()
		for i := range tc.bound + 2 {
			rej := st.Apply(command(strconv.Itoa(i), st.Number()+1, tc.act(i))).Rejection()
			if (rej != nil) != (i >= tc.bound) || rej != nil && rej.Reason() != fleet.TooMany {
				t.Fatalf("%s: number %d got %v, want the bound %d", name, i, rej, tc.bound)
			}
		}
	}
}

// Guards against recording commands that lack an identifier, number, operator or
// action, which could not be distinguished later, or that are too long.
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
		t.Errorf("recorded %+v", sn)
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
