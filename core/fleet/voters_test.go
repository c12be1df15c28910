package fleet_test

import (
	"strings"
	"testing"

	"guavarail/core/fleet"
)

// namesOf returns the names of the VMs, separated by spaces.
func namesOf(vms []fleet.VM) string {
	var out []string
	for _, vm := range vms {
		out = append(out, string(vm.Name()))
	}
	return strings.Join(out, " ")
}

// Guards against groups with wrong voters: the fleet group has one voter of each
// data centre, the group of a data centre has its own voters and borrows a third if
// it has two, and neither a learner nor a VM promoted later displaces a voter.
func TestVoters(t *testing.T) {
	st := fleet.New()
	steps := []struct {
		act fleet.Action
		// fleetGroup, nyabihu and musanze are the names of the expected voters of
		// the fleet group and of the groups of two data centres.
		fleetGroup string
		nyabihu    string
		musanze    string
		// description is also the identifier of the command.
		description string
	}{
		{
			fleet.NewBootstrap([]fleet.VM{
				vm("m2", "musanze", true), vm("m1", "musanze", true), vm("m3", "musanze", false),
				vm("n1", "nyabihu", true), vm("r1", "rubavu", true), vm("r2", "rubavu", true),
			}),
			"m1 n1 r1", "n1", "m1 m2 n1", "two voters borrow a third from the next data centre",
		},
		{fleet.NewAddLearner(vm("a0", "nyabihu", true)), "m1 n1 r1", "n1", "m1 m2 n1", "a learner does not vote"},
		{fleet.NewPromote("a0", "d"), "m1 n1 r1", "n1 a0 r1", "m1 m2 n1", "a promoted VM does not displace n1"},
		{fleet.NewRemoveVM("n1"), "m1 r1 a0", "a0", "m1 m2 a0", "the remaining voter takes its place"},
		{fleet.NewReplaceVM("r1", vm("r1", "rubavu", true)), "m1 r2 a0", "a0", "m1 m2 a0", "a replaced voter returns as a learner"},
	}
	for i, step := range steps {
		if err := st.Apply(command(step.description, uint64(i+1), step.act)).Err(); err != nil {
			t.Fatal(err)
		}
		fleetGroup, nyabihu, musanze := namesOf(st.FleetVoters()), namesOf(st.CentreVoters("nyabihu")), namesOf(st.CentreVoters("musanze"))
		if fleetGroup != step.fleetGroup || nyabihu != step.nyabihu || musanze != step.musanze {
			t.Errorf("%s: fleet %q, nyabihu %q, musanze %q; want %q, %q, %q",
				step.description, fleetGroup, nyabihu, musanze, step.fleetGroup, step.nyabihu, step.musanze)
		}
	}
}
