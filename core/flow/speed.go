package flow

import (
	"math"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// minSpeedSample is the minimum time between two samples of a run's
	// progress, because heartbeats report it in whole percent.
	minSpeedSample = 300 * time.Millisecond
	// maxSpeedSample is the maximum time between two samples. If a worker sends
	// no heartbeat for longer, its fast runs end in between without a sample and
	// the slow ones would bias the speed.
	maxSpeedSample = time.Second
	// speedTimeConstant is the time constant of the exponential decay of the
	// weight of a sample.
	speedTimeConstant = time.Second
	// speedPriorSeconds is the weight of the assumption that a worker has the
	// usual speed, in seconds of run time.
	speedPriorSeconds = 0.3
	// slowRatio is the ratio to the usual speed below which a worker is slow.
	// It is far below 1 because declared durations are wrong by half and more.
	slowRatio = 0.35
	// slowWorkerPause is how long a slow worker gets no further tasks, except
	// long-running ones. After that it gets tasks again.
	slowWorkerPause = 3 * time.Second
	// maxSlowWorkers is the maximum fraction of the measured workers that may be
	// slow. If more are, the declared durations are wrong rather than the
	// workers slow, and none is paused.
	maxSlowWorkers = 0.34
	// nearEndPercent is the progress, in percent, from which a run is not
	// evicted from a slow worker.
	nearEndPercent = 80
	// minFillerUseRatio is the fraction of its requested processors that a
	// filler must use for its progress to indicate the speed of its worker.
	minFillerUseRatio = 0.7
)

// speed measures how fast a worker works, in seconds of declared work done per
// second of run time. The zero value has no samples.
type speed struct {
	// work is the declared work done and spent the run time, as exponentially
	// weighted sums in seconds.
	work, spent float64
	updatedAt   model.Instant
}

// add adds a sample: the declared work that a run did in the run time spent.
func (sp *speed) add(now model.Instant, work, spent time.Duration) {
	decay := math.Exp(-float64(now.Sub(sp.updatedAt)) / float64(speedTimeConstant))
	sp.updatedAt = now
	sp.work = sp.work*decay + work.Seconds()
	sp.spent = sp.spent*decay + spent.Seconds()
}

// measured reports whether there are enough samples to compare the speed with
// that of other workers.
func (sp *speed) measured() bool { return sp.spent >= speedPriorSeconds }

// estimate returns the speed. usual, the median speed of the workers, counts as
// a sample of speedPriorSeconds.
func (sp *speed) estimate(usual float64) float64 {
	return (sp.work + usual*speedPriorSeconds) / (sp.spent + speedPriorSeconds)
}

// measureSpeed samples the progress of the runs on a worker after a heartbeat.
func (pl *Planner) measureSpeed(now model.Instant, wk *worker) {
	for _, pr := range wk.runs {
		// A run that is ending is no longer in the heartbeats, so that its
		// progress stays the same.
		if !pr.reported || pr.ending || pr.evicting || pr.spec.LongRunning || pr.spec.Estimate <= 0 {
			continue
		}
		since := now.Sub(pr.sampledAt)
		if pr.sampledAt > 0 && since < minSpeedSample {
			continue
		}
		if pr.sampledAt > 0 && since <= maxSpeedSample && pr.limitedByWorker(wk) {
			// fullPace is 100 percent of progress here.
			work := time.Duration(float64(pr.spec.Estimate) * float64(pr.percent-pr.sampledPercent) / fullPace)
			wk.speed.add(now, work, since)
		}
		pr.sampledPercent, pr.sampledAt = pr.percent, now
	}
}

// limitedByWorker reports whether only the speed of the worker limits the
// progress of a run, neither its pace nor a lack of processors.
func (pr *placedRun) limitedByWorker(wk *worker) bool {
	if !pr.spec.Filler {
		return true
	}
	requested := float64(pr.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
	return pr.sentPace == fullPace && pr.use >= minFillerUseRatio*requested
}

// pauseSlowWorkers pauses the workers that are far slower than the others for
// slowWorkerPause, and evicts those of their runs whose eviction loses little
// work.
func (pl *Planner) pauseSlowWorkers(now model.Instant) {
	pl.speedBuffer = pl.speedBuffer[:0]
	for _, wk := range pl.workers.sorted {
		if wk.speed.measured() {
			pl.speedBuffer = append(pl.speedBuffer, wk.speed.work/wk.speed.spent)
		}
	}
	if len(pl.speedBuffer) == 0 {
		return
	}
	slices.Sort(pl.speedBuffer)
	usual := pl.speedBuffer[len(pl.speedBuffer)/2]
	if float64(countBelow(pl.speedBuffer, slowRatio*usual)) > maxSlowWorkers*float64(len(pl.speedBuffer)) {
		return
	}
	for _, wk := range pl.workers.sorted {
		if !wk.speed.measured() || now.Before(wk.slowUntil) || wk.speed.estimate(usual) >= slowRatio*usual {
			continue
		}
		wk.slowUntil = now.Add(slowWorkerPause)
		evicted := wk.evictSlow()
		pl.recordEvent("workerSlow", "", "", wk.incarnation.String(), "shareOfUsual", strconv.FormatFloat(wk.speed.estimate(usual)/usual, 'f', 2, 64),
			"ms", strconv.FormatInt(slowWorkerPause.Milliseconds(), 10), "moved", strconv.Itoa(evicted), "runs", strconv.Itoa(len(wk.runs)))
		wk.speed = speed{}
	}
}

// countBelow returns the number of sorted values below bound.
func countBelow(sorted []float64, bound float64) int {
	pos, _ := slices.BinarySearch(sorted, bound)
	return pos
}

// evictSlow marks the runs whose eviction loses little work, and returns their
// number.
func (wk *worker) evictSlow() int {
	num := 0
	for _, pr := range wk.runs {
		if pr.reported && !pr.evicting && !pr.spec.LongRunning && !pr.spec.Gang && pr.percent < nearEndPercent && pr.cheapToStop() {
			pr.evicting = true
			num++
		}
	}
	return num
}
