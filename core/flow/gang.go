package flow

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

// gangClaim is the search of one plan for room for all waiting tasks of a gang.
type gangClaim struct {
	// missing counts the tasks without a place.
	missing int
	// places are the workers chosen so far, one for each task, with the runs to
	// preempt there, if any. Their capacity is claimed.
	places []preemption
	// latest is the expected time until the last of the places has room.
	latest time.Duration
}

// claimForGang claims capacity for all waiting tasks of a gang, and returns the
// number of claims. A lost long-running gang may preempt runs for it. If some task
// finds no place, nothing is claimed or preempted. id is one of the tasks.
func (pl *Planner) claimForGang(now model.Instant, rs *readyStep, id TaskID) int {
	num := rs.waitingTasks()
	if kept := pl.keptFor(rs); kept > 0 {
		return kept
	}
	if rs.restart && (!pl.mayClaim(num) || pl.claimMissed(now, rs)) {
		return 0
	}
	candidates, otherConditions := pl.claimCandidates(now, rs, id)
	gc := &gangClaim{missing: num}
	pl.takeRoomWithin(now, rs, gc, candidates, stopDelay)
	if rs.mayPreempt(now) {
		pl.takePreemptable(now, rs, gc, candidates)
	}
	pl.takeRoomWithin(now, rs, gc, candidates, rs.claimHorizon(now))
	if gc.missing > 0 {
		gc.drop(rs)
		if rs.restart {
			pl.recordClaimMiss(now, rs, otherConditions)
		}
		return 0
	}
	if !rs.restart && !pl.turnsOf(rs).mayClaim(now, rs, gc.latest) {
		gc.drop(rs)
		return 0
	}
	pl.settle(now, rs, gc, id)
	if rs.restart {
		pl.claimsLeft = max(0, pl.claimsLeft-num)
	}
	return num
}

// mayClaim reports whether the plan may make num more claims for restarts at
// once. The first claims of a plan may exceed the bound, so that it keeps no gang
// from claiming.
func (pl *Planner) mayClaim(num int) bool {
	return num <= pl.claimsLeft || pl.claimsLeft == pl.maxClaims()
}

// maxClaims returns how many claims a plan may make for restarts.
func (pl *Planner) maxClaims() int { return max(minClaims, len(pl.workers.sorted)/claimDivisor) }

// takeRoomWithin gives tasks of a gang places that are expected to have room
// within a time.
func (pl *Planner) takeRoomWithin(now model.Instant, rs *readyStep, gc *gangClaim, candidates []claimCandidate, horizon time.Duration) {
	for again := true; again && gc.missing > 0; {
		again = false
		soon := candidatesWithin(candidates, horizon)
		for _, can := range soon[:min(len(soon), gc.missing)] {
			gc.latest = max(gc.latest, can.after)
			pl.takePlace(now, rs, gc, preemption{worker: can.worker, candidate: can})
			again = true
		}
	}
}

// takePreemptable gives tasks of a gang places where runs of lower priority can
// be stopped for them, first where the least work is lost. It marks these runs as
// evicting.
func (pl *Planner) takePreemptable(now model.Instant, rs *readyStep, gc *gangClaim, candidates []claimCandidate) {
	for again := true; again && gc.missing > 0; {
		again = false
		var options []preemption
		for i := range candidates {
			can := &candidates[i]
			if can.after <= stopDelay || rs.spec.PerWorker > 0 && can.tasks >= rs.spec.PerWorker {
				continue
			}
			if pre, ok := pl.preemptionOn(now, can.worker, rs); ok {
				pre.candidate = can
				options = append(options, pre)
			}
		}
		slices.SortStableFunc(options, func(a, b preemption) int { return cmp.Compare(a.lost, b.lost) })
		for _, pre := range options[:min(len(options), gc.missing)] {
			pre.mark(true)
			gc.latest = max(gc.latest, stopDelay)
			pl.takePlace(now, rs, gc, pre)
			again = true
		}
	}
}

// takePlace claims capacity for one task of a gang.
func (pl *Planner) takePlace(now model.Instant, rs *readyStep, gc *gangClaim, pre preemption) {
	pre.worker.claims.add(rs.state(), rs.spec.reservation(), unknownRoom)
	pre.candidate.tasks++
	pre.candidate.after = pl.nextRoom(now, rs, pre.candidate)
	gc.places = append(gc.places, pre)
	gc.missing--
}

// drop drops the claims and spares the runs.
func (gc *gangClaim) drop(rs *readyStep) {
	for _, pre := range gc.places {
		pre.mark(false)
		pre.worker.claims.drop(rs.state())
	}
}

// settle makes the claims last until the last place has room. If nothing but the
// stops of runs is waited for, it preempts them and keeps all places; otherwise it
// spares the runs.
func (pl *Planner) settle(now model.Instant, rs *readyStep, gc *gangClaim, id TaskID) {
	preempts := slices.ContainsFunc(gc.places, func(pre preemption) bool { return len(pre.runs) > 0 })
	for _, pre := range gc.places {
		pre.worker.claims.delay(rs.state(), gc.latest)
		if gc.latest > stopDelay {
			pre.mark(false)
			continue
		}
		pl.recordPreemption(now, rs, id, pre)
		if preempts {
			pl.keep(now, rs, pre.worker)
		}
	}
}

// mergeGangFailures makes the failures of a run of a gang count once: the state
// counts each end that is proposed as Failed, so that those of further members are
// proposed as GangBroken. No proposal is under way when it is called.
func (pl *Planner) mergeGangFailures() {
	// counted has the first member of each gang run with a failure.
	var counted map[runID]bool
	for i := range pl.pendingOps {
		op := &pl.pendingOps[i]
		if op.kind != OpEnd || op.outcome != Failed {
			continue
		}
		jb, occ, _, ok := pl.st.find(op.task)
		if !ok || !jb.spec.Steps[op.task.step].Gang {
			continue
		}
		gr := runID{task: op.task, attempt: op.attempt}
		gr.task.index = 0
		if counted[gr] || occ.steps[op.task.step].failedAttempt >= op.attempt {
			op.outcome = GangBroken
			continue
		}
		if counted == nil {
			counted = map[runID]bool{}
		}
		counted[gr] = true
	}
}
