// Package repair brings the members of a replication group in line with the VMs
// that operators want. It chooses one membership change at a time, in an order
// that never leaves a group with fewer working voters than it needs.
package repair

import (
	"slices"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// Goal is the wanted membership of one group.
type Goal struct {
	// voters is ordered by seniority (see package fleet). No VM is in both
	// voters and learners.
	voters   []model.VMID
	learners []model.VMID
	// barred are VMs whose disk must not vote: an operator replaced the disk
	// and has not promoted the new one yet.
	barred []model.VMID
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

// Wanted reports whether vmi should be a member of the group.
func (goa Goal) Wanted(vmi model.VMID) bool {
	return slices.Contains(goa.voters, vmi) || slices.Contains(goa.learners, vmi)
}

// Next returns the next change towards the goal, or false if the goal is
// reached. Members that are gone or may not vote are removed first, since they
// count towards the majority and cannot answer. Voters that are merely no
// longer needed are removed last, after their replacements vote.
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
