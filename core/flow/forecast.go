package flow

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// loadPrior is the assumed load of a serving job before the first reading.
	loadPrior = 0.4
	// shortTimeConstant and longTimeConstant are the time constants of two
	// moving averages of a load; their difference gives its slope.
	shortTimeConstant = 250 * time.Millisecond
	longTimeConstant  = 750 * time.Millisecond
	// forecastHorizon is how far ahead a load is predicted: readings are 0.4 s
	// old on average, and a change of pace takes 0.25 s to reach the worker.
	forecastHorizon = 650 * time.Millisecond
	// maxCleanUse is the share of a worker used by fillers above which a
	// reading gets less weight, because it says more about the fillers than
	// about the load.
	maxCleanUse = 0.05
)

// loadForecast predicts the load of a serving job, which rises and falls within
// seconds and is shared by all its tasks. The zero value returns the prior.
type loadForecast struct {
	shortAverage, longAverage float64
	updatedAt                 model.Instant
	initialized               bool
}

// observe adds a reading of the load. use is the share of the worker that
// fillers used at the time.
func (lf *loadForecast) observe(now model.Instant, load, use float64) {
	if !lf.initialized {
		*lf = loadForecast{shortAverage: loadPrior, longAverage: loadPrior, initialized: true, updatedAt: now.Add(-shortTimeConstant)}
	}
	// Simultaneous readings of several tasks count as consecutive ones.
	since := max(now.Sub(lf.updatedAt), 10*time.Millisecond)
	lf.updatedAt = now
	weight := 1.0
	if use > maxCleanUse {
		weight = maxCleanUse / use
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

// predict returns the load to expect when a decision takes effect. It
// extrapolates a rise, but not a fall.
func (lf *loadForecast) predict() float64 {
	rise := (lf.shortAverage - lf.longAverage) / float64(longTimeConstant-shortTimeConstant) * float64(forecastHorizon)
	return min(maxPressure, max(0, lf.current()+max(0, rise)))
}
