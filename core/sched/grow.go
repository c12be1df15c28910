package sched

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// growthSlackDivisor is the divisor of the peak usage that gives the slack
	// by which a growing commitment exceeds the peak: 1/8, so that slow growth
	// needs few commands.
	growthSlackDivisor = 8
	// growthThrottleTime is how long a batch attempt whose commitment cannot
	// grow is throttled before it is stopped with a checkpoint.
	growthThrottleTime = 5 * time.Second
	// drainFinishTime is how long batch attempts may continue in a data centre
	// out of service if the preset has model.DrainFinish.
	drainFinishTime = 10 * time.Minute
	// maxDrainEvictions bounds the evictions of one command during a drain, so
	// that not all checkpoints are written at the same time.
	maxDrainEvictions = 200
)

// attemptRef identifies an attempt on a worker.
type attemptRef struct {
	workerIndex int32
	ref         ref
	attempt     model.Attempt
}

// recordUsage records the usage that a worker reported for an attempt and
// adds the attempt to overCommitment if the usage exceeds its commitment.
func (pl *Planner[P]) recordUsage(wst *workerStatus, la *liveAttempt, used model.Resources) {
	if !packable(used) {
		return
	}
	tk := la.task()
	la.peak = pack(la.peak.resources().Max(used))
	if used.FitsIn(tk.size.resources()) {
		if !la.throttled {
			la.overSince, la.throttleForGrowth = 0, false
		}
		return
	}
	idx := pl.st.workerIndexes[wst.poll.worker]
	pl.overCommitment = append(pl.overCommitment, attemptRef{workerIndex: idx, ref: la.ref, attempt: la.attempt})
}

// planGrowth raises commitments to the measured usage where the worker has
// room. Where it has none, see growAttempt.
func (pl *Planner[P]) planGrowth(now model.Instant) []Op {
	var ops []Op
	for _, ar := range pl.overCommitment {
		la := pl.attemptAt(ar)
		if la == nil || la.leaseExpired || la.task().state != Running {
			continue
		}
		ops = append(ops, pl.growAttempt(now, ar.workerIndex, la)...)
	}
	pl.overCommitment = pl.overCommitment[:0]
	return ops
}

// attemptAt returns the live attempt that ar identifies, nil if it has ended.
func (pl *Planner[P]) attemptAt(ar attemptRef) *liveAttempt {
	wst := &pl.statuses[ar.workerIndex]
	for i := range wst.attempts {
		if la := &wst.attempts[i]; la.ref == ar.ref && la.attempt == ar.attempt {
			return la
		}
	}
	return nil
}

// growAttempt returns the operations for one attempt that exceeds its
// commitment: a resize if the worker has room, first with the slack and then
// without. Else a batch attempt is throttled, then evicted after
// growthThrottleTime; for another attempt, batch attempts are evicted.
func (pl *Planner[P]) growAttempt(now model.Instant, idx int32, la *liveAttempt) []Op {
	size, peak := la.task().size.resources(), la.peak.resources()
	// A running attempt may grow into room that is reserved for a waiting task.
	if res := pl.statuses[idx].reservation; res != nil {
		pl.release(res)
		defer pl.withhold(res)
	}
	free := pl.st.workers[idx].free()
	if pl.index.Listed(idx) {
		free = pl.index.Free(idx)
	}
	slack := model.NewResources(peak.MilliCPU()/growthSlackDivisor, peak.MemoryMB()/growthSlackDivisor, 0)
	for _, target := range []model.Resources{size.Max(peak.Add(slack)), size.Max(peak)} {
		if more := target.Sub(size); more.FitsIn(free) {
			pl.index.Reserve(idx, more)
			pl.chargeTentatively(&la.ref.job.spec, more, la.borrowed)
			return []Op{Resize(la.ref.id(), la.attempt, target)}
		}
	}
	if la.ref.job.spec.Priority != model.Batch {
		return pl.evictForGrowth(now, idx, size.Max(peak).Sub(size))
	}
	switch {
	case la.overSince == 0:
		la.overSince, la.throttleForGrowth = stampOf(now), true
	case la.overSince.age(now) >= growthThrottleTime:
		return []Op{Evict(la.ref.id(), la.attempt, ReasonGrowth)}
	}
	return nil
}

// evictForGrowth evicts batch attempts of the worker so that a commitment can
// grow by more.
func (pl *Planner[P]) evictForGrowth(now model.Instant, idx int32, more model.Resources) []Op {
	las, ok := pl.attemptsToEvict(now, idx, more, pl.st.workers[idx].free(), evictable, grace(ReasonGrowth))
	if !ok {
		return nil
	}
	return evictAll(las, ReasonGrowth)
}

// planDrain evicts the batch attempts of a data centre out of service, at once
// or after drainFinishTime, depending on the preset.
func (pl *Planner[P]) planDrain(now model.Instant) []Op {
	if !pl.lastTick.Out || pl.lastTick.Preset.Drain() == model.DrainFinish && now.Sub(pl.outSince) < drainFinishTime {
		return nil
	}
	var ops []Op
	for idx := range pl.statuses {
		for i := range pl.statuses[idx].attempts {
			if la := &pl.statuses[idx].attempts[i]; evictable(la) && !la.leaseExpired && len(ops) < maxDrainEvictions {
				ops = append(ops, Evict(la.ref.id(), la.attempt, ReasonDrain))
			}
		}
	}
	return ops
}

func seconds(dur time.Duration) string { return strconv.Itoa(int(dur / time.Second)) }

// attemptResized updates the leader-only state after the commitment of an attempt
// was changed.
func (pl *Planner[P]) attemptResized(re ref, idx int32, size model.Resources) {
	wst := &pl.statuses[idx]
	for i := range wst.attempts {
		if la := &wst.attempts[i]; la.ref == re {
			pl.accounts.sub(re.job.spec, la.size.resources(), la.borrowed)
			la.size, la.overSince, la.throttleForGrowth = pack(size), 0, false
			pl.accounts.add(re.job.spec, size, la.borrowed)
		}
	}
	pl.updateIndex(idx)
}
