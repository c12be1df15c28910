package sched

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// growthSlackDivisor is the part added to a growing commitment, so that slow growth
	// needs a record only now and then.
	growthSlackDivisor = 8
	// growthThrottleTime is how long an attempt that cannot grow is throttled
	// before it is stopped with a checkpoint.
	growthThrottleTime = 5 * time.Second
	// drainFinishTime is how long batch tasks of a data centre that was taken out
	// may go on when the preset lets them finish.
	drainFinishTime = 10 * time.Minute
	// maxDrainEvictions bounds the stops that one command asks for in a drain, so that
	// checkpoints are not all written at the same time.
	maxDrainEvictions = 200
)

// attemptRef is an attempt on a worker.
type attemptRef struct {
	slot    int32
	ref     ref
	attempt model.Attempt
}

// recordUsage takes in a usage report.
func (pl *Planner[P]) recordUsage(wst *workerStatus, lv *liveAttempt, used model.Resources) {
	if !packable(used) {
		return
	}
	tk := lv.task()
	lv.peak = pack(lv.peak.resources().Max(used))
	if used.FitsIn(tk.size.resources()) {
		if !lv.throttled {
			lv.overSince, lv.throttleForGrowth = 0, false
		}
		return
	}
	slot := pl.st.slots[wst.poll.worker]
	pl.overCommitment = append(pl.overCommitment, attemptRef{slot: slot, ref: lv.ref, attempt: lv.attempt})
}

// planGrowth raises commitments to the usage where it fits. Where it does not, batch
// tasks are throttled and then stopped with a checkpoint; for other work room
// is made by stopping batch tasks of the worker.
func (pl *Planner[P]) planGrowth(now model.Instant) []Op {
	var ops []Op
	for _, ar := range pl.overCommitment {
		lv := pl.attemptAt(ar)
		if lv == nil || lv.leaseExpired || lv.task().state != Running {
			continue
		}
		ops = append(ops, pl.growAttempt(now, ar.slot, lv)...)
	}
	pl.overCommitment = pl.overCommitment[:0]
	return ops
}

func (pl *Planner[P]) attemptAt(ar attemptRef) *liveAttempt {
	wst := &pl.statuses[ar.slot]
	for i := range wst.attempts {
		if lv := &wst.attempts[i]; lv.ref == ar.ref && lv.attempt == ar.attempt {
			return lv
		}
	}
	return nil
}

func (pl *Planner[P]) growAttempt(now model.Instant, slot int32, lv *liveAttempt) []Op {
	size, peak := lv.task().size.resources(), lv.peak.resources()
	free := pl.st.workers[slot].free()
	if pl.index.Open(slot) {
		free = pl.index.Free(slot)
	}
	slack := model.NewResources(peak.MilliCPU()/growthSlackDivisor, peak.MemoryMB()/growthSlackDivisor, 0)
	for _, want := range []model.Resources{size.Max(peak.Add(slack)), size.Max(peak)} {
		if more := want.Sub(size); more.FitsIn(free) {
			pl.index.Reserve(slot, more)
			pl.chargeTentatively(&lv.ref.job.spec, more, lv.borrowed)
			return []Op{Resize(lv.ref.id(), lv.attempt, want)}
		}
	}
	if lv.ref.job.spec.Priority != model.Batch {
		return pl.evictForGrowth(slot, size.Max(peak).Sub(size))
	}
	switch {
	case lv.overSince == 0:
		lv.overSince, lv.throttleForGrowth = stampOf(now), true
	case lv.overSince.age(now) >= growthThrottleTime:
		return []Op{Evict(lv.ref.id(), lv.attempt, ReasonGrowth)}
	}
	return nil
}

// evictForGrowth stops batch tasks of the worker to make room for more.
func (pl *Planner[P]) evictForGrowth(slot int32, more model.Resources) []Op {
	lvs, ok := pl.victims(slot, more, pl.st.workers[slot].free(), evictable)
	if !ok {
		return nil
	}
	return evictAll(lvs, ReasonGrowth)
}

// planDrain stops the batch tasks of a data centre that was taken out, at once or
// after drainBound as the preset says.
func (pl *Planner[P]) planDrain(now model.Instant) []Op {
	if !pl.env.Out || pl.env.Preset.Drain() == model.DrainFinish && now.Sub(pl.outSince) < drainFinishTime {
		return nil
	}
	var ops []Op
	for slot := range pl.statuses {
		for i := range pl.statuses[slot].attempts {
			if lv := &pl.statuses[slot].attempts[i]; evictable(lv) && !lv.leaseExpired && len(ops) < maxDrainEvictions {
				ops = append(ops, Evict(lv.ref.id(), lv.attempt, ReasonDrain))
			}
		}
	}
	return ops
}

func seconds(dur time.Duration) string { return strconv.Itoa(int(dur / time.Second)) }
