// Package repair chooses the membership changes that bring a replication group
// in line with the VMs and roles that operators have set in the fleet. It
// returns one change at a time. A learner receives the log and does not vote.
package repair

import (
	"slices"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/voting"
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
	// size is the number of voters once the VMs in nonVoting that have a disk can vote.
	size int
}

// FleetGoal returns the goal of the fleet group, which has all VMs as members.
func FleetGoal(sta *fleet.State) Goal {
	return newGoal(sta, sta.FleetVoters(), sta.FleetSize(), func(fleet.VM) bool { return true })
}

// CentreGoal returns the goal of the group of a data centre, which has the VMs
// of the data centre as members.
func CentreGoal(sta *fleet.State, centre model.CentreID) Goal {
	member := func(vmi fleet.VM) bool { return vmi.Centre() == centre }
	return newGoal(sta, sta.CentreVoters(centre), sta.CentreSize(centre), member)
}

// newGoal returns the goal of a group with the given voters and size; the learners are
// the other VMs for which member is true.
func newGoal(sta *fleet.State, voters []fleet.VM, size int, member func(vmi fleet.VM) bool) Goal {
	goa := Goal{size: max(size, len(voters))}
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

// minVoters returns the number of voters below which no voter is removed for the sake
// of its own VM. With at most one voter too few, a majority has as many disks as one of
// the whole group needs to bear its losses: half of the voters, rounded down.
func (goa Goal) minVoters() int { return goa.size - 1 }

// Plan chooses the changes of one group. Only the leader of the group uses it. The zero
// value is ready to use.
type Plan struct {
	// retries holds back promotions that failed.
	retries voting.Retries
}

// Failed records that a change was rejected or did not take effect in time.
func (pln *Plan) Failed(now model.Instant, chg quorum.Change) { pln.retries.Failed(now, chg) }

// Next returns the next change towards the goal, or false if mems match the goal or the
// VMs that are needed for it can't be promoted now. replaced are voters whose VM has
// another disk than mems has, with which it may vote. Voters are replaced as
// voting.Census describes; a voter that should be a learner is added again as one after
// its removal.
func (pln *Plan) Next(now model.Instant, goa Goal, mems quorum.Members, replaced []model.VMID) (quorum.Change, bool) {
	cen := voting.Census{Wanted: goa.size, Min: goa.minVoters(), Candidates: pln.candidates(now, goa, mems)}
	var surplus []model.VMID
	for _, mem := range mems.List() {
		vmi := mem.VM()
		switch {
		case !mem.Voter() && !goa.Wanted(vmi):
			cen.Idle = append(cen.Idle, vmi)
		case !mem.Voter():
		case !goa.Wanted(vmi):
			cen.Lost = append(cen.Lost, vmi)
		case slices.Contains(goa.nonVoting, vmi) || slices.Contains(replaced, vmi):
			cen.Replaced = append(cen.Replaced, vmi)
		case !slices.Contains(goa.voters, vmi):
			surplus = append(surplus, vmi)
		}
	}
	cen.Voters = mems.Voters()
	cen.Lost = append(cen.Lost, surplus...)
	if chg, ok := cen.Next(); ok {
		return chg, true
	}
	for _, vmi := range slices.Concat(goa.voters, goa.learners) {
		if _, ok := mems.Find(vmi); !ok {
			return quorum.NewChange(quorum.AddLearner, vmi), true
		}
	}
	return quorum.Change{}, false
}

// candidates returns the next step for each VM that should become a voter.
func (pln *Plan) candidates(now model.Instant, goa Goal, mems quorum.Members) []quorum.Change {
	var steps []quorum.Change
	for _, vmi := range goa.voters {
		mem, ok := mems.Find(vmi)
		switch {
		case !ok:
			steps = append(steps, quorum.NewChange(quorum.AddLearner, vmi))
		case !mem.Voter() && pln.retries.MayPromote(now, vmi):
			steps = append(steps, quorum.NewChange(quorum.Promote, vmi))
		}
	}
	return steps
}
