package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// fullPace lets a run work at full speed, in percent. unknownPace stands
	// for the pace that an earlier leader ordered.
	fullPace    = 100
	unknownPace = -1
	// paceMargin is added to the pace delay for the transfer of the order.
	// paceResendInterval is when an unchanged pace is ordered again.
	paceMargin         = 100 * time.Millisecond
	paceResendInterval = time.Second
	// minPace is the pace below which a filler is suspended, in percent.
	// minPaceChange is the smallest change that is worth an order.
	minPace       = 15
	minPaceChange = 10
	// pacedTailRatio is the ratio of tail latency to target at which pacing
	// holds a serving task. admissionTailRatio is the ratio up to which another
	// filler may be placed beside it.
	pacedTailRatio     = 1.0
	admissionTailRatio = 0.95
	// evictAfter is how long a filler is suspended before it is moved.
	evictAfter = time.Second
	// slowAllAfter is how long a serving task may exceed its target before all
	// fillers beside it are slowed, whatever the estimates say, and
	// stopAllAfter how long before all of them are suspended.
	slowAllAfter = 1500 * time.Millisecond
	stopAllAfter = 3 * time.Second
	// readingWindow is the time that a reading covers plus the time until it is
	// reported.
	readingWindow = 700 * time.Millisecond
	// minSensitivity is the sensitivity of a serving image to a filler image
	// below which the filler is not slowed for the serving task.
	minSensitivity = 0.3
)

// controlPaces updates the interference estimates from the readings of the
// serving tasks on a worker, and the paces of the fillers beside them.
func (pl *Planner) controlPaces(now model.Instant, wk *worker, hb *Heartbeat) {
	if wk.servingRuns == 0 {
		pl.clearPaces(wk)
		wk.refreshPressure(pl)
		return
	}
	uses := pl.measureFillers(now, wk, hb)
	fillerShare := 0.0
	for _, us := range uses {
		fillerShare += us.share
	}
	worstTail := 0.0
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		pr := wk.find(rr.Task, rr.Attempt)
		// A task that is still starting has no callers.
		if pr == nil || !pr.spec.serves() || rr.Percent < fullPace {
			continue
		}
		tail := rr.Reading * float64(time.Millisecond) / float64(pr.spec.TailTarget)
		worstTail = max(worstTail, tail)
		image := pl.interference.imageIndex(pr.spec.Image)
		pressure := pl.interference.pressureOf(image, tail)
		pl.learnFromPeers(now, wk, pr, pressure, uses)
		pr.job.load.observe(now, max(0, pressure-pl.interference.fillerPressure(image, uses)), fillerShare)
	}
	switch {
	case worstTail < 1:
		wk.overTargetSince = 0
	case wk.overTargetSince == 0:
		wk.overTargetSince = now
	}
	wk.refreshPressure(pl)
	if wk.fillerRuns > 0 {
		pl.updatePaces(now, wk, worstTail)
	}
}

// measureFillers returns the share of the worker that its fillers used in the
// half second that the readings cover, by image. Fillers that ended recently
// still count in part.
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

// endedUse is the use of a filler that ended so recently that readings still
// show its effect.
type endedUse struct {
	use   imageUse
	until model.Instant
}

// recordFillerEnd remembers the use of a filler that ended.
func (pl *Planner) recordFillerEnd(now model.Instant, wk *worker, pr *placedRun) {
	if pr.use > 0 {
		use := imageUse{image: pl.interference.imageIndex(pr.spec.Image), share: pr.use}
		wk.endedUses = append(wk.endedUses, endedUse{use: use, until: now.Add(readingWindow)})
	}
}

