package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// fullPace is the pace of a run that works at full speed, in percent. As a
	// RunReport.Percent, which is progress rather than a pace, it means that
	// all work is done or that a long-running task is serving. unknownPace
	// stands for the pace that an earlier leader ordered.
	fullPace    = 100
	unknownPace = -1
	// paceMargin is added to Config.PaceDelay for the transfer of the order.
	// paceResendInterval is the time after which an unchanged pace is ordered
	// again.
	paceMargin         = 100 * time.Millisecond
	paceResendInterval = time.Second
	// minPace is the pace below which a filler is suspended, and minPaceChange
	// the smallest change that is worth an order, except to 0 and to fullPace.
	// Both are in percent.
	minPace       = 15
	minPaceChange = 10
	// pacedTailRatio is the ratio of tail latency to target up to which fillers
	// may slow a serving task. admissionTailRatio is the ratio up to which a
	// further filler may be placed on its worker.
	pacedTailRatio     = 1.0
	admissionTailRatio = 0.95
	// evictAfter is how long a filler is suspended before it is evicted, if
	// stopping it loses little work.
	evictAfter = time.Second
	// slowAllAfter is how long a serving task may exceed its target before all
	// fillers on its worker are slowed to a quarter of full pace, whatever the
	// estimates say. After suspendAllAfter, all of them are suspended.
	slowAllAfter    = 1500 * time.Millisecond
	suspendAllAfter = 3 * time.Second
	// readingWindow is the time that a reading covers, half a second, plus the
	// time until it is reported.
	readingWindow = 700 * time.Millisecond
	// minSensitivity is the sensitivity of a serving image to a filler image
	// (see interference) below which the filler is not slowed for the serving
	// task.
	minSensitivity = 0.3
)

// controlPaces updates the estimates of interference and load from the readings
// of the serving tasks on a worker, and then the paces of the fillers on it.
func (pl *Planner) controlPaces(now model.Instant, wk *worker, hb *Heartbeat) {
	if wk.servingRuns == 0 {
		pl.clearPaces(wk)
		wk.updateServingJobs(pl)
		return
	}
	uses := pl.measureFillers(now, wk, hb)
	fillerUse := 0.0
	for _, us := range uses {
		fillerUse += us.fraction
	}
	worstTailRatio := 0.0
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		pr := wk.find(rr.Task, rr.Attempt)
		// A task below 100 percent is not serving yet and has no callers.
		if pr == nil || !pr.spec.serves() || rr.Percent < fullPace {
			continue
		}
		tailRatio := rr.Reading * float64(time.Millisecond) / float64(pr.spec.TailTarget)
		worstTailRatio = max(worstTailRatio, tailRatio)
		image := pl.interference.imageIndex(pr.spec.Image)
		pressure := pl.interference.pressureOf(image, tailRatio)
		pl.learnFromPeers(now, wk, pr, pressure, uses)
		pr.job.load.observe(now, max(0, pressure-pl.interference.fillerPressure(image, uses)), fillerUse)
	}
	switch {
	case worstTailRatio < 1:
		wk.overTargetSince = 0
	case wk.overTargetSince == 0:
		wk.overTargetSince = now
	}
	wk.updateServingJobs(pl)
	if wk.fillerRuns > 0 {
		pl.updatePaces(now, wk, worstTailRatio)
	}
}

// measureFillers updates the uses of the fillers on a worker from their
// readings and returns them by image. Fillers that ended within readingWindow
// count in proportion to the part of it that is left, since the readings of the
// serving tasks still show their effect. The result is valid until the next
// change of fillerUses.
func (pl *Planner) measureFillers(now model.Instant, wk *worker, hb *Heartbeat) []imageUse {
	total := float64(max(1, wk.size.MilliCPU()))
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		if pr := wk.find(rr.Task, rr.Attempt); pr != nil && pr.spec.Filler {
			pr.use = rr.Reading / total
			// The use is scaled up to full pace. Below half of it, errors of the
			// reading would more than double.
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
	recent := wk.endedUses[:0]
	for _, eu := range wk.endedUses {
		if left := eu.until.Sub(now); left > 0 {
			fraction := eu.use.fraction * float64(left) / float64(readingWindow)
			wk.fillerUses = addUse(wk.fillerUses, eu.use.image, fraction)
			recent = append(recent, eu)
		}
	}
	wk.endedUses = recent
	return wk.fillerUses
}

// endedUse is the use of a filler that has ended, and the time until which
// readings of serving tasks show its effect.
type endedUse struct {
	use   imageUse
	until model.Instant
}

// recordFillerEnd adds the use of a filler that ended to endedUses.
func (pl *Planner) recordFillerEnd(now model.Instant, wk *worker, pr *placedRun) {
	if pr.use > 0 {
		use := imageUse{image: pl.interference.imageIndex(pr.spec.Image), fraction: pr.use}
		wk.endedUses = append(wk.endedUses, endedUse{use: use, until: now.Add(readingWindow)})
	}
}

// updatePaces sets the pace of each filler so that the serving tasks on the
// worker stay within their targets under the predicted load. A filler that stays
// suspended for evictAfter is evicted if that loses little work.
// worstTailRatio, the highest ratio of tail latency to target, appears in events
// only.
func (pl *Planner) updatePaces(now model.Instant, wk *worker, worstTailRatio float64) {
	maxPace := fullPace
	switch over := wk.timeOverTarget(now); {
	case over >= suspendAllAfter:
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
			pl.setPace(now, wk, pr, pace, worstTailRatio)
		}
		if pr.pace == 0 && pr.reported && now.Sub(pr.paceChangedAt) >= evictAfter && pr.cheapToStop() {
			pr.evicting = true
			pl.recordEvent("fillerMoved", pr.task.job, pr.task.String(), wk.incarnation.String(),
				"tailOfTarget", strconv.FormatFloat(worstTailRatio, 'f', 2, 64), "percentDone", strconv.Itoa(pr.percent))
		}
	}
}

