package repair

import (
	"fmt"
	"testing"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// newFleet returns the state of a fleet with three data centres.
func newFleet(t *testing.T) *fleet.State {
	t.Helper()
	sta := fleet.New()
	var vms []fleet.VM
	for _, name := range []string{"a-1", "a-2", "b-1", "c-1"} {
		vms = append(vms, testVM(name))
	}
	apply(t, sta, fleet.NewBootstrap(vms))
	return sta
}

func testVM(name string) fleet.VM {
	return fleet.NewVM(fleet.VMSpec{
		Name: model.VMID(name), Centre: model.CentreID(name[:1]),
		PeerAddress: "127.0.0.1:1", APIAddress: "127.0.0.1:2", Disk: true,
	})
}

func apply(t *testing.T, sta *fleet.State, act fleet.Action) {
	t.Helper()
	num := sta.Number() + 1
	if err := sta.Apply(fleet.NewCommand(model.CommandID(fmt.Sprint("c", num)), num, "test", act)).Err(); err != nil {
		t.Fatal(err)
	}
}

// reconcile applies changes until the members match the goal. It returns the
// changes as text and the members.
func reconcile(t *testing.T, goa Goal, mems quorum.Members) (string, quorum.Members) {
	t.Helper()
	var log string
	for range 20 {
		chg, ok := Next(goa, mems)
		if !ok {
			return log, mems
		}
		var lst []quorum.Member
		for _, mem := range mems.List() {
			if mem.VM() != chg.VM() {
				lst = append(lst, mem)
			}
		}
		if chg.Kind() != quorum.Remove {
			lst = append(lst, quorum.NewMember(chg.VM(), "", chg.Kind() == quorum.Promote))
		}
		mems = quorum.NewMembers(false, lst...)
		log += fmt.Sprintf("%s %s;", [...]string{"add", "promote", "remove"}[chg.Kind()], chg.VM())
	}
	t.Fatalf("goal not reached after 20 changes: %s", log)
	return "", mems
}

func members(voters, learners []string) quorum.Members {
	var lst []quorum.Member
	for _, name := range voters {
		lst = append(lst, quorum.NewMember(model.VMID(name), "old", true))
	}
	for _, name := range learners {
		lst = append(lst, quorum.NewMember(model.VMID(name), "", false))
	}
	return quorum.NewMembers(false, lst...)
}

// Guards against a VM with a replaced disk that votes before the new disk is
// promoted, and against a group that has two voters for good because the VM is
// not promoted afterwards.
func TestReplacedDiskVotesOnlyAfterPromotion(t *testing.T) {
	sta := newFleet(t)
	mems := members([]string{"a-1", "b-1", "c-1"}, []string{"a-2"})
	if log, _ := reconcile(t, FleetGoal(sta), mems); log != "" {
		t.Fatalf("changes of a group that matches the goal: %s", log)
	}
	apply(t, sta, fleet.NewReplaceVM("b-1", testVM("b-1")))
	log, mems := reconcile(t, FleetGoal(sta), mems)
	if log != "remove b-1;add b-1;" {
		t.Errorf("changes %q before the new disk is promoted, want b-1 removed and added as a learner", log)
	}
	apply(t, sta, fleet.NewPromote("b-1", "new"))
	if log, _ = reconcile(t, FleetGoal(sta), mems); log != "promote b-1;" {
		t.Errorf("changes %q after the new disk is promoted, want b-1 promoted", log)
	}
}

// Guards against a group that loses a voter before its replacement votes.
func TestSuccessorVotesBeforeTheOldVoterLeaves(t *testing.T) {
	sta := newFleet(t)
	mems := members([]string{"a-1", "a-2", "b-1", "c-1"}, nil)
	log, _ := reconcile(t, FleetGoal(sta), mems)
	if log != "remove a-2;add a-2;" {
		t.Errorf("changes %q for a surplus voter, want a-2 removed and added as a learner", log)
	}
	apply(t, sta, fleet.NewRemoveVM("a-1"))
	mems = members([]string{"a-1", "b-1", "c-1"}, []string{"a-2"})
	if log, _ = reconcile(t, FleetGoal(sta), mems); log != "remove a-1;promote a-2;" {
		t.Errorf("changes %q for a removed VM, want its removal before the promotion of a-2", log)
	}
}
