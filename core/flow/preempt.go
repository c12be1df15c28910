package flow

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// preemptAfter is how long a long-running task has no run before runs of
	// lower priority are stopped for it.
	preemptAfter = 2 * time.Second
	// checkpointLoss is the work that a run with checkpoints is assumed to lose
	// when it is stopped.
	checkpointLoss = time.Second
)

// preemption is a choice of runs whose stop makes room for a task.
type preemption struct {
	worker    *worker
	candidate *claimCandidate
	runs      []*placedRun
	// lost is the work that is lost with the runs, in processor seconds.
	lost float64
}

// preempt stops runs of lower priority on one worker for a long-running step
// that has waited for preemptAfter, unless enough workers for num tasks will have
// room soon. Of all workers it chooses the one that loses the least work. The room
// is claimed and kept for the step. preempt returns the number of claims, 0 or 1.
// id is one of the tasks.
func (pl *Planner) preempt(now model.Instant, rs *readyStep, id TaskID, candidates []claimCandidate, num int) int {
	if !rs.mayPreempt(now) {
		return 0
	}
	soon := 0
	var best preemption
	for i := range candidates {
		can := &candidates[i]
		if can.after <= stopDelay {
			soon++
			continue
		}
		pre, ok := pl.preemptionOn(now, can.worker, rs)
		if ok && (best.worker == nil || pre.lost < best.lost) {
			best, best.candidate = pre, can
		}
	}
	if soon >= num || best.worker == nil {
		return 0
	}
	best.mark(true)
	pl.recordPreemption(now, rs, id, best)
	best.worker.claims.add(rs.state(), rs.spec.reservation(), stopDelay)
	pl.keep(now, rs, best.worker)
	best.candidate.tasks++
	best.candidate.after = pl.nextRoom(now, rs, best.candidate)
	return 1
}

// mayPreempt reports whether runs of lower priority may be stopped for rs.
func (rs *readyStep) mayPreempt(now model.Instant) bool {
	return rs.restart && now.Sub(rs.waitingSince) >= preemptAfter
}

// mark sets whether the runs of the preemption are to be stopped.
func (pre *preemption) mark(evicting bool) {
	for _, pr := range pre.runs {
		pr.evicting, pr.unwantedSince = evicting, 0
	}
	if len(pre.runs) > 0 {
		pre.worker.claims.listed = false
	}
}

// recordPreemption records an event for each run that is stopped. id is a task
// for which it is stopped.
func (pl *Planner) recordPreemption(now model.Instant, rs *readyStep, id TaskID, pre preemption) {
	for _, pr := range pre.runs {
		pl.recordEvent("runPreempted", pr.task.job, pr.task.String(), pre.worker.incarnation.String(), "for", id.String(),
			"lostSeconds", strconv.FormatFloat(pr.lostWork(now), 'f', 2, 64), "downMs", strconv.FormatInt(now.Sub(rs.waitingSince).Milliseconds(), 10))
	}
}

// preemptionOn chooses runs of lower priority on a worker whose stop makes room
// for a task of a step, those that lose the least work first. It returns false
// if they hold too little.
func (pl *Planner) preemptionOn(now model.Instant, wk *worker, rs *readyStep) (preemption, bool) {
	need := rs.spec.reservation()
	free := wk.free().Sub(wk.claims.size)
	if !need.FitsIn(free.Add(wk.stoppable())) {
		return preemption{}, false
	}
	held := model.Resources{}
	for _, pr := range wk.runs {
		switch {
		case pr.preemptable(rs):
			held = held.Add(pr.size)
		case pr.leaving(now):
			free = free.Add(pr.size)
		}
	}
	if !need.FitsIn(free.Add(held)) {
		return preemption{}, false
	}
	var lower []*placedRun
	for _, pr := range wk.runs {
		if pr.preemptable(rs) {
			lower = append(lower, pr)
		}
	}
	slices.SortStableFunc(lower, func(a, b *placedRun) int { return cmp.Compare(a.lostWork(now), b.lostWork(now)) })
	pre := preemption{worker: wk}
	for _, pr := range lower {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(pr.size)
		pre.runs = append(pre.runs, pr)
		pre.lost += pr.lostWork(now)
	}
	return pre, need.FitsIn(free)
}

// preemptable reports whether the run may be stopped for a task of rs.
func (pr *placedRun) preemptable(rs *readyStep) bool {
	return pr.job.spec.Priority > rs.job.spec.Priority && !pr.spec.LongRunning && !pr.spec.Gang && !pr.planned && !pr.ending && !pr.evicting
}

// lostWork estimates the work that is lost when the run is stopped, in processor
// seconds.
func (pr *placedRun) lostWork(now model.Instant) float64 {
	lost := now.Sub(pr.placedAt)
	if pr.spec.Checkpoints {
		lost = min(lost, checkpointLoss)
	}
	return lost.Seconds() * float64(pr.spec.Size.MilliCPU()) / 1000
}
