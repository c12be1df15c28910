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
	paceMargin         = 100 * time.Millisecond
	paceResendInterval = time.Second
	// minPace is the pace below which a filler stands still, in percent, and
	// paceStep the smallest change of pace worth an order.
	minPace       = 15
	minPaceChange = 10
	// pacedTailRatio is the tail, as a share of the target, at which the fillers
	// beside a serving task are held, and joinTail the one up to which another
	// filler may join.
	pacedTailRatio     = 1.0
	admissionTailRatio = 0.95
	// evictAfter is how long a filler stands still before it is moved.
	evictAfter = time.Second
	// slowAllAfter is how long a serving task may be over its target before all
	// fillers beside it are slowed, whatever the estimate says, and stopAfter
	// how long before none works on.
	slowAllAfter = 1500 * time.Millisecond
	stopAllAfter = 3 * time.Second
	// readingWindow is what a reading covers, with the time until it is reported.
	readingWindow = 700 * time.Millisecond
	// minSensitivity is the harm of a pair below which its filler is not slowed for
	// the serving task.
	minSensitivity = 0.3
)

// controlPaces learns from the readings of the serving tasks on a worker and sets the
// pace of the fillers beside them.
func (pl *Planner) controlPaces(now model.Instant, wk *worker, hb *Heartbeat) {
	if wk.servingRuns == 0 {
		pl.clearPaces(wk)
		wk.refreshPressure(pl)
		return
	}
	uses := pl.measureFillers(now, wk, hb)
	all := 0.0
	for _, us := range uses {
		all += us.share
	}
	worst := 0.0
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		pr := wk.find(rr.Task, rr.Attempt)
		// A task that is not at work yet has no callers.
		if pr == nil || !pr.spec.serves() || rr.Percent < fullPace {
			continue
		}
		tail := rr.Reading * float64(time.Millisecond) / float64(pr.spec.TailTarget)
		worst = max(worst, tail)
		image := pl.interference.imageIndex(pr.spec.Image)
		pressure := pl.interference.pressureOf(image, tail)
		pl.learnFromPeers(now, wk, pr, pressure, uses)
		pr.job.load.observe(now, max(0, pressure-pl.interference.fillerPressure(image, uses)), all)
	}
	switch {
	case worst < 1:
		wk.overTargetSince = 0
	case wk.overTargetSince == 0:
		wk.overTargetSince = now
	}
	wk.refreshPressure(pl)
	if wk.fillerRuns > 0 {
		pl.updatePaces(now, wk, worst)
	}
}

// measureFillers returns what the fillers on a worker used in the half second that
// its readings cover, by image. A filler that has ended since still counts.
func (pl *Planner) measureFillers(now model.Instant, wk *worker, hb *Heartbeat) []imageUse {
	total := float64(max(1, wk.size.MilliCPU()))
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		if pr := wk.find(rr.Task, rr.Attempt); pr != nil && pr.spec.Filler {
			pr.use = rr.Reading / total
			if pr.sentPace >= fullPace/2 && now.Sub(max(pr.placedAt, pr.sentPaceAt)) > pl.config.paceDelay()+readingWindow {
				pr.fullPaceUse = pr.use * fullPace / float64(pr.sentPace)
			}
		}
	}
	wk.fillerUses = wk.fillerUses[:0]
	for _, pr := range wk.runs {
		if pr.use > 0 {
			wk.fillerUses = addUse(wk.fillerUses, pl.interference.imageIndex(pr.spec.Image), pr.use)
		}
	}
	kept := wk.endedUses[:0]
	for _, eu := range wk.endedUses {
		if left := eu.until.Sub(now); left > 0 {
			share := eu.use.share * float64(left) / float64(readingWindow)
			wk.fillerUses = addUse(wk.fillerUses, eu.use.image, share)
			kept = append(kept, eu)
		}
	}
	wk.endedUses = kept
	return wk.fillerUses
}

// endedUse is a filler that ended so short ago that the readings still show it.
type endedUse struct {
	use   imageUse
	until model.Instant
}

// recordFillerEnd takes note of the end of a filler.
func (pl *Planner) recordFillerEnd(now model.Instant, wk *worker, pr *placedRun) {
	if pr.use > 0 {
		use := imageUse{image: pl.interference.imageIndex(pr.spec.Image), share: pr.use}
		wk.endedUses = append(wk.endedUses, endedUse{use: use, until: now.Add(readingWindow)})
	}
}

