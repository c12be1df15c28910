// Package repair brings the members of a replication group in line with the
// VMs that operators want. It decides one membership change at a time, in an
// order that never leaves a group with fewer working voters than it needs.
package repair

import (
	"slices"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// Goal is what the members of one group should be.
type Goal struct {
	// voters is in the order of seniority; learners has no VM that voters has.
	voters   []model.VMID
	learners []model.VMID
	// barred are VMs whose disk may not vote: an operator replaced it and the
	// new one has not been promoted yet.
	barred []model.VMID
}

// FleetGoal returns the goal of the fleet group.
func FleetGoal(sta *fleet.State) Goal {
	return newGoal(sta, sta.FleetVoters(), func(fleet.VM) bool { return true })
}

// CentreGoal returns the goal of the group of a data centre.
func CentreGoal(sta *fleet.State, centre model.CentreID) Goal {
	return newGoal(sta, sta.CentreVoters(centre), func(vmi fleet.VM) bool { return vmi.Centre() == centre })
}

func newGoal(sta *fleet.State, voters []fleet.VM, member func(vmi fleet.VM) bool) Goal {
	var goa Goal
	for _, vmi := range voters {
		goa.voters = append(goa.voters, vmi.Name())
	}
	for _, vmi := range sta.VMs() {
		if vmi.Role() == fleet.Learner {
			goa.barred = append(goa.barred, vmi.Name())
		}
		if member(vmi) && !slices.Contains(goa.voters, vmi.Name()) {
			goa.learners = append(goa.learners, vmi.Name())
		}
	}
	return goa
}

// Wanted reports whether the group should have vmi as a member.
func (goa Goal) Wanted(vmi model.VMID) bool {
	return slices.Contains(goa.voters, vmi) || slices.Contains(goa.learners, vmi)
}

// Next returns the next change towards the goal, or false when the members are
// as wanted. Lost voters go first, since they count towards the majority and
// cannot answer; voters that are only no longer needed go last, after those
// that take their place.
func Next(goa Goal, mems quorum.Members) (quorum.Change, bool) {
	for _, mem := range mems.List() {
		if !goa.Wanted(mem.VM()) || mem.Voter() && slices.Contains(goa.barred, mem.VM()) {
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
