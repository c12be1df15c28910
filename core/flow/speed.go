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
	// maxSpeedSample is the maximum time between two samples. While a worker is
	// silent for longer, its fast runs end unseen and the slow ones would bias
	// the speed.
	maxSpeedSample = time.Second
	// speedTimeConstant is the time constant with which older samples fade.
	speedTimeConstant = time.Second
	// speedPriorSeconds is the weight of the prior that a worker has the usual
	// speed, in seconds of work.
	speedPriorSeconds = 0.3
	// slowRatio is the ratio to the usual speed below which a worker is slow.
	// It is far below 1 because declared durations are off by half and more.
	slowRatio = 0.35
	// slowWorkerPause is how long a slow worker gets no further tasks. After
	// that it is tried again.
	slowWorkerPause = 3 * time.Second
	// maxSlowWorkers is the maximum share of workers that count as slow. If
	// more are, the declared durations are wrong rather than the workers slow.
	maxSlowWorkers = 0.34
	// nearEndPercent is the progress from which a run is left to finish on a
	// slow worker.
	nearEndPercent = 80
	// minFillerUseRatio is the share of its requested processors that a filler
	// must use for its progress to indicate the speed of its worker.
	minFillerUseRatio = 0.7
)

// speed measures how fast a worker works, in seconds of declared work done per
// second of run time. The zero value has no samples.
type speed struct {
	// work and spent are exponentially weighted sums, in seconds.
	work, spent float64
	at          model.Instant
}

// add adds the declared work that a run did in the given time.
func (sp *speed) add(now model.Instant, work, spent time.Duration) {
	decay := math.Exp(-float64(now.Sub(sp.at)) / float64(speedTimeConstant))
	sp.at = now
	sp.work = sp.work*decay + work.Seconds()
	sp.spent = sp.spent*decay + spent.Seconds()
}

// known reports whether there are enough samples to estimate the speed.
func (sp *speed) known() bool { return sp.spent >= speedPriorSeconds }

// estimate returns the speed; usual, the median speed of the workers, is the
// prior.
func (sp *speed) estimate(usual float64) float64 {
	return (sp.work + usual*speedPriorSeconds) / (sp.spent + speedPriorSeconds)
}

// measureSpeed samples the progress of the runs on a worker.
func (pl *Planner) measureSpeed(now model.Instant, wk *worker) {
	for _, pr := range wk.runs {
		// Heartbeats no longer list a run whose end is not committed yet.
		if !pr.reported || pr.ending || pr.evicting || pr.spec.LongRunning || pr.spec.Estimate <= 0 {
			continue
		}
		since := now.Sub(pr.sampledAt)
		if pr.sampledAt > 0 && since < minSpeedSample {
			continue
		}
		if pr.sampledAt > 0 && since <= maxSpeedSample && pr.limitedByWorker(wk) {
			work := time.Duration(float64(pr.spec.Estimate) * float64(pr.percent-pr.sampledPercent) / fullPace)
			wk.speed.add(now, work, since)
		}
		pr.sampledPercent, pr.sampledAt = pr.percent, now
	}
}

// limitedByWorker reports whether only the speed of the worker limits a run.
func (pr *placedRun) limitedByWorker(wk *worker) bool {
	if !pr.spec.Filler {
		return true
	}
	requested := float64(pr.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
	return pr.sentPace == fullPace && pr.use >= minFillerUseRatio*requested
}

// pauseSlowWorkers stops placing tasks on workers that are far slower than the
// others, and evicts the runs that lose little work.
func (pl *Planner) pauseSlowWorkers(now model.Instant) {
	pl.speedBuffer = pl.speedBuffer[:0]
	for _, wk := range pl.workers.sorted {
		if wk.speed.known() {
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
		if !wk.speed.known() || now.Before(wk.slowUntil) || wk.speed.estimate(usual) >= slowRatio*usual {
			continue
		}
		wk.slowUntil = now.Add(slowWorkerPause)
		moved := wk.evictSlow()
		pl.note("workerSlow", "", "", wk.incarnation.String(), "shareOfUsual", strconv.FormatFloat(wk.speed.estimate(usual)/usual, 'f', 2, 64),
			"ms", strconv.FormatInt(slowWorkerPause.Milliseconds(), 10), "moved", strconv.Itoa(moved), "runs", strconv.Itoa(len(wk.runs)))
		wk.speed = speed{}
	}
}

// countBelow returns the number of sorted values below bound.
func countBelow(sorted []float64, bound float64) int {
	pos, _ := slices.BinarySearch(sorted, bound)
	return pos
}

// evictSlow marks the runs that lose little work for eviction and returns their
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
