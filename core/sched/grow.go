package sched

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// growSlack is the part added to a growing commitment, so that slow growth
	// needs a record only now and then.
	growSlack = 8
	// growThrottled is how long an attempt that cannot grow is throttled
	// before it is stopped with a checkpoint.
	growThrottled = 5 * time.Second
	// drainBound is how long batch tasks of a data centre that was taken out
	// may go on when the preset lets them finish.
	drainBound = 10 * time.Minute
	// drainBatch bounds the stops that one command asks for in a drain, so that
	// checkpoints are not all written at the same time.
	drainBatch = 200
)

// spot is an attempt on a worker.
type spot struct {
	slot    int32
	ref     ref
	attempt model.Attempt
}

// measure takes in a usage report.
func (pl *Planner[P]) measure(wst *workerStatus, lv *live, used model.Resources) {
	if !storable(used) {
		return
	}
	tk := lv.task()
	lv.peak = pack(lv.peak.resources().Max(used))
	if used.FitsIn(tk.size.resources()) {
		if !lv.throttled {
			lv.over, lv.throttle = 0, false
		}
		return
	}
	slot := pl.st.slots[wst.poll.worker]
	pl.growing = append(pl.growing, spot{slot: slot, ref: lv.ref, attempt: lv.attempt})
}

// grow raises commitments to the usage where it fits. Where it does not, batch
// tasks are throttled and then stopped with a checkpoint; for other work room
// is made by stopping batch tasks of the worker.
func (pl *Planner[P]) grow(now model.Instant) []Op {
	var ops []Op
	for _, sp := range pl.growing {
		lv := pl.liveAt(sp)
		if lv == nil || lv.lost || lv.task().state != Running {
			continue
		}
		ops = append(ops, pl.growOne(now, sp.slot, lv)...)
	}
	pl.growing = pl.growing[:0]
	return ops
}

func (pl *Planner[P]) liveAt(sp spot) *live {
	wst := &pl.statuses[sp.slot]
	for i := range wst.lives {
		if lv := &wst.lives[i]; lv.ref == sp.ref && lv.attempt == sp.attempt {
			return lv
		}
	}
	return nil
}

func (pl *Planner[P]) growOne(now model.Instant, slot int32, lv *live) []Op {
	size, peak := lv.task().size.resources(), lv.peak.resources()
	free := pl.st.workers[slot].free()
	if pl.index.Open(slot) {
		free = pl.index.Free(slot)
	}
	slack := model.NewResources(peak.MilliCPU()/growSlack, peak.MemoryMB()/growSlack, 0)
	for _, want := range []model.Resources{size.Max(peak.Add(slack)), size.Max(peak)} {
		if more := want.Sub(size); more.FitsIn(free) {
			pl.index.Reserve(slot, more)
			pl.charge(&lv.ref.job.spec, more, lv.borrowed)
			return []Op{Resize(lv.ref.id(), lv.attempt, want)}
		}
	}
	if lv.ref.job.spec.Priority != model.Batch {
		return pl.growOver(slot, size.Max(peak).Sub(size))
	}
	switch {
	case lv.over == 0:
		lv.over, lv.throttle = stampOf(now), true
	case lv.over.age(now) >= growThrottled:
		return []Op{Evict(lv.ref.id(), lv.attempt, ReasonGrowth)}
	}
	return nil
}

// growOver stops batch tasks of the worker to make room for more.
func (pl *Planner[P]) growOver(slot int32, more model.Resources) []Op {
	lvs, ok := pl.victims(slot, more, pl.st.workers[slot].free(), anyBatch)
	if !ok {
		return nil
	}
	return evictAll(lvs, ReasonGrowth)
}

// drain stops the batch tasks of a data centre that was taken out, at once or
// after drainBound as the preset says.
func (pl *Planner[P]) drain(now model.Instant) []Op {
	if !pl.env.Out || pl.env.Preset.Drain() == model.DrainFinish && now.Sub(pl.outSince) < drainBound {
		return nil
	}
	var ops []Op
	for slot := range pl.statuses {
		for i := range pl.statuses[slot].lives {
			if lv := &pl.statuses[slot].lives[i]; anyBatch(lv) && !lv.lost && len(ops) < drainBatch {
				ops = append(ops, Evict(lv.ref.id(), lv.attempt, ReasonDrain))
			}
		}
	}
	return ops
}

func seconds(dur time.Duration) string { return strconv.Itoa(int(dur / time.Second)) }
