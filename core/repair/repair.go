// Package repair chooses the membership changes that bring a replication group
// in line with the VMs and roles that operators have set in the fleet. It
// returns one change at a time. A learner receives the log and does not vote. A
// voter is removed before its replacement votes only if it should not be a
// member or must not vote.
package repair

import (
	"slices"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// Goal is the wanted membership of one group.
type Goal struct {
	// voters are ordered as fleet.State returns them: the VM that has been a
	// voter for longest comes first, a voter of another data centre, which a
	// data centre with two voters borrows, last. No VM is in both voters and
	// learners.
	voters   []model.VMID
	learners []model.VMID
	// nonVoting are VMs whose disk must not vote: an operator replaced the disk
	// and has not promoted the new one yet.
	nonVoting []model.VMID
}

// FleetGoal returns the goal of the fleet group, which has all VMs as members.
func FleetGoal(sta *fleet.State) Goal {
	return newGoal(sta, sta.FleetVoters(), func(fleet.VM) bool { return true })
}

// CentreGoal returns the goal of the group of a data centre, which has the VMs
// of the data centre as members.
func CentreGoal(sta *fleet.State, centre model.CentreID) Goal {
	return newGoal(sta, sta.CentreVoters(centre), func(vmi fleet.VM) bool { return vmi.Centre() == centre })
}

// newGoal returns the goal of a group with the given voters; the learners are
// the other VMs for which member is true.
func newGoal(sta *fleet.State, voters []fleet.VM, member func(vmi fleet.VM) bool) Goal {
	var goa Goal
	for _, vmi := range voters {
		goa.voters = append(goa.voters, vmi.Name())
	}
	for _, vmi := range sta.VMs() {
		if vmi.Role() == fleet.Learner {
			goa.nonVoting = append(goa.nonVoting, vmi.Name())
		}
		if member(vmi) && !slices.Contains(goa.voters, vmi.Name()) {
			goa.learners = append(goa.learners, vmi.Name())
		}
	}
	return goa
}

// Wanted reports whether a VM should be a member of the group.
func (goa Goal) Wanted(vmi model.VMID) bool {
	return slices.Contains(goa.voters, vmi) || slices.Contains(goa.learners, vmi)
}

// Next returns the next change towards the goal, or false if mems match the
// goal. VMs that should not be members and voters that must not vote are
// removed first, since they count towards the majority and cannot answer. A
// voter that should be a learner is removed last, after its replacement votes;
// it is then added again as a learner.
func Next(goa Goal, mems quorum.Members) (quorum.Change, bool) {
	for _, mem := range mems.List() {
		if !goa.Wanted(mem.VM()) || mem.Voter() && slices.Contains(goa.nonVoting, mem.VM()) {
			return quorum.NewChange(quorum.Remove, mem.VM()), true
		}
	}
	for _, vmi := range slices.Concat(goa.voters, goa.learners) {
		if _, ok := mems.Find(vmi); !ok {
			return quorum.NewChange(quorum.AddLearner, vmi), true
		}
	}
	for _, vmi := range goa.voters {
		if mem, _ := mems.Find(vmi); !mem.Voter() {
			return quorum.NewChange(quorum.Promote, vmi), true
		}
	}
	for _, mem := range mems.List() {
		if mem.Voter() && !slices.Contains(goa.voters, mem.VM()) {
			return quorum.NewChange(quorum.Remove, mem.VM()), true
		}
	}
	return quorum.Change{}, false
}
