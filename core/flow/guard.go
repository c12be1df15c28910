package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// fullPace lets a run work without a limit, in percent.
	fullPace = 100
	// paceStep is what a filler gains in one report while the serving tasks
	// beside it are well under their target, in percent.
	paceStep = 25
	// leastPace is the pace below which a filler is moved, in percent.
	leastPace = 20
	// warnTail is the tail, as a share of the target, from which fillers are
	// slowed, and calmTail where they gain speed again.
	warnTail = 1.0
	calmTail = 0.75
	// goalTail is the tail that fillers are slowed to, and mostTail the highest
	// one to expect at which a filler may join serving tasks or gain speed.
	goalTail = 0.8
	mostTail = 0.95
	// settleTime is how long a change of pace takes to show in the readings,
	// which cover half a second.
	settleTime = 700 * time.Millisecond
	// doubtAfter is how long a serving task may be over its target before all
	// fillers beside it are slowed, whatever the estimate says, and stopAfter
	// how long before none works on.
	doubtAfter = 1500 * time.Millisecond
	stopAfter  = 3 * time.Second
	// easeRate is what is kept of an excess from one report to the next; half
	// is gone in about a second and a half.
	easeRate = 0.93
	// readingTime is what a reading covers, with the time until it is reported.
	readingTime = 700 * time.Millisecond
	// harmless is the interference of a pair below which its filler is not
	// slowed for the serving task.
	harmless = 1.0
)

// guard learns from the readings of the serving tasks on a worker and sets the
// pace of the fillers beside them.
func (pl *Planner) guard(now model.Instant, wk *worker, be *Beat) {
	if wk.serving == 0 {
		pl.release(wk)
		wk.refresh(pl)
		return
	}
	uses := pl.measure(now, wk, be)
	worst, image := 0.0, 0
	wk.ease()
	for i := range be.Runs {
		rr := &be.Runs[i]
		pd := wk.find(rr.Task, rr.Attempt)
		// A task that is not at work yet has no callers.
		if pd == nil || !pd.spec.serves() || rr.Percent < fullPace {
			continue
		}
		tail := rr.Reading * float64(time.Millisecond) / float64(pd.spec.TailTarget)
		num := pl.pairs.number(pd.spec.Image)
		pl.pairs.learn(num, tail, uses)
		wk.surprise(num, tail-pl.pairs.tail(num, uses))
		if tail > worst {
			worst, image = tail, num
		}
	}
	switch {
	case worst < 1:
		wk.overSince = 0
	case wk.overSince == 0:
		wk.overSince = now
	}
	if wk.fillers > 0 && now.Sub(wk.pacedAt) >= settleTime {
		pl.pace(now, wk, worst, image)
	}
	wk.refresh(pl)
}

// measure returns what the fillers on a worker used in the half second that
// its readings cover, by image. A filler that has ended since still counts.
func (pl *Planner) measure(now model.Instant, wk *worker, be *Beat) []imageUse {
	total := float64(max(1, wk.size.MilliCPU()))
	for i := range be.Runs {
		rr := &be.Runs[i]
		if pd := wk.find(rr.Task, rr.Attempt); pd != nil && pd.spec.Filler {
			pd.use = rr.Reading / total
		}
	}
	wk.uses = wk.uses[:0]
	for _, pd := range wk.placed {
		if pd.use > 0 {
			wk.uses = addUse(wk.uses, pl.pairs.number(pd.spec.Image), pd.use)
		}
	}
	kept := wk.echoes[:0]
	for _, ec := range wk.echoes {
		if left := ec.until.Sub(now); left > 0 {
			share := ec.use.share * float64(left) / float64(readingTime)
			wk.uses = addUse(wk.uses, ec.use.image, share)
			kept = append(kept, ec)
		}
	}
	wk.echoes = kept
	return wk.uses
}

// echo is a filler that ended so short ago that the readings still show it.
type echo struct {
	use   imageUse
	until model.Instant
}

// fell takes note of the end of a filler.
func (pl *Planner) fell(now model.Instant, wk *worker, pd *placed) {
	if pd.use > 0 {
		use := imageUse{image: pl.pairs.number(pd.spec.Image), share: pd.use}
		wk.echoes = append(wk.echoes, echo{use: use, until: now.Add(readingTime)})
	}
}

// pace slows the fillers that disturb the worst serving task, or lets all gain
// speed when none is near its target.
func (pl *Planner) pace(now model.Instant, wk *worker, worst float64, image int) {
	switch {
	case worst >= warnTail:
		pl.slow(now, wk, worst, image)
	case worst <= calmTail:
		pl.hasten(now, wk)
	}
}

// slow scales down the fillers that are known to disturb the serving image; if
// none is known to, it scales all.
func (pl *Planner) slow(now model.Instant, wk *worker, worst float64, image int) {
	scale := 1 - pl.pairs.excess(image, worst, goalTail)
	if wk.overFor(now) >= stopAfter {
		scale = 0
	}
	known := false
	for _, pd := range wk.placed {
		known = known || pd.spec.Filler && pd.pace > 0 && pl.harms(pd, image) && wk.overFor(now) < doubtAfter
	}
	for _, pd := range wk.placed {
		if !pd.spec.Filler || known && !pl.harms(pd, image) {
			continue
		}
		pace := int(float64(pd.pace) * scale)
		if pace < leastPace {
			pace = 0
		}
		if pl.setPace(wk, pd, pace, worst) {
			wk.pacedAt = now
		}
		if pace == 0 && pd.seen && !pd.evict && pd.cheap() {
			pd.evict = true
			pl.note("fillerMoved", pd.task.job, pd.task.String(), wk.life.String(),
				"tailOfTarget", strconv.FormatFloat(worst, 'f', 2, 64), "percentDone", strconv.Itoa(pd.percent))
		}
	}
}

