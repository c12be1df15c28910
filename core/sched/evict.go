package sched

import (
	"time"

	"guavarail/core/health"
	"guavarail/core/model"
)

const (
	// urgentDelay is how long urgent tasks wait before batch attempts are
	// evicted for them.
	urgentDelay = 2 * time.Second
	// reclaimDelay is how long tasks within their team's quota wait before
	// borrowed quota is reclaimed. Together with the time to stop the evicted
	// attempts, this stays far below the bound of 60 s from submission to start
	// for tasks within quota.
	reclaimDelay = 10 * time.Second
	// takeoverDelay is how long a new leader waits for the first report of each
	// worker before it evicts attempts. Workers report every second.
	takeoverDelay = time.Second
	// maxTasksPerTick bounds the number of tasks for which one tick evicts
	// others.
	maxTasksPerTick = 16
)

// evictable reports whether the attempt may be evicted: only batch attempts
// may, unless their stop is already requested.
func evictable(la *liveAttempt) bool {
	state := la.task().state
	return la.ref.job.spec.Priority == model.Batch && (state == Starting || state == Running)
}

// evictableBorrower reports whether the attempt may be evicted to return
// borrowed quota.
func evictableBorrower(la *liveAttempt) bool { return la.borrowed && evictable(la) }

// graceLeft returns how long the attempt, whose stop was requested, may still
// take to stop.
func (la *liveAttempt) graceLeft(now model.Instant) time.Duration {
	return max(grace(la.task().reason)-la.recordedAt.age(now), 0)
}

func evictAll(las []*liveAttempt, reason Reason) []Op {
	ops := make([]Op, 0, len(las))
	for _, la := range las {
		ops = append(ops, Evict(la.ref.id(), la.attempt, reason))
	}
	return ops
}

// usable reports whether the planner may evict attempts on the worker or
// reserve it. A worker on probation is not usable: it gets its one task only
// through the placement index.
func (pl *Planner[P]) usable(idx int32) bool {
	wst, wk := &pl.statuses[idx], pl.st.workers[idx]
	return wk.registered && wst.reporting && !wst.shrunk && pl.failures.Standing(wk.id) == health.Good
}

// allowsJob reports whether tasks of the job may be placed on a worker with
// evictions or a reservation: the worker is usable, the policy allows it, and,
// for batch tasks if the preset enables the guard, the kind does not interfere
// with a service there.
func (pl *Planner[P]) allowsJob(idx int32, spec *JobSpec) bool {
	return pl.usable(idx) && pl.policy.Allows(idx, spec.Priority) &&
		(spec.Priority != model.Batch || !pl.lastTick.Preset.Guards() || !pl.interferes(idx, spec.Kind))
}

// planEvictions evicts batch attempts for waiting urgent tasks and for waiting
// tasks within their team's quota.
func (pl *Planner[P]) planEvictions(now model.Instant) []Op {
	if now.Sub(pl.leadingSince) < takeoverDelay {
		return nil
	}
	var ops []Op
	left := maxTasksPerTick
	for pri := model.Urgent; ; pri-- {
		for _, tq := range pl.queue.teamOrder {
			for _, bl := range tq.backlogs[pri] {
				for left > 0 && pl.needsEvictions(now, bl) {
					evictions, ok := pl.evictFor(now, bl)
					if !ok {
						break
					}
					ops = append(ops, evictions...)
					left--
				}
			}
		}
		if pri == model.Batch {
			return ops
		}
	}
}

// needsEvictions reports whether the oldest waiting task of the job without
// evictions has waited long enough for them. The reservations with evictions
// are meant for the oldest waiting tasks, so that task is as many after
// bl.head.
func (pl *Planner[P]) needsEvictions(now model.Instant, bl *backlog) bool {
	if !bl.reason.lacksRoom() {
		return false
	}
	if _, ok := bl.peek(); !ok {
		return false
	}
	next := bl.head
	for _, res := range bl.reservations {
		if res.evicting {
			next++
		}
	}
	if next >= len(bl.waiting) {
		return false
	}
	wait := reclaimDelay
	if bl.job.spec.Priority == model.Urgent {
		wait = urgentDelay
	}
	return now.Sub(bl.waiting[next].since) >= wait
}

