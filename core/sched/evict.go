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
	// largeTaskDelay is how long a task waits, while no set of evictions on one
	// worker makes room for it, before a worker is reserved without evictions.
	largeTaskDelay = 30 * time.Second
	// reservationTime is how long a worker is reserved for a task while
	// evicted attempts stop.
	reservationTime = 5 * time.Second
	// largeTaskReservationTime is how long a worker is reserved without
	// evictions, while its tasks end by themselves.
	largeTaskReservationTime = 30 * time.Second
	// maxTasksPerTick bounds the number of tasks for which one tick evicts
	// others or reserves a worker.
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

func evictAll(las []*liveAttempt, reason Reason) []Op {
	ops := make([]Op, 0, len(las))
	for _, la := range las {
		ops = append(ops, Evict(la.ref.id(), la.attempt, reason))
	}
	return ops
}

// expireReservations cancels reservations that have expired or whose job has no
// waiting task.
func (pl *Planner[P]) expireReservations(now model.Instant) {
	for idx := range pl.statuses {
		wst := &pl.statuses[idx]
		if wst.reservedFor == nil {
			continue
		}
		if _, ok := wst.reservedFor.peek(); !ok || now >= wst.reservedUntil {
			pl.cancelReservation(int32(idx))
			pl.updateIndex(int32(idx))
		}
	}
}

// cancelReservation ends the reservation of a worker. The caller updates the
// index.
func (pl *Planner[P]) cancelReservation(idx int32) {
	wst := &pl.statuses[idx]
	bl := wst.reservedFor
	if bl == nil {
		return
	}
	wst.reservedFor = nil
	for i, other := range bl.reserved {
		if other == idx {
			bl.reserved = append(bl.reserved[:i], bl.reserved[i+1:]...)
			break
		}
	}
}

// useReservation returns a worker that is reserved for the job and now has room
// for need, and ends its reservation. It returns false if there is none.
func (pl *Planner[P]) useReservation(bl *backlog, need model.Resources) (int32, bool) {
	for _, idx := range bl.reserved {
		if pl.allowsJob(idx, &bl.job.spec) && need.FitsIn(pl.st.workers[idx].free()) {
			pl.cancelReservation(idx)
			return idx, true
		}
	}
	return 0, false
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

// needsEvictions reports whether the oldest waiting task of the job without a
// reserved worker has waited long enough for evictions. The reserved workers
// are meant for the oldest waiting tasks, so that task is len(bl.reserved)
// after bl.head.
func (pl *Planner[P]) needsEvictions(now model.Instant, bl *backlog) bool {
	if bl.reason != ReasonNoCapacity && bl.reason != ReasonBatchShare {
		return false
	}
	if _, ok := bl.peek(); !ok || bl.head+len(bl.reserved) >= len(bl.waiting) {
		return false
	}
	wait := reclaimDelay
	if bl.job.spec.Priority == model.Urgent {
		wait = urgentDelay
	}
	return now.Sub(bl.waiting[bl.head+len(bl.reserved)].since) >= wait
}

// evictFor reserves a worker for one task of the job and returns the evictions
// that make room for the task. It returns false if no worker was reserved.
func (pl *Planner[P]) evictFor(now model.Instant, bl *backlog) ([]Op, bool) {
	spec := &bl.job.spec
	need := pl.commitment(spec)
	canEvict, reason := evictableBorrower, ReasonReclaim
	if spec.Priority == model.Urgent {
		canEvict, reason = evictable, ReasonUrgent
	}
	if !pl.withinQuota(spec.Team, need) {
		return nil, false
	}
	// When the batch share is used up, the evictions have to cover the whole
	// need, however much the worker has free.
	if idx, las, ok := pl.workerWithFewestEvictions(spec, need, canEvict, bl.reason == ReasonNoCapacity); ok {
		pl.reserveWorker(idx, bl, now.Add(reservationTime))
		return evictAll(las, reason), true
	}
	if wt, _ := bl.peek(); now.Sub(wt.since) >= largeTaskDelay && len(bl.reserved) == 0 {
		if idx, ok := pl.workerWithMostFree(spec, need); ok {
			pl.reserveWorker(idx, bl, now.Add(largeTaskReservationTime))
			return nil, true
		}
	}
	return nil, false
}

// reserveWorker reserves the worker for a task of the job until the given time.
func (pl *Planner[P]) reserveWorker(idx int32, bl *backlog, until model.Instant) {
	wst := &pl.statuses[idx]
	wst.reservedFor, wst.reservedUntil = bl, until
	bl.reserved = append(bl.reserved, idx)
	pl.index.Remove(idx)
}

// workerWithFewestEvictions returns the worker, among those that are unreserved
// and allowed for the job, on which the fewest evictions make room for need,
// and the attempts to evict. With useFree, the worker's free resources count
// towards need.
func (pl *Planner[P]) workerWithFewestEvictions(spec *JobSpec, need model.Resources, canEvict func(*liveAttempt) bool, useFree bool) (int32, []*liveAttempt, bool) {
	best, las, found := int32(0), []*liveAttempt(nil), false
	for i := range pl.statuses {
		idx := int32(i)
		if pl.statuses[i].reservedFor != nil || !pl.allowsJob(idx, spec) || !need.FitsIn(pl.st.workers[i].size) {
			continue
		}
		free := model.Resources{}
		if useFree {
			free = pl.st.workers[i].free()
		}
		got, ok := pl.attemptsToEvict(idx, need, free, canEvict)
		if ok && (!found || len(got) < len(las)) {
			best, las, found = idx, got, true
			if len(got) <= 1 {
				break
			}
		}
	}
	return best, las, found
}

// workerWithMostFree returns the worker with the most free CPU among those that
// are unreserved, allowed for the job and large enough for need when empty.
func (pl *Planner[P]) workerWithMostFree(spec *JobSpec, need model.Resources) (int32, bool) {
	best, found, most := int32(0), false, int64(0)
	for i, wk := range pl.st.workers {
		idx := int32(i)
		if pl.statuses[i].reservedFor != nil || !pl.allowsJob(idx, spec) || !need.FitsIn(wk.size) {
			continue
		}
		if free := wk.free().MilliCPU(); !found || free > most {
			best, found, most = idx, true, free
		}
	}
	return best, found
}

// attemptsToEvict returns a small set of attempts on the worker whose end makes
// room for need: the smallest attempt that suffices alone, else attempts chosen
// by mostCovering until they suffice. It returns false if no set suffices. free
// is the part of the worker's free resources to count. Stopping attempts count
// as free. Attempts with an expired lease are not chosen, because their end is
// being recorded already.
func (pl *Planner[P]) attemptsToEvict(idx int32, need, free model.Resources, canEvict func(*liveAttempt) bool) ([]*liveAttempt, bool) {
	wst := &pl.statuses[idx]
	var cands []*liveAttempt
	for i := range wst.attempts {
		la := &wst.attempts[i]
		switch {
		case la.task().state == Stopping:
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