// overFor returns how long some serving task on the worker has been over its
// target.
func (wk *worker) overFor(now model.Instant) time.Duration {
	if wk.overSince == 0 {
		return 0
	}
	return now.Sub(wk.overSince)
}

// harms reports whether a filler disturbs a serving image.
func (pl *Planner) harms(pd *placed, serving int) bool {
	return pl.pairs.harm[serving][pl.pairs.number(pd.spec.Image)] >= harmless
}

// cheap reports whether little work is lost when the run is stopped.
func (pd *placed) cheap() bool {
	const little = 25
	return pd.spec.Checkpoints || pd.percent < little
}

// hasten lets slowed fillers work faster as far as the model allows.
func (pl *Planner) hasten(now model.Instant, wk *worker) {
	total := float64(max(1, wk.size.MilliCPU()))
	for _, pd := range wk.placed {
		if !pd.spec.Filler || pd.pace >= fullPace || pd.evict {
			continue
		}
		pace := min(fullPace, pd.pace+paceStep)
		gain := float64(pd.spec.Size.MilliCPU()) * float64(pace-pd.pace) / fullPace / total
		if pl.over(wk, pl.pairs.number(pd.spec.Image), gain) > 0 {
			continue
		}
		pl.setPace(wk, pd, pace, 0)
		wk.pacedAt = now
		wk.refresh(pl)
	}
}

// setPace changes the pace of a filler and reports whether it did.
func (pl *Planner) setPace(wk *worker, pd *placed, pace int, worst float64) bool {
	if pd.pace == pace {
		return false
	}
	if pace == 0 || pd.pace == 0 {
		pl.note("fillerPaced", pd.task.job, pd.task.String(), wk.life.String(), "percent", strconv.Itoa(pace),
			"tailOfTarget", strconv.FormatFloat(worst, 'f', 2, 64))
	}
	pd.slowed = pd.slowed || pd.pace < fullPace
	pd.pace = pace
	return true
}

// release lets fillers run freely where nothing is served.
func (pl *Planner) release(wk *worker) {
	for _, pd := range wk.placed {
		if pd.pace < fullPace {
			pl.setPace(wk, pd, fullPace, 0)
		}
	}
}

// excess is by how much the tail of a serving image on a worker was over the
// estimate lately. Its own load changes from one worker to the next.
type excess struct {
	image int
	tail  float64
}

// ease lets the excesses on a worker go by with the reports.
func (wk *worker) ease() {
	for i := range wk.excesses {
		wk.excesses[i].tail *= easeRate
	}
}

// surprise takes note of a tail that is over the estimate.
func (wk *worker) surprise(image int, tail float64) {
	tail = min(tail, mostRead)
	if tail <= 0 {
		return
	}
	for i := range wk.excesses {
		if wk.excesses[i].image == image {
			wk.excesses[i].tail = max(wk.excesses[i].tail, tail)
			return
		}
	}
	wk.excesses = append(wk.excesses, excess{image: image, tail: tail})
}

// excess returns the present excess of a serving image.
func (wk *worker) excess(image int) float64 {
	for _, ex := range wk.excesses {
		if ex.image == image {
			return ex.tail
		}
	}
	return 0
}

// expected is the tail to expect of a serving image on a worker.
type expected struct {
	image int
	tail  float64
}

// refresh computes the tails to expect on a worker from what is placed there.
func (wk *worker) refresh(pl *Planner) {
	wk.expected = wk.expected[:0]
	if wk.serving == 0 {
		return
	}
	wk.uses = wk.uses[:0]
	total := float64(max(1, wk.size.MilliCPU()))
	for _, pd := range wk.placed {
		if pd.spec.Filler && !pd.evict {
			share := float64(pd.spec.Size.MilliCPU()) * float64(pd.pace) / fullPace / total
			wk.uses = addUse(wk.uses, pl.pairs.number(pd.spec.Image), share)
		}
	}
	for _, pd := range wk.placed {
		if pd.spec.serves() {
			wk.expect(pl.pairs.number(pd.spec.Image), pl)
		}
	}
}

// expect adds a serving image once.
func (wk *worker) expect(image int, pl *Planner) {
	for _, ex := range wk.expected {
		if ex.image == image {
			return
		}
	}
	wk.expected = append(wk.expected, expected{image: image, tail: pl.pairs.tail(image, wk.uses) + wk.excess(image)})
}

// over returns by how much the tail of the worst serving image on a worker
// would be over what it may be when a filler image uses a further share of the
// worker. It is negative while there is room. A filler does not count for
// images that it does not disturb.
func (pl *Planner) over(wk *worker, image int, share float64) float64 {
	most := -1.0
	for _, ex := range wk.expected {
		if harm := pl.pairs.harm[ex.image][image]; harm >= harmless {
			most = max(most, ex.tail+harm*share-mostTail)
		}
	}
	return most
}
