package sched

import (
	"time"

	"guavarail/core/blame"
	"guavarail/core/model"
)

const (
	// urgentWait is how long urgent work waits before it evicts.
	urgentWait = 2 * time.Second
	// reclaimWait is how long work within its quota waits before borrowed
	// quota is reclaimed; with the stop it stays far below the bound of 60 s.
	reclaimWait = 10 * time.Second
	// wholeWait is how long a task that fits in no gap waits before a worker
	// is kept free for it.
	wholeWait = 30 * time.Second
	// holdFor is how long a worker is kept for a task while room is made.
	holdFor = 5 * time.Second
	// wholeHold is the same without evictions, while tasks end by themselves.
	wholeHold = 30 * time.Second
	// roomBatch bounds how many tasks room is made for in one tick.
	roomBatch = 16
)

// anyBatch reports whether the attempt may be evicted.
func anyBatch(lv *live) bool {
	state := lv.task().state
	return lv.ref.job.spec.Priority == model.Batch && (state == Starting || state == Running)
}

// borrowedBatch reports whether the attempt may be evicted to give quota back.
func borrowedBatch(lv *live) bool { return lv.borrowed && anyBatch(lv) }

func evictAll(lvs []*live, why Reason) []Op {
	ops := make([]Op, 0, len(lvs))
	for _, lv := range lvs {
		ops = append(ops, Evict(lv.ref.id(), lv.attempt, why))
	}
	return ops
}

// releaseHolds opens workers that were kept long enough or for nothing.
func (pl *Planner[P]) releaseHolds(now model.Instant) {
	for slot := range pl.statuses {
		wst := &pl.statuses[slot]
		if wst.heldFor == nil {
			continue
		}
		if _, ok := wst.heldFor.peek(); !ok || now >= wst.held {
			pl.unhold(int32(slot))
			pl.refresh(int32(slot))
		}
	}
}

// unhold ends the hold of a worker. The caller refreshes the index.
func (pl *Planner[P]) unhold(slot int32) {
	wst := &pl.statuses[slot]
	bl := wst.heldFor
	if bl == nil {
		return
	}
	wst.heldFor = nil
	for i, other := range bl.holds {
		if other == slot {
			bl.holds = append(bl.holds[:i], bl.holds[i+1:]...)
			break
		}
	}
}

// useHold takes a worker that was kept for the job, once there is room.
func (pl *Planner[P]) useHold(bl *backlog, need model.Resources) (int32, bool) {
	for _, slot := range bl.holds {
		if pl.suits(slot, &bl.job.spec) && need.FitsIn(pl.st.workers[slot].free()) {
			pl.unhold(slot)
			return slot, true
		}
	}
	return 0, false
}

// usable reports whether the worker may get tasks at all.
func (pl *Planner[P]) usable(slot int32) bool {
	wst, wk := &pl.statuses[slot], pl.st.workers[slot]
	return wk.known && wst.heard && !wst.shrunk && pl.failures.Standing(wk.id) == blame.Good
}

// suits reports whether tasks of the job may be on the worker: the policy
// allows it and no service there is harmed.
func (pl *Planner[P]) suits(slot int32, spec *JobSpec) bool {
	return pl.usable(slot) && pl.policy.Allows(slot, spec.Priority) &&
		(spec.Priority != model.Batch || !pl.env.Preset.Guards() || !pl.harms(slot, spec.Kind))
}

// makeRoom evicts for urgent work and for work within its quota that waits.
func (pl *Planner[P]) makeRoom(now model.Instant) []Op {
	var ops []Op
	left := roomBatch
	for pri := model.Urgent; ; pri-- {
		for _, ln := range pl.queue.lines {
			for _, bl := range ln.jobs[pri] {
				for left > 0 && pl.wants(now, bl) {
					more, ok := pl.roomFor(now, bl)
					if !ok {
						break
					}
					ops = append(ops, more...)
					left--
				}
			}
		}
		if pri == model.Batch {
			return ops
		}
	}
}

// wants reports whether a task of the job has waited long enough for room
// that is not being made yet.
func (pl *Planner[P]) wants(now model.Instant, bl *backlog) bool {
	if bl.reason != ReasonNoCapacity && bl.reason != ReasonBatchShare {
		return false
	}
	if _, ok := bl.peek(); !ok || bl.head+len(bl.holds) >= len(bl.tasks) {
		return false
	}
	wait := reclaimWait
	if bl.job.spec.Priority == model.Urgent {
		wait = urgentWait
	}
	return now.Sub(bl.tasks[bl.head+len(bl.holds)].since) >= wait
}

