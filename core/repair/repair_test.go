package repair

import (
	"fmt"
	"slices"
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
func reconcile(t *testing.T, goa Goal, mems quorum.Members, replaced ...model.VMID) (string, quorum.Members) {
	t.Helper()
	var log string
	var pln Plan
	for range 20 {
		chg, ok := pln.Next(0, goa, mems, replaced)
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
		replaced = slices.DeleteFunc(replaced, func(vmi model.VMID) bool { return vmi == chg.VM() })
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
	if log, _ = reconcile(t, FleetGoal(sta), mems); log != "promote a-2;remove a-1;" {
		t.Errorf("changes %q for a removed VM, want the promotion of a-2 before its removal", log)
	}
}

// Guards against a group that shrinks below what bears its losses while the VMs that
// are to replace its lost voters are not there yet.
func TestLostVotersStayUntilReplacementsVote(t *testing.T) {
	sta := newFleet(t)
	apply(t, sta, fleet.NewReplaceVM("b-1", testVM("b-2")))
	apply(t, sta, fleet.NewReplaceVM("c-1", testVM("c-1")))
	mems := members([]string{"a-1", "b-1", "c-1"}, []string{"a-2"})
	log, mems := reconcile(t, FleetGoal(sta), mems)
	if log != "remove c-1;add b-2;add c-1;" {
		t.Errorf("changes %q, want c-1 removed for its own sake and b-1 kept", log)
	}
	apply(t, sta, fleet.NewPromote("b-2", "new"))
	if log, _ = reconcile(t, FleetGoal(sta), mems); log != "promote b-2;" {
		t.Errorf("changes %q after the promotion of b-2, want b-1 kept until c-1 votes", log)
	}
	apply(t, sta, fleet.NewPromote("c-1", "new"))
	if log, _ = reconcile(t, FleetGoal(sta), mems); log != "promote b-2;promote c-1;remove b-1;" {
		t.Errorf("changes %q after both promotions", log)
	}
}

// Guards against a voter that counts with its old disk for good, because the new one
// was promoted in the fleet before the leader of the group saw the replacement.
func TestPromotedDiskIsReplacedInTheGroup(t *testing.T) {
	sta := newFleet(t)
	apply(t, sta, fleet.NewReplaceVM("b-1", testVM("b-1")))
	apply(t, sta, fleet.NewPromote("b-1", "new"))
	mems := members([]string{"a-1", "b-1", "c-1"}, []string{"a-2"})
	if log, _ := reconcile(t, FleetGoal(sta), mems, "b-1"); log != "remove b-1;add b-1;promote b-1;" {
		t.Errorf("changes %q", log)
	}
}

// Guards against a learner that never catches up and keeps the group from all other
// changes.
func TestFailedPromotionGivesWay(t *testing.T) {
	sta := newFleet(t)
	mems := members([]string{"c-1"}, []string{"a-1", "b-1", "a-2"})
	var pln Plan
	first, _ := pln.Next(0, FleetGoal(sta), mems, nil)
	pln.Failed(0, first)
	if next, ok := pln.Next(1, FleetGoal(sta), mems, nil); !ok || next == first {
		t.Errorf("change of %q after a failed promotion of %q, %v", next.VM(), first.VM(), ok)
	}
}