// updatePaces sets the pace of each filler so that the serving tasks beside it
// stay within their targets under the forecast load. A filler that stays
// suspended is moved.
func (pl *Planner) updatePaces(now model.Instant, wk *worker, worstTail float64) {
	maxPace := fullPace
	switch over := wk.timeOverTarget(now); {
	case over >= stopAllAfter:
		maxPace = 0
	case over >= slowAllAfter:
		maxPace = fullPace / 4
	}
	for _, pr := range wk.runs {
		if !pr.spec.Filler || pr.evicting {
			continue
		}
		pace := min(maxPace, pl.safePace(wk, pr))
		if pace < minPace {
			pace = 0
		}
		if pace == fullPace || pace == 0 || pace >= pr.pace+minPaceChange || pace <= pr.pace-minPaceChange {
			pl.setPace(now, wk, pr, pace, worstTail)
		}
		if pr.pace == 0 && pr.reported && now.Sub(pr.paceChangedAt) >= evictAfter && pr.cheapToStop() {
			pr.evicting = true
			pl.note("fillerMoved", pr.task.job, pr.task.String(), wk.incarnation.String(),
				"tailOfTarget", strconv.FormatFloat(worstTail, 'f', 2, 64), "percentDone", strconv.Itoa(pr.percent))
		}
	}
}

// safePace returns the pace, in percent, at which all fillers of this image
// leave every serving task on the worker within its target.
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

// timeOverTarget returns for how long some serving task on the worker has
// exceeded its target.
func (wk *worker) timeOverTarget(now model.Instant) time.Duration {
	if wk.overTargetSince == 0 {
		return 0
	}
	return now.Sub(wk.overTargetSince)
}

// cheapToStop reports whether stopping the run loses little work.
func (pr *placedRun) cheapToStop() bool {
	const earlyPercent = 25
	return pr.spec.Checkpoints || pr.percent < earlyPercent
}

// setPace changes the pace of a filler and logs when it is suspended or
// resumed.
func (pl *Planner) setPace(now model.Instant, wk *worker, pr *placedRun, pace int, worstTail float64) {
	if pr.pace == pace {
		return
	}
	if pace == 0 || pr.pace == 0 {
		pl.note("fillerPaced", pr.task.job, pr.task.String(), wk.incarnation.String(), "percent", strconv.Itoa(pace),
			"tailOfTarget", strconv.FormatFloat(worstTail, 'f', 2, 64))
	}
	pr.pace = pace
	pr.paceChangedAt = now
}

// clearPaces sets all fillers to full pace; the worker has no serving tasks.
func (pl *Planner) clearPaces(wk *worker) {
	for _, pr := range wk.runs {
		if pr.pace < fullPace {
			pl.setPace(0, wk, pr, fullPace, 0)
		}
	}
}

// servedJob is a serving job with tasks on a worker, and the pressure that the
// fillers there put on them.
type servedJob struct {
	job   *job
	image int
	// fillerPressure is the pressure of all fillers of the worker at full pace.
	fillerPressure float64
}

// refreshPressure recomputes servedJobs from the runs that are placed on the
// worker.
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

// fullPaceUse returns the share of the worker that a filler uses at full pace:
// the measured share, or the requested one before it was measured.
func (wk *worker) fullPaceUse(pr *placedRun) float64 {
	if pr.fullPaceUse > 0 {
		return pr.fullPaceUse
	}
	return float64(pr.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
}

// addServedJob adds a serving job unless it is already listed.
func (wk *worker) addServedJob(jb *job, image int, pl *Planner) {
	for _, sj := range wk.servedJobs {
		if sj.job == jb {
			return
		}
	}
	wk.servedJobs = append(wk.servedJobs, servedJob{job: jb, image: image, fillerPressure: pl.interference.fillerPressure(image, wk.fillerUses)})
}

// excessPressure returns by how much the pressure on the most affected serving
// job of a worker would exceed its limit if fillers of an image used a further
// share of the worker. It is negative while there is room. Serving images that
// are not sensitive to the filler image are left out.
func (pl *Planner) excessPressure(wk *worker, image int, share float64) float64 {
	highest := -1.0
	for _, sj := range wk.servedJobs {
		if sensitivity := pl.interference.sensitivity[sj.image][image]; sensitivity >= minSensitivity {
			highest = max(highest, sj.job.load.predict()+sj.fillerPressure+sensitivity*share-pl.interference.pressureAt(sj.image, admissionTailRatio))
		}
	}
	return highest
}
