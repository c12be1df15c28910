package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// fullPace lets a run work without a limit, in percent. unknownPace stands
	// for what an earlier leader ordered.
	fullPace    = 100
	unknownPace = -1
	// paceMargin is added to the delay of a pace for the way of its order, and
	// paceRepeat is when an order is repeated.
	paceMargin = 100 * time.Millisecond
	paceRepeat = time.Second
	// leastPace is the pace below which a filler stands still, in percent, and
	// paceStep the smallest change of pace worth an order.
	leastPace = 15
	paceStep  = 10
	// goalTail is the tail, as a share of the target, at which the fillers
	// beside a serving task are held, and joinTail the one up to which another
	// filler may join.
	goalTail = 1.0
	joinTail = 0.95
	// moveAfter is how long a filler stands still before it is moved.
	moveAfter = time.Second
	// doubtAfter is how long a serving task may be over its target before all
	// fillers beside it are slowed, whatever the estimate says, and stopAfter
	// how long before none works on.
	doubtAfter = 1500 * time.Millisecond
	stopAfter  = 3 * time.Second
	// readingTime is what a reading covers, with the time until it is reported.
	readingTime = 700 * time.Millisecond
	// harmless is the harm of a pair below which its filler is not slowed for
	// the serving task.
	harmless = 0.3
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
	all := 0.0
	for _, us := range uses {
		all += us.share
	}
	worst := 0.0
	for i := range be.Runs {
		rr := &be.Runs[i]
		pd := wk.find(rr.Task, rr.Attempt)
		// A task that is not at work yet has no callers.
		if pd == nil || !pd.spec.serves() || rr.Percent < fullPace {
			continue
		}
		tail := rr.Reading * float64(time.Millisecond) / float64(pd.spec.TailTarget)
		worst = max(worst, tail)
		image := pl.pairs.number(pd.spec.Image)
		pressure := pl.pairs.read(image, tail)
		pl.compare(now, wk, pd, pressure, uses)
		pd.job.wave.follow(now, max(0, pressure-pl.pairs.pressure(image, uses)), all)
	}
	switch {
	case worst < 1:
		wk.overSince = 0
	case wk.overSince == 0:
		wk.overSince = now
	}
	wk.refresh(pl)
	if wk.fillers > 0 {
		pl.pace(now, wk, worst)
	}
}

