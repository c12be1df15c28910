package flow

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// minClaimHorizon is how far ahead a claim looks at least. A claim keeps
	// capacity idle until the runs that hold the rest have ended, so it looks no
	// further ahead than its task has waited, or this long.
	minClaimHorizon = 5 * time.Second
	// openClaimAfter is how long a task has waited before it may claim capacity
	// on a worker of which it is unknown when it has room.
	openClaimAfter = 3 * time.Second
	// A plan makes claims for restarts on at most one worker in claimDivisor, but
	// on minClaims in any case.
	claimDivisor = 8
	minClaims    = 4
	// At most one in openDivisor of these claims is open.
	openDivisor = 2
	// stopDelay is the expected time from the decision to stop a run until its
	// end is recorded.
	stopDelay = time.Second
	// backfillMargin is the time that a task needs to be picked up by its worker,
	// beyond twice its estimate, before it counts as over.
	backfillMargin = time.Second
	// maxStopTime is how long the stop of a run may take. A stop that has taken
	// longer is expected to take as long again.
	maxStopTime = 5 * time.Second
)

// unknownRoom stands for the time until a worker has room if no run on it is
// expected to end.
const unknownRoom = time.Duration(math.MaxInt64)

// claims is the capacity of a worker that the current plan keeps for tasks that
// found no room. Steps that come later in the scheduling order do not get it,
// but for restarts, which take what they fit into beside kept room.
// It is made anew as claimPace permits, at the same worker as before where possible,
// because the room there has grown meanwhile. The zero value keeps nothing.
type claims struct {
	// size is the sum of what the claims need.
	size model.Resources
	// soonest is the expected time until the first of them has room.
	soonest time.Duration
	// made are the claims, and former those that were replaced last.
	made, former []claim
	// total is the sum of the sizes of the runs that are expected to end by
	// themselves. It is valid if listed is set.
	total  model.Resources
	listed bool
	// releases are these runs, ordered by when they end. They are valid if
	// ordered is set as well.
	releases []release
	ordered  bool
	// kept is the part of the claims that is kept from plan to plan.
	kept []keptRoom
}

// claim is what a worker keeps for one task.
type claim struct {
	holder *step
	need   model.Resources
	// after is the expected time until the worker has room for the task.
	after time.Duration
	// kept is set if the claim is for kept room, which has a record of its own.
	kept bool
}

// reset drops all claims, remembers them and keeps the buffers.
func (cl *claims) reset() {
	if len(cl.made) == 0 && len(cl.former) == 0 && !cl.listed {
		return
	}
	*cl = claims{releases: cl.releases[:0], former: cl.made, made: cl.former[:0]}
}

// carry keeps the claims of the plan before, as many for a step as it has tasks without a run,
// but for those for kept room, which are added anew. carried counts the claims of each step.
func (cl *claims) carry(carried map[*step]int) {
	if len(cl.made) == 0 && !cl.listed {
		return
	}
	made := cl.made
	*cl = claims{releases: cl.releases[:0], former: cl.former, made: made[:0]}
	for _, one := range made {
		if !one.kept && carried[one.holder] < one.holder.idleTasks {
			carried[one.holder]++
			cl.add(one.holder, one.need, one.after)
		}
	}
}

// add records a claim of a step that has room after a time.
func (cl *claims) add(holder *step, need model.Resources, after time.Duration) {
	if cl.size.IsZero() || after < cl.soonest {
		cl.soonest = after
	}
	cl.size = cl.size.Add(need)
	cl.made = append(cl.made, claim{holder: holder, need: need, after: after})
}

// markKept marks the newest claim of a step, which is for kept room.
func (cl *claims) markKept(holder *step) {
	for i := range slices.Backward(cl.made) {
		if one := &cl.made[i]; one.holder == holder && !one.kept {
			one.kept = true
			return
		}
	}
}

// drop drops the claims of a step.
func (cl *claims) drop(holder *step) {
	left := cl.made[:0]
	for _, one := range cl.made {
		if one.holder == holder {
			cl.size = cl.size.Sub(one.need)
			continue
		}
		left = append(left, one)
	}
	cl.made = left
}

// delay sets the time until the claims of a step have room.
func (cl *claims) delay(holder *step, after time.Duration) {
	for i := range cl.made {
		if cl.made[i].holder == holder {
			cl.made[i].after = after
		}
	}
	cl.soonest = min(cl.soonest, after)
}

// held reports whether a step had a claim among those that were replaced last.
func (cl *claims) held(holder *step) bool {
	return slices.ContainsFunc(cl.former, func(one claim) bool { return one.holder == holder })
}