// updatePaces gives each filler the speed at which the serving tasks beside it stay
// under their target as their loads are about to hb. A filler that has to stand
// still is moved.
func (pl *Planner) updatePaces(now model.Instant, wk *worker, worst float64) {
	doubt := fullPace
	switch over := wk.timeOverTarget(now); {
	case over >= stopAllAfter:
		doubt = 0
	case over >= slowAllAfter:
		doubt = fullPace / 4
	}
	for _, pr := range wk.runs {
		if !pr.spec.Filler || pr.evicting {
			continue
		}
		pace := min(doubt, pl.safePace(wk, pr))
		if pace < minPace {
			pace = 0
		}
		if pace == fullPace || pace == 0 || pace >= pr.pace+minPaceChange || pace <= pr.pace-minPaceChange {
			pl.setPace(now, wk, pr, pace, worst)
		}
		if pr.pace == 0 && pr.reported && now.Sub(pr.paceChangedAt) >= evictAfter && pr.cheapToStop() {
			pr.evicting = true
			pl.note("fillerMoved", pr.task.job, pr.task.String(), wk.incarnation.String(),
				"tailOfTarget", strconv.FormatFloat(worst, 'f', 2, 64), "percentDone", strconv.Itoa(pr.percent))
		}
	}
}

// safePace returns the pace at which a filler and the others like it leave every
// serving task on the worker under its target, in percent.
func (pl *Planner) safePace(wk *worker, pr *placedRun) int {
	share := 1.0
	image := pl.interference.imageIndex(pr.spec.Image)
	for _, sj := range wk.servedJobs {
		if pl.interference.sensitivity[sj.image][image] < minSensitivity || sj.fillerPressure <= 0 {
			continue
		}
		room := pl.interference.pressureAt(sj.image, pacedTailRatio) - sj.job.load.predict()
		share = min(share, max(0, room)/sj.fillerPressure)
	}
	return int(share * fullPace)
}

// timeOverTarget returns how long some serving task on the worker has been over its
// target.
func (wk *worker) timeOverTarget(now model.Instant) time.Duration {
	if wk.overTargetSince == 0 {
		return 0
	}
	return now.Sub(wk.overTargetSince)
}

// cheapToStop reports whether little work is lost when the run is stopped.
func (pr *placedRun) cheapToStop() bool {
	const little = 25
	return pr.spec.Checkpoints || pr.percent < little
}

// setPace changes the pace of a filler.
func (pl *Planner) setPace(now model.Instant, wk *worker, pr *placedRun, pace int, worst float64) {
	if pr.pace == pace {
		return
	}
	if pace == 0 || pr.pace == 0 {
		pl.note("fillerPaced", pr.task.job, pr.task.String(), wk.incarnation.String(), "percent", strconv.Itoa(pace),
			"tailOfTarget", strconv.FormatFloat(worst, 'f', 2, 64))
	}
	pr.pace = pace
	pr.paceChangedAt = now
}

// clearPaces lets fillers run freely where nothing is served.
func (pl *Planner) clearPaces(wk *worker) {
	for _, pr := range wk.runs {
		if pr.pace < fullPace {
			pl.setPace(0, wk, pr, fullPace, 0)
		}
	}
}

// servedJob is what presses on the tasks of one serving job on a worker.
type servedJob struct {
	job   *job
	image int
	// fillerPressure is that of the fillers at full pace.
	fillerPressure float64
}

// refreshPressure computes the pressures to expect on a worker from what is placed
// there.
func (wk *worker) refreshPressure(pl *Planner) {
	wk.servedJobs = wk.servedJobs[:0]
	if wk.servingRuns == 0 {
		return
	}
	wk.fillerUses = wk.fillerUses[:0]
	for _, pr := range wk.runs {
		if pr.spec.Filler && !pr.evicting {
			wk.fillerUses = addUse(wk.fillerUses, pl.interference.imageIndex(pr.spec.Image), wk.fullPaceUse(pr))
		}
	}
	for _, pr := range wk.runs {
		if pr.spec.serves() {
			wk.addServedJob(pr.job, pl.interference.imageIndex(pr.spec.Image), pl)
		}
	}
}

// fullPaceUse returns the share of a worker that a filler uses at full pace: what
// it was read to use, and what it asks for before.
func (wk *worker) fullPaceUse(pr *placedRun) float64 {
	if pr.fullPaceUse > 0 {
		return pr.fullPaceUse
	}
	return float64(pr.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
}

// addServedJob adds a serving job once.
func (wk *worker) addServedJob(jb *job, image int, pl *Planner) {
	for _, sj := range wk.servedJobs {
		if sj.job == jb {
			return
		}
	}
	wk.servedJobs = append(wk.servedJobs, servedJob{job: jb, image: image, fillerPressure: pl.interference.fillerPressure(image, wk.fillerUses)})
}

// excessPressure returns by how much the pressure on the worst serving job on a worker
// would be over what it may be when a filler image uses a further share of the
// worker. It is negative while there is room. A filler does not count for
// images that it does not disturb.
func (pl *Planner) excessPressure(wk *worker, image int, share float64) float64 {
	most := -1.0
	for _, sj := range wk.servedJobs {
		if harm := pl.interference.sensitivity[sj.image][image]; harm >= minSensitivity {
			most = max(most, sj.job.load.predict()+sj.fillerPressure+harm*share-pl.interference.pressureAt(sj.image, admissionTailRatio))
		}
	}
	return most
}
