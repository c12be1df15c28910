package flow

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// loadPrior is the assumed load of a serving job before the first estimate.
	// The load is the part of the pressure on a task that the job itself
	// causes, from 0 for an idle job to maxPressure; the fillers on the worker
	// cause the rest.
	loadPrior = 0.4
	// shortTimeConstant and longTimeConstant are the time constants of two
	// exponential moving averages of a load. An average lags behind a steady
	// rise by its time constant, so the difference of the two averages divided
	// by that of their time constants is the slope.
	shortTimeConstant = 250 * time.Millisecond
	longTimeConstant  = 750 * time.Millisecond
	// forecastHorizon is how far a load is predicted from the time that the
	// readings describe: they are 0.4 s old on average, and a change of pace
	// needs 0.25 s to take effect on the worker.
	forecastHorizon = 650 * time.Millisecond
	// maxFullWeightUse is the use of the fillers on a worker above which an
	// estimate of the load gets less weight: the estimated pressure of the
	// fillers was subtracted from the reading, and its error grows with their
	// use.
	maxFullWeightUse = 0.05
)

// loadForecast predicts the load of a serving job, which rises and falls within
// seconds and is the same for all its tasks. The zero value predicts loadPrior.
type loadForecast struct {
	shortAverage, longAverage float64
	updatedAt                 model.Instant
	initialized               bool
}

// observe adds an estimate of the load, made from a reading of one task. use is
// the use of all fillers on the task's worker at that time.
func (lf *loadForecast) observe(now model.Instant, load, use float64) {
	if !lf.initialized {
		// The averages start at loadPrior, as if it had been observed one
		// shortTimeConstant before the first estimate.
		*lf = loadForecast{shortAverage: loadPrior, longAverage: loadPrior, initialized: true, updatedAt: now.Add(-shortTimeConstant)}
	}
	// Estimates for several tasks may arrive at the same time; each counts as
	// if at least 10 ms had passed since the last.
	since := max(now.Sub(lf.updatedAt), 10*time.Millisecond)
	lf.updatedAt = now
	weight := 1.0
	if use > maxFullWeightUse {
		weight = maxFullWeightUse / use
	}
	lf.shortAverage += weight * (1 - math.Exp(-float64(since)/float64(shortTimeConstant))) * (load - lf.shortAverage)
	lf.longAverage += weight * (1 - math.Exp(-float64(since)/float64(longTimeConstant))) * (load - lf.longAverage)
}

// current returns the short moving average of the load.
func (lf *loadForecast) current() float64 {
	if !lf.initialized {
		return loadPrior
	}
	return lf.shortAverage
}

// predict returns the load expected when a decision made now takes effect, which
// is forecastHorizon after the time that the readings describe. It extrapolates
// a rise, but not a fall.
func (lf *loadForecast) predict() float64 {
	change := (lf.shortAverage - lf.longAverage) / float64(longTimeConstant-shortTimeConstant) * float64(forecastHorizon)
	return min(maxPressure, max(0, lf.current()+max(0, change)))
}