// hasRoom reports whether a task of rs fits on the worker beside its runs and the
// claims that bind it, or will have ended before the first claim has room.
func (wk *worker) hasRoom(rs *readyStep, need model.Resources) bool {
	free := wk.free()
	switch {
	case !need.FitsIn(free):
		return false
	case rs.restart:
		return len(wk.claims.kept) == 0 || need.FitsIn(wk.freeFor(rs))
	case wk.claims.size.IsZero() || need.FitsIn(free.Sub(wk.claims.size).Max(model.Resources{})):
		return true
	}
	return rs.spec.Estimate > 0 && !rs.spec.LongRunning && 2*rs.spec.Estimate+backfillMargin <= wk.claims.soonest
}

// claimHorizon returns how far ahead a claim for rs looks.
func (rs *readyStep) claimHorizon(now model.Instant) time.Duration {
	return max(minClaimHorizon, now.Sub(rs.waitingSince))
}

// claimForRestart claims capacity for the tasks of a restart, and preempts runs
// for it, unless the plan has no claims left or is known to find none. It returns
// the number of claims. id is one of the tasks.
func (pl *Planner) claimForRestart(now model.Instant, rs *readyStep, id TaskID) int {
	kept := pl.keptFor(rs)
	num := min(rs.waitingTasks()-kept, pl.claimsLeft)
	if num <= 0 || pl.claimMissed(now, rs) {
		return kept
	}
	candidates, otherConditions := pl.claimCandidates(now, rs, id)
	made := pl.preempt(now, rs, id, candidates, rs.waitingTasks()-kept)
	claimed, open := pl.claimRoom(now, rs, candidates, num-made)
	made += claimed
	if made == 0 || open {
		pl.recordClaimMiss(now, rs, otherConditions)
	}
	pl.claimsLeft -= made
	return kept + made
}

// claimForOverdue claims capacity for one task of an overdue step, and returns the
// number of claims, 0 or 1. id is one of the tasks.
func (pl *Planner) claimForOverdue(now model.Instant, rs *readyStep, id TaskID) int {
	tu := pl.turnsOf(rs)
	if slices.ContainsFunc(tu.misses, func(mi miss) bool { return mi.covers(rs, rs.spec.reservation()) }) {
		return 0
	}
	candidates, otherConditions := pl.claimCandidates(now, rs, id)
	if len(candidates) > 0 && tu.mayClaim(now, rs, soonest(candidates)) {
		made, _ := pl.claimRoom(now, rs, candidates, 1)
		return made
	}
	if !otherConditions {
		tu.misses = append(tu.misses, newMiss(rs, rs.spec.reservation()))
	}
	return 0
}

// claimRoom claims capacity for up to num tasks of a step, on the workers that
// are expected to have it soonest, and returns the number of claims. A step that
// finds none and has waited for openClaimAfter makes an open claim, of which a plan
// may make few for restarts; open is then true.
func (pl *Planner) claimRoom(now model.Instant, rs *readyStep, candidates []claimCandidate, num int) (made int, open bool) {
	need := rs.spec.reservation()
	for again := true; again && made < num; {
		again = false
		soon := candidatesWithin(candidates, rs.claimHorizon(now))
		for _, can := range soon[:min(len(soon), num-made)] {
			can.worker.claims.add(rs.state(), need, can.after)
			can.tasks++
			can.after = pl.nextRoom(now, rs, can)
			made++
			again = true
		}
	}
	if made > 0 || num <= 0 || now.Sub(rs.waitingSince) < openClaimAfter || rs.restart && pl.openLeft == 0 {
		return made, false
	}
	made = claimOpen(rs, candidates)
	if rs.restart {
		pl.openLeft -= made
	}
	return made, true
}

// claimOpen claims capacity for one task on the worker without claims that lacks
// least, for as long as it takes until runs on it end, and returns the number of
// claims. An open claim keeps what is free on its worker, but for tasks that are
// short.
func claimOpen(rs *readyStep, candidates []claimCandidate) int {
	var best *claimCandidate
	least := 0.0
	need := rs.spec.reservation()
	for i := range candidates {
		can := &candidates[i]
		if !can.worker.claims.size.IsZero() || best != nil && best.held && !can.held {
			continue
		}
		// What a task lacks there, as a fraction of the worker in the scarcest dimension.
		shortage := need.Sub(can.worker.free()).DominantShare(can.worker.size)
		if best == nil || cmp.Or(trueFirst(can.held, best.held), cmp.Compare(shortage, least)) < 0 {
			best, least = can, shortage
		}
	}
	if best == nil {
		return 0
	}
	best.worker.claims.add(rs.state(), rs.spec.reservation(), minClaimHorizon)
	return 1
}

// waitingTasks counts the waiting tasks that rs is meant to place.
func (rs *readyStep) waitingTasks() int {
	num := 0
	sp := &rs.occ.steps[rs.step]
	for i := range sp.tasks {
		if rs.wants(&sp.tasks[i]) {
			num++
		}
	}
	return num
}