// evictFor reserves room on a worker for one task of the job and returns the
// evictions that make it. It returns false if no evictions make room. A claim of
// the job ends.
func (pl *Planner[P]) evictFor(now model.Instant, bl *backlog) ([]Op, bool) {
	spec := &bl.job.spec
	need := pl.commitment(spec)
	canEvict, reason := evictableBorrower, ReasonReclaim
	if spec.Priority == model.Urgent {
		canEvict, reason = evictable, ReasonUrgent
	}
	if !pl.withinQuota(bl, need) {
		return nil, false
	}
	idx, las, ok := pl.workerWithFewestEvictions(now, bl, need, canEvict, reason)
	if !ok {
		return nil, false
	}
	for _, res := range bl.reservations {
		if !res.evicting && res.workerIndex != idx {
			pl.endReservation(now, res, outcomeMoved)
			break
		}
	}
	pl.endClaimOn(now, idx)
	pl.reserve(now, &reservation{
		bl: bl, workerIndex: idx, rank: rankOf(spec.Priority, false), need: need, evicting: true, until: now.Add(grace(reason) + evictionSlack),
	})
	return evictAll(las, reason), true
}

// workerWithFewestEvictions returns the worker on which the fewest evictions
// make room for need, and the attempts to evict. Workers that are not allowed
// for the job are left out, and those with a reservation that must not be
// replaced. The worker's free resources count towards need unless the batch
// share is used up: then the evictions have to cover the whole need.
func (pl *Planner[P]) workerWithFewestEvictions(now model.Instant, bl *backlog, need model.Resources, canEvict func(*liveAttempt) bool, reason Reason) (int32, []*liveAttempt, bool) {
	rank := rankOf(bl.job.spec.Priority, false)
	best, las, found := int32(0), []*liveAttempt(nil), false
	for i := range pl.statuses {
		idx := int32(i)
		if !pl.mayClaim(bl, idx, rank) || !pl.allowsJob(idx, &bl.job.spec) || !need.FitsIn(pl.st.workers[i].size) {
			continue
		}
		free := model.Resources{}
		if bl.reason == ReasonNoCapacity {
			free = pl.freeRoom(idx)
		}
		got, ok := pl.attemptsToEvict(now, idx, need, free, canEvict, grace(reason))
		if ok && (!found || len(got) < len(las)) {
			best, las, found = idx, got, true
			if len(got) <= 1 {
				break
			}
		}
	}
	return best, las, found
}

// attemptsToEvict returns a small set of attempts on the worker whose end makes
// room for need: the smallest attempt that suffices alone, else attempts chosen
// by mostCovering until they suffice. It returns false if no set suffices. free
// is the part of the worker's free resources to count. Stopping attempts count
// as free if their grace ends within the given time. Attempts with an expired
// lease are not chosen, because their end is being recorded already.
func (pl *Planner[P]) attemptsToEvict(now model.Instant, idx int32, need, free model.Resources, canEvict func(*liveAttempt) bool, within time.Duration) ([]*liveAttempt, bool) {
	wst := &pl.statuses[idx]
	var cands []*liveAttempt
	for i := range wst.attempts {
		la := &wst.attempts[i]
		switch {
		case la.task().state == Stopping:
			if la.graceLeft(now) > within {
				continue
			}
			free = free.Add(la.size.resources())
		case canEvict(la) && !la.leaseExpired:
			cands = append(cands, la)
		}
	}
	if need.FitsIn(free) {
		return nil, true
	}
	if one := smallestSufficient(cands, need.Sub(free)); one != nil {
		return []*liveAttempt{one}, true
	}
	var out []*liveAttempt
	for !need.FitsIn(free) {
		la := mostCovering(cands, need.Sub(free))
		if la == nil {
			return nil, false
		}
		out, free = append(out, la), free.Add(la.size.resources())
		for i := range cands {
			if cands[i] == la {
				cands = append(cands[:i], cands[i+1:]...)
				break
			}
		}
	}
	return out, true
}

// smallestSufficient returns the attempt with the least CPU that alone covers
// missing, nil if there is none.
func smallestSufficient(cands []*liveAttempt, missing model.Resources) *liveAttempt {
	var best *liveAttempt
	for _, la := range cands {
		if missing.FitsIn(la.size.resources()) && (best == nil || la.size.milliCPU < best.size.milliCPU) {
			best = la
		}
	}
	return best
}

// mostCovering returns the attempt with the largest sum of the fractions of
// missing CPU, memory and accelerators that it covers, nil if none covers any.
func mostCovering(cands []*liveAttempt, missing model.Resources) *liveAttempt {
	var best *liveAttempt
	most := 0.0
	for _, la := range cands {
		sum := coveredFraction(int64(la.size.milliCPU), missing.MilliCPU()) +
			coveredFraction(int64(la.size.memoryMB), missing.MemoryMB()) +
			coveredFraction(int64(la.size.accelerators), missing.Accelerators())
		if sum > most {
			best, most = la, sum
		}
	}
	return best
}

// coveredFraction returns the fraction of missing that size covers.
func coveredFraction(size, missing int64) float64 {
	if missing <= 0 {
		return 0
	}
	return float64(min(size, missing)) / float64(missing)
}
