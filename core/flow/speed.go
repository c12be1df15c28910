package flow

import (
	"math"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// minSpeedSample is the least time over which the progress of a run is taken;
	// reports have it in whole percent.
	minSpeedSample = 300 * time.Millisecond
	// maxSpeedSample is the longest time over which it is taken. Of the runs of a
	// worker that was silent for longer, the fast ones have ended unseen.
	maxSpeedSample = time.Second
	// speedTimeConstant is the time constant with which earlier progress is forgotten.
	speedTimeConstant = time.Second
	// speedPriorSeconds is the weight, in seconds of work, of the assumption that a
	// worker has the usual speed.
	speedPriorSeconds = 0.3
	// slowRatio is the share of the usual speed below which a worker is slow.
	// Declared durations are off by half and more, so that it is far below 1.
	slowRatio = 0.35
	// slowWorkerPause is how long a slow worker gets no further tasks. Then it is tried
	// again.
	slowWorkerPause = 3 * time.Second
	// maxSlowWorkers is the share of the workers up to which they count as slow; more
	// of them say that the declared durations are wrong.
	maxSlowWorkers = 0.34
	// nearEndPercent is the percentage from which a run is left on a slow worker.
	nearEndPercent = 80
	// minFillerUseRatio is the share of the processors that it asks for from which the
	// progress of a filler tells the speed of its worker.
	minFillerUseRatio = 0.7
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
	keep := math.Exp(-float64(now.Sub(sp.at)) / float64(speedTimeConstant))
	sp.at = now
	sp.work = sp.work*keep + work.Seconds()
	sp.spent = sp.spent*keep + spent.Seconds()
}

// known reports whether enough was seen to tell the speed.
func (sp *speed) known() bool { return sp.spent >= speedPriorSeconds }

// estimate returns the speed, where usual is that of the other workers.
func (sp *speed) estimate(usual float64) float64 {
	return (sp.work + usual*speedPriorSeconds) / (sp.spent + speedPriorSeconds)
}

// measureSpeed takes in the progress of the runs on a worker that work at full pace.
func (pl *Planner) measureSpeed(now model.Instant, wk *worker) {
	for _, pr := range wk.runs {
		// A run whose end is on its way to the log is not in reports any more.
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

// limitedByWorker reports whether nothing but the speed of the worker limits a run.
func (pr *placedRun) limitedByWorker(wk *worker) bool {
	if !pr.spec.Filler {
		return true
	}
	asked := float64(pr.spec.Size.MilliCPU()) / float64(max(1, wk.size.MilliCPU()))
	return pr.sentPace == fullPace && pr.use >= minFillerUseRatio*asked
}

// pauseSlowWorkers keeps tasks away from the workers that are far slower than the
// others and moves those that lose little by it.
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

// countBelow counts the sorted values under a bound.
func countBelow(sorted []float64, bound float64) int {
	pos, _ := slices.BinarySearch(sorted, bound)
	return pos
}

// evictSlow has the runs stopped that lose little by starting elsewhere.
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