// safePace returns the pace, in percent, that leaves every serving task on the
// worker within its target if all fillers that affect the task work at it.
func (pl *Planner) safePace(wk *worker, pr *placedRun) int {
	fraction := 1.0
	image := pl.interference.imageIndex(pr.spec.Image)
	for _, sj := range wk.servingJobs {
		if pl.interference.sensitivity[sj.image][image] < minSensitivity || sj.fillerPressure <= 0 {
			continue
		}
		room := pl.interference.pressureAt(sj.image, pacedTailRatio) - sj.job.load.predict()
		fraction = min(fraction, max(0, room)/sj.fillerPressure)
	}
	return int(fraction * fullPace)
}

// timeOverTarget returns for how long some serving task on the worker has
// exceeded its target, 0 if none does.
func (wk *worker) timeOverTarget(now model.Instant) time.Duration {
	if wk.overTargetSince == 0 {
		return 0
	}
	return now.Sub(wk.overTargetSince)
}

// cheapToStop reports whether stopping the run loses little work: it can resume
// from a checkpoint or is in its first quarter.
func (pr *placedRun) cheapToStop() bool {
	const earlyPercent = 25
	return pr.spec.Checkpoints || pr.percent < earlyPercent
}

// setPace changes the pace of a filler and records an event when the filler is
// suspended or resumed. The order follows with the next answer to the worker.
func (pl *Planner) setPace(now model.Instant, wk *worker, pr *placedRun, pace int, worstTailRatio float64) {
	if pr.pace == pace {
		return
	}
	if pace == 0 || pr.pace == 0 {
		pl.recordEvent("fillerPaced", pr.task.job, pr.task.String(), wk.incarnation.String(), "percent", strconv.Itoa(pace),
			"tailOfTarget", strconv.FormatFloat(worstTailRatio, 'f', 2, 64))
	}
	pr.pace = pace
	pr.paceChangedAt = now
}

// clearPaces sets all fillers of a worker without serving tasks to full pace.
// The time of the change is recorded as 0, so that the stall timeout counts
// from the last progress alone.
func (pl *Planner) clearPaces(wk *worker) {
	for _, pr := range wk.runs {
		if pr.pace < fullPace {
			pl.setPace(0, wk, pr, fullPace, 0)
		}
	}
}

// servingJob is a serving job with tasks on a worker.
type servingJob struct {
	job *job
	// image is the index, from interference.imageIndex, of the image of the
	// first of the job's tasks on the worker.
	image int
	// fillerPressure is the pressure of all fillers on the worker that are not
	// being evicted, at full pace.
	fillerPressure float64
}

// updateServingJobs recomputes servingJobs from the runs that are placed on the
// worker. Call it whenever a filler or serving task is added, and after
// interference was solved.
func (wk *worker) updateServingJobs(pl *Planner) {
	wk.servingJobs = wk.servingJobs[:0]
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
			wk.addServingJob(pr.job, pl.interference.imageIndex(pr.spec.Image), pl)
		}
	}
}

// fullPaceUse returns the use of a filler at full pace: the measured use, or the
// requested fraction of the processors before the first measurement.
func (wk *worker) fullPaceUse(pr *placedRun) float64 {
	if pr.fullPaceUse > 0 {
		return pr.fullPaceUse
	}
	return float64(pr.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
}

// addServingJob adds a serving job unless it is already listed.
func (wk *worker) addServingJob(jb *job, image int, pl *Planner) {
	for _, sj := range wk.servingJobs {
		if sj.job == jb {
			return
		}
	}
	wk.servingJobs = append(wk.servingJobs, servingJob{job: jb, image: image, fillerPressure: pl.interference.fillerPressure(image, wk.fillerUses)})
}

// excessPressure returns by how much the pressure on a serving job of the worker
// would exceed the pressure at admissionTailRatio if a further filler of the
// image used the fraction use of the worker's processors. It is the highest
// value of all serving jobs whose sensitivity to the image is at least
// minSensitivity, -1 if there is none, and negative if all stay below that
// pressure.
func (pl *Planner) excessPressure(wk *worker, image int, use float64) float64 {
	highest := -1.0
	for _, sj := range wk.servingJobs {
		if sensitivity := pl.interference.sensitivity[sj.image][image]; sensitivity >= minSensitivity {
			highest = max(highest, sj.job.load.predict()+sj.fillerPressure+sensitivity*use-pl.interference.pressureAt(sj.image, admissionTailRatio))
		}
	}
	return highest
}
