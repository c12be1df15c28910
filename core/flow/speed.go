package flow

import (
	"math"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// gaugeEvery is the least time over which the progress of a run is taken;
	// reports have it in whole percent.
	gaugeEvery = 300 * time.Millisecond
	// gaugeMost is the longest time over which it is taken. Of the runs of a
	// worker that was silent for longer, the fast ones have ended unseen.
	gaugeMost = time.Second
	// speedTime is the time constant with which earlier progress is forgotten.
	speedTime = time.Second
	// speedPrior is the weight, in seconds of work, of the assumption that a
	// worker has the usual speed.
	speedPrior = 0.3
	// slowSpeed is the share of the usual speed below which a worker is slow.
	// Declared durations are off by half and more, so that it is far below 1.
	slowSpeed = 0.35
	// slowFor is how long a slow worker gets no further tasks. Then it is tried
	// again.
	slowFor = 3 * time.Second
	// slowMost is the share of the workers up to which they count as slow; more
	// of them say that the declared durations are wrong.
	slowMost = 0.34
	// nearEnd is the percentage from which a run is left on a slow worker.
	nearEnd = 80
	// busyFiller is the share of the processors that it asks for from which the
	// progress of a filler tells the speed of its worker.
	busyFiller = 0.7
)

// speed is how fast a worker works: seconds of declared work done in a second
// of a task. The zero value has the usual speed.
type speed struct {
	// work and spent are sums over the recent past, in seconds.
	work, spent float64
	at          model.Instant
}

// add takes in the declared work that a task did in a time.
func (sp *speed) add(now model.Instant, work, spent time.Duration) {
	keep := math.Exp(-float64(now.Sub(sp.at)) / float64(speedTime))
	sp.at = now
	sp.work = sp.work*keep + work.Seconds()
	sp.spent = sp.spent*keep + spent.Seconds()
}

// told reports whether enough was seen to tell the speed.
func (sp *speed) told() bool { return sp.spent >= speedPrior }

// value returns the speed, where usual is that of the other workers.
func (sp *speed) value(usual float64) float64 {
	return (sp.work + usual*speedPrior) / (sp.spent + speedPrior)
}

// gauge takes in the progress of the runs on a worker that work at full pace.
func (pl *Planner) gauge(now model.Instant, wk *worker) {
	for _, pd := range wk.placed {
		// A run whose end is on its way to the log is not in reports any more.
		if !pd.seen || pd.ending || pd.evict || pd.spec.Lasting || pd.spec.Estimate <= 0 {
			continue
		}
		since := now.Sub(pd.gaugedAt)
		if pd.gaugedAt > 0 && since < gaugeEvery {
			continue
		}
		if pd.gaugedAt > 0 && since <= gaugeMost && pd.unhindered(wk) {
			work := time.Duration(float64(pd.spec.Estimate) * float64(pd.percent-pd.gauged) / fullPace)
			wk.speed.add(now, work, since)
		}
		pd.gauged, pd.gaugedAt = pd.percent, now
	}
}

// unhindered reports whether nothing but the speed of the worker limits a run.
func (pd *placed) unhindered(wk *worker) bool {
	if !pd.spec.Filler {
		return true
	}
	asked := float64(pd.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
	return pd.toldPace == fullPace && pd.use >= busyFiller*asked
}

// findSlow keeps tasks away from the workers that are far slower than the
// others and moves those that lose little by it.
func (pl *Planner) findSlow(now model.Instant) {
	pl.speeds = pl.speeds[:0]
	for _, wk := range pl.workers.list {
		if wk.speed.told() {
			pl.speeds = append(pl.speeds, wk.speed.work/wk.speed.spent)
		}
	}
	if len(pl.speeds) == 0 {
		return
	}
	slices.Sort(pl.speeds)
	usual := pl.speeds[len(pl.speeds)/2]
	if float64(below(pl.speeds, slowSpeed*usual)) > slowMost*float64(len(pl.speeds)) {
		return
	}
	for _, wk := range pl.workers.list {
		if !wk.speed.told() || now.Before(wk.slowUntil) || wk.speed.value(usual) >= slowSpeed*usual {
			continue
		}
		wk.slowUntil = now.Add(slowFor)
		moved := wk.evictSlow()
		pl.note("workerSlow", "", "", wk.life.String(), "shareOfUsual", strconv.FormatFloat(wk.speed.value(usual)/usual, 'f', 2, 64),
			"ms", strconv.FormatInt(slowFor.Milliseconds(), 10), "moved", strconv.Itoa(moved), "runs", strconv.Itoa(len(wk.placed)))
		wk.speed = speed{}
	}
}

// below counts the sorted values under a bound.
func below(sorted []float64, bound float64) int {
	pos, _ := slices.BinarySearch(sorted, bound)
	return pos
}

// evictSlow has the runs stopped that lose little by starting elsewhere.
func (wk *worker) evictSlow() int {
	num := 0
	for _, pd := range wk.placed {
		if pd.seen && !pd.evict && !pd.spec.Lasting && !pd.spec.Gang && pd.percent < nearEnd && pd.cheap() {
			pd.evict = true
			num++
		}
	}
	return num
}
