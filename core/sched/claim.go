package sched

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// claimPatience is how long a claim waits for its room before it is compared
	// with the other workers. It doubles each time, because the expected run
	// times may be wrong and a claim that always moves is never served.
	claimPatience = 30 * time.Second
	// maxPatienceDoublings bounds claimPatience to about an hour.
	maxPatienceDoublings = 7
	// maxClaims bounds the claims, and claimDivisor their share of the workers:
	// at most one in claimDivisor, but one in any case.
	maxClaims    = 8
	claimDivisor = 16
	// claimCandidates bounds the workers that one search for a worker to claim
	// examines; a round makes one search.
	claimCandidates = 2048
	// claimRetryInterval is the time, for each search for the same job that found
	// no worker, until the next one, up to maxClaimRetryInterval.
	claimRetryInterval    = 100 * time.Millisecond
	maxClaimRetryInterval = time.Minute
	// unknownRunTime is how long a batch or urgent attempt is expected to run if
	// no run time is declared or measured, serviceRunTime a service.
	unknownRunTime = time.Minute
	serviceRunTime = 24 * time.Hour
	// minOverdue is the least time that an attempt is expected to run after its
	// expected end has passed.
	minOverdue = time.Second
)

// renewClaim moves a claim if another worker is expected to have room in less
// than half the time, and else keeps it.
func (pl *Planner[P]) renewClaim(now model.Instant, res *reservation) {
	bl := res.bl
	bl.renewals = min(bl.renewals+1, maxPatienceDoublings)
	wait, ok := pl.roomWait(now, res.workerIndex, res.need, serviceRunTime)
	if !ok {
		pl.endReservation(now, res, outcomeUnusable)
		return
	}
	if idx, ok := pl.soonestRoom(now, bl, res.need, res.rank, wait/2); ok && idx != res.workerIndex {
		pl.endClaimOn(now, idx)
		pl.endReservation(now, res, outcomeMoved)
		pl.reserve(now, &reservation{bl: bl, workerIndex: idx, rank: res.rank, need: res.need, until: bl.renewClaimAt(now)})
		return
	}
	res.until = bl.renewClaimAt(now)
}

// renewClaimAt returns when a claim of the job is compared with other workers.
func (bl *backlog) renewClaimAt(now model.Instant) model.Instant {
	return now.Add(claimPatience << bl.renewals)
}

// claimant is the job for which a round makes a claim.
type claimant struct {
	bl   *backlog
	rank orderRank
}

// passOver records that the oldest task of the job found no room. The claimant
// of the round is the job that started no task for the longest time among those
// of the highest rank, so that each job gets a claim at some time.
func (rnd *round) passOver(now model.Instant, bl *backlog, borrow bool) {
	if len(bl.reservations) > 0 || now < bl.claimAfter {
		return
	}
	cur, next := rnd.claimant, claimant{bl: bl, rank: rankOf(bl.job.spec.Priority, borrow)}
	if cur.bl == nil || next.rank > cur.rank || next.rank == cur.rank && bl.progressAt < cur.bl.progressAt {
		rnd.claimant = next
	}
}

// claimRoom makes a claim for the claimant of the round, if the bound on claims
// allows it.
func (pl *Planner[P]) claimRoom(now model.Instant, rnd *round) {
	bl, rank := rnd.claimant.bl, rnd.claimant.rank
	if bl == nil {
		return
	}
	if pl.claims >= pl.claimLimit() && pl.lastClaim(bl, rank) == nil {
		return
	}
	need := pl.commitment(&bl.job.spec)
	idx, ok := pl.soonestRoom(now, bl, need, rank, serviceRunTime)
	if !ok {
		bl.claimRetryIn = min(bl.claimRetryIn+claimRetryInterval, maxClaimRetryInterval)
		bl.claimAfter = now.Add(bl.claimRetryIn)
		return
	}
	bl.claimRetryIn = 0
	pl.endClaimOn(now, idx)
	if pl.claims >= pl.claimLimit() {
		last := pl.lastClaim(bl, rank)
		if last == nil {
			return
		}
		pl.endReservation(now, last, outcomeOvertaken)
	}
	pl.reserve(now, &reservation{bl: bl, workerIndex: idx, rank: rank, need: need, until: bl.renewClaimAt(now)})
}

// endClaimOn ends the claim on the worker, if there is one, for another job.
func (pl *Planner[P]) endClaimOn(now model.Instant, idx int32) {
	if res := pl.statuses[idx].reservation; res != nil {
		pl.endReservation(now, res, outcomeOvertaken)
	}
}

func (pl *Planner[P]) claimLimit() int {
	return min(max(pl.registeredWorkers/claimDivisor, 1), maxClaims)
}

// lastClaim returns the claim of the lowest rank among those that yield to the
// job, the newest of equals, or nil if there is none.
func (pl *Planner[P]) lastClaim(bl *backlog, rank orderRank) *reservation {
	var last *reservation
	for _, res := range pl.reservations {
		if res.yieldsTo(bl, rank) && (last == nil || res.rank <= last.rank) {
			last = res
		}
	}
	return last
}