// roomFor makes room for one task and keeps the worker for it.
func (pl *Planner[P]) roomFor(now model.Instant, bl *backlog) ([]Op, bool) {
	spec := &bl.job.spec
	need := pl.commitment(spec)
	may, why := borrowedBatch, ReasonReclaim
	if spec.Priority == model.Urgent {
		may, why = anyBatch, ReasonUrgent
	}
	if !pl.withinQuota(spec.Team, need) {
		return nil, false
	}
	// When the share of batch is used up, the evictions have to cover the whole
	// need, however much the worker has free.
	if slot, lvs, ok := pl.fewest(spec, need, may, bl.reason == ReasonNoCapacity); ok {
		pl.hold(slot, bl, now.Add(holdFor))
		return evictAll(lvs, why), true
	}
	if wt, _ := bl.peek(); now.Sub(wt.since) >= wholeWait && len(bl.holds) == 0 {
		if slot, ok := pl.emptiest(spec, need); ok {
			pl.hold(slot, bl, now.Add(wholeHold))
			return nil, true
		}
	}
	return nil, false
}

func (pl *Planner[P]) hold(slot int32, bl *backlog, until model.Instant) {
	wst := &pl.statuses[slot]
	wst.heldFor, wst.held = bl, until
	bl.holds = append(bl.holds, slot)
	pl.index.Close(slot)
}

// fewest returns the worker on which the fewest evictions make room.
func (pl *Planner[P]) fewest(spec *JobSpec, need model.Resources, may func(*live) bool, useFree bool) (int32, []*live, bool) {
	best, lvs, found := int32(0), []*live(nil), false
	for i := range pl.statuses {
		slot := int32(i)
		if pl.statuses[i].heldFor != nil || !pl.suits(slot, spec) || !need.FitsIn(pl.st.workers[i].size) {
			continue
		}
		free := model.Resources{}
		if useFree {
			free = pl.st.workers[i].free()
		}
		got, ok := pl.victims(slot, need, free, may)
		if ok && (!found || len(got) < len(lvs)) {
			best, lvs, found = slot, got, true
			if len(got) <= 1 {
				break
			}
		}
	}
	return best, lvs, found
}

// emptiest returns the worker that lacks the least for need.
func (pl *Planner[P]) emptiest(spec *JobSpec, need model.Resources) (int32, bool) {
	best, found, most := int32(0), false, int64(0)
	for i, wk := range pl.st.workers {
		slot := int32(i)
		if pl.statuses[i].heldFor != nil || !pl.suits(slot, spec) || !need.FitsIn(wk.size) {
			continue
		}
		if free := wk.free().MilliCPU(); !found || free > most {
			best, found, most = slot, true, free
		}
	}
	return best, found
}

// victims returns the fewest attempts whose end makes room on the worker that
// has free. What is stopping already counts as free.
func (pl *Planner[P]) victims(slot int32, need, free model.Resources, may func(*live) bool) ([]*live, bool) {
	wst := &pl.statuses[slot]
	var cands []*live
	for i := range wst.lives {
		lv := &wst.lives[i]
		switch {
		case lv.task().state == Stopping:
			free = free.Add(lv.size.resources())
		case may(lv) && !lv.lost:
			cands = append(cands, lv)
		}
	}
	if need.FitsIn(free) {
		return nil, true
	}
	if one := smallest(cands, need.Sub(free)); one != nil {
		return []*live{one}, true
	}
	var out []*live
	for !need.FitsIn(free) {
		lv := largest(cands, need.Sub(free))
		if lv == nil {
			return nil, false
		}
		out, free = append(out, lv), free.Add(lv.size.resources())
		for i := range cands {
			if cands[i] == lv {
				cands = append(cands[:i], cands[i+1:]...)
				break
			}
		}
	}
	return out, true
}

// smallest returns the attempt with the fewest processors that alone covers
// what lacks.
func smallest(cands []*live, lack model.Resources) *live {
	var best *live
	for _, lv := range cands {
		if lack.FitsIn(lv.size.resources()) && (best == nil || lv.size.milliCPU < best.size.milliCPU) {
			best = lv
		}
	}
	return best
}

// largest returns the attempt that covers the largest part of what lacks.
func largest(cands []*live, lack model.Resources) *live {
	var best *live
	most := 0.0
	for _, lv := range cands {
		sum := covers(int64(lv.size.milliCPU), lack.MilliCPU()) +
			covers(int64(lv.size.memoryMB), lack.MemoryMB()) +
			covers(int64(lv.size.accelerators), lack.Accelerators())
		if sum > most {
			best, most = lv, sum
		}
	}
	return best
}

func covers(size, lack int64) float64 {
	if lack <= 0 {
		return 0
	}
	return float64(min(size, lack)) / float64(lack)
}