// measure returns what the fillers on a worker used in the half second that
// its readings cover, by image. A filler that has ended since still counts.
func (pl *Planner) measure(now model.Instant, wk *worker, be *Beat) []imageUse {
	total := float64(max(1, wk.size.MilliCPU()))
	for i := range be.Runs {
		rr := &be.Runs[i]
		if pd := wk.find(rr.Task, rr.Attempt); pd != nil && pd.spec.Filler {
			pd.use = rr.Reading / total
			if pd.toldPace >= fullPace/2 && now.Sub(max(pd.since, pd.toldPaceAt)) > pl.bounds.paceDelay()+readingTime {
				pd.full = pd.use * fullPace / float64(pd.toldPace)
			}
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

// pace gives each filler the speed at which the serving tasks beside it stay
// under their target as their loads are about to be. A filler that has to stand
// still is moved.
func (pl *Planner) pace(now model.Instant, wk *worker, worst float64) {
	doubt := fullPace
	switch over := wk.overFor(now); {
	case over >= stopAfter:
		doubt = 0
	case over >= doubtAfter:
		doubt = fullPace / 4
	}
	for _, pd := range wk.placed {
		if !pd.spec.Filler || pd.evict {
			continue
		}
		pace := min(doubt, pl.paceOf(wk, pd))
		if pace < leastPace {
			pace = 0
		}
		if pace == fullPace || pace == 0 || pace >= pd.pace+paceStep || pace <= pd.pace-paceStep {
			pl.setPace(now, wk, pd, pace, worst)
		}
		if pd.pace == 0 && pd.seen && now.Sub(pd.stillSince) >= moveAfter && pd.cheap() {
			pd.evict = true
			pl.note("fillerMoved", pd.task.job, pd.task.String(), wk.life.String(),
				"tailOfTarget", strconv.FormatFloat(worst, 'f', 2, 64), "percentDone", strconv.Itoa(pd.percent))
		}
	}
}

// paceOf returns the pace at which a filler and the others like it leave every
// serving task on the worker under its target, in percent.
func (pl *Planner) paceOf(wk *worker, pd *placed) int {
	share := 1.0
	image := pl.pairs.number(pd.spec.Image)
	for _, ex := range wk.expected {
		if pl.pairs.harm[ex.image][image] < harmless || ex.pressure <= 0 {
			continue
		}
		room := pl.pairs.limit(ex.image, goalTail) - ex.job.wave.ahead()
		share = min(share, max(0, room)/ex.pressure)
	}
	return int(share * fullPace)
}

// overFor returns how long some serving task on the worker has been over its
// target.
func (wk *worker) overFor(now model.Instant) time.Duration {
	if wk.overSince == 0 {
		return 0
	}
	return now.Sub(wk.overSince)
}

// cheap reports whether little work is lost when the run is stopped.
func (pd *placed) cheap() bool {
	const little = 25
	return pd.spec.Checkpoints || pd.percent < little
}

// setPace changes the pace of a filler.
func (pl *Planner) setPace(now model.Instant, wk *worker, pd *placed, pace int, worst float64) {
	if pd.pace == pace {
		return
	}
	if pace == 0 || pd.pace == 0 {
		pl.note("fillerPaced", pd.task.job, pd.task.String(), wk.life.String(), "percent", strconv.Itoa(pace),
			"tailOfTarget", strconv.FormatFloat(worst, 'f', 2, 64))
	}
	pd.pace = pace
	pd.stillSince = now
}

// release lets fillers run freely where nothing is served.
func (pl *Planner) release(wk *worker) {
	for _, pd := range wk.placed {
		if pd.pace < fullPace {
			pl.setPace(0, wk, pd, fullPace, 0)
		}
	}
}

// expected is what presses on the tasks of one serving job on a worker.
type expected struct {
	job   *job
	image int
	// pressure is that of the fillers at full pace.
	pressure float64
}

// refresh computes the pressures to expect on a worker from what is placed
// there.
func (wk *worker) refresh(pl *Planner) {
	wk.expected = wk.expected[:0]
	if wk.serving == 0 {
		return
	}
	wk.uses = wk.uses[:0]
	for _, pd := range wk.placed {
		if pd.spec.Filler && !pd.evict {
			wk.uses = addUse(wk.uses, pl.pairs.number(pd.spec.Image), wk.wholeUse(pd))
		}
	}
	for _, pd := range wk.placed {
		if pd.spec.serves() {
			wk.expect(pd.job, pl.pairs.number(pd.spec.Image), pl)
		}
	}
}

// wholeUse returns the share of a worker that a filler uses at full pace: what
// it was read to use, and what it asks for before.
func (wk *worker) wholeUse(pd *placed) float64 {
	if pd.full > 0 {
		return pd.full
	}
	return float64(pd.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
}

// expect adds a serving job once.
func (wk *worker) expect(jb *job, image int, pl *Planner) {
	for _, ex := range wk.expected {
		if ex.job == jb {
			return
		}
	}
	wk.expected = append(wk.expected, expected{job: jb, image: image, pressure: pl.pairs.pressure(image, wk.uses)})
}

// over returns by how much the pressure on the worst serving job on a worker
// would be over what it may be when a filler image uses a further share of the
// worker. It is negative while there is room. A filler does not count for
// images that it does not disturb.
func (pl *Planner) over(wk *worker, image int, share float64) float64 {
	most := -1.0
	for _, ex := range wk.expected {
		if harm := pl.pairs.harm[ex.image][image]; harm >= harmless {
			most = max(most, ex.job.wave.ahead()+ex.pressure+harm*share-pl.pairs.limit(ex.image, joinTail))
		}
	}
	return most
}