// yieldsTo reports whether the reservation is a claim that ends if the given job
// needs the room: one of a lower rank, or of a job that started a task later.
func (res *reservation) yieldsTo(bl *backlog, rank orderRank) bool {
	if res.evicting || res.bl == bl || res.rank > rank {
		return false
	}
	return res.rank < rank || bl.progressAt < res.bl.progressAt
}

// overtakeClaim does the same with a worker on which another job has a claim that
// yields to this one.
func (pl *Planner[P]) overtakeClaim(now model.Instant, bl *backlog, need model.Resources, rank orderRank) (int32, bool) {
	if pl.claims == 0 {
		return 0, false
	}
	for _, res := range pl.reservations {
		if res.yieldsTo(bl, rank) && pl.fitsReserved(res, &bl.job.spec, need) && pl.suits(res.workerIndex, bl) {
			pl.endReservation(now, res, outcomeOvertaken)
			return res.workerIndex, pl.index.Reserve(res.workerIndex, need)
		}
	}
	return 0, false
}

// soonestRoom returns the worker that is expected to have room for need first,
// if that is within limit. Workers with a reservation for another job are left
// out, unless it is a claim that yields to this one. Of a large number of
// workers, each search examines the next claimCandidates.
func (pl *Planner[P]) soonestRoom(now model.Instant, bl *backlog, need model.Resources, rank orderRank, limit time.Duration) (int32, bool) {
	best, found := int32(0), false
	for range min(claimCandidates, len(pl.st.workers)) {
		pl.claimCursor = (pl.claimCursor + 1) % int32(len(pl.st.workers))
		idx := pl.claimCursor
		if !pl.mayClaim(bl, idx, rank) || !need.FitsIn(pl.st.workers[idx].size) || !pl.suits(idx, bl) {
			continue
		}
		if wait, ok := pl.roomWait(now, idx, need, limit); ok {
			best, limit, found = idx, wait, true
		}
	}
	return best, found
}

// suits reports whether the worker may be claimed for the job: tasks of the job
// are allowed there, and none has failed there.
func (pl *Planner[P]) suits(idx int32, bl *backlog) bool {
	id := bl.job.spec.ID
	return pl.allowsJob(idx, &bl.job.spec) && !(pl.failures.HasFailures(id) && pl.failures.FailedOn(id, pl.st.workers[idx].id))
}

// mayClaim reports whether a reservation for the job may replace the one on the
// worker, if there is one.
func (pl *Planner[P]) mayClaim(bl *backlog, idx int32, rank orderRank) bool {
	res := pl.statuses[idx].reservation
	return res == nil || !res.evicting && res.bl == bl || res.yieldsTo(bl, rank)
}

// ending is the expected end of an attempt and the room that it returns.
type ending struct {
	in   time.Duration
	size model.Resources
}

// roomWait returns the expected time until the worker has room for need. It
// returns false if that is not below limit.
func (pl *Planner[P]) roomWait(now model.Instant, idx int32, need model.Resources, limit time.Duration) (time.Duration, bool) {
	free := pl.freeRoom(idx)
	pl.endings = pl.endings[:0]
	total := free
	// What the plan being made has taken belongs to no attempt yet.
	if planned := pl.st.workers[idx].free().Sub(free); unknownRunTime < limit && !planned.IsZero() {
		pl.endings = append(pl.endings, ending{in: unknownRunTime, size: planned})
		total = total.Add(planned)
	}
	for i := range pl.statuses[idx].attempts {
		la := &pl.statuses[idx].attempts[i]
		if in := la.expectedRest(now); in < limit {
			pl.endings = append(pl.endings, ending{in: in, size: la.size.resources()})
			total = total.Add(la.size.resources())
		}
	}
	if !need.FitsIn(total) {
		return 0, false
	}
	slices.SortStableFunc(pl.endings, func(one, two ending) int { return cmp.Compare(one.in, two.in) })
	wait := time.Duration(0)
	for _, en := range pl.endings {
		if need.FitsIn(free) {
			break
		}
		free, wait = free.Add(en.size), en.in
	}
	return wait, true
}

// expectedRest returns how long the attempt is expected to last from now.
func (la *liveAttempt) expectedRest(now model.Instant) time.Duration {
	if la.stopping {
		return la.graceLeft(now)
	}
	age := la.recordedAt.age(now)
	total := time.Duration(la.runTime) * stampUnit
	if la.runTime == 0 {
		if la.ref.job.spec.Priority == model.Service {
			return serviceRunTime
		}
		return max(unknownRunTime, age)
	}
	if age < total {
		return total - age
	}
	return max(age-total, minOverdue)
}

// expectedRunTime returns the measured or declared run time of the job's tasks
// in units of stampUnit, 0 if it is unknown.
func (pl *Planner[P]) expectedRunTime(spec *JobSpec) uint32 {
	dur, ok := pl.kinds.runTime(spec.Kind)
	if !ok {
		dur = spec.RunTime
	}
	return uint32(min(dur, serviceRunTime) / stampUnit)
}
