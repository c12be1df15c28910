package flow

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// loadPrior is the assumed load of a serving job before the first reading.
	// A load is a pressure, from 0 for an idle job to maxPressure.
	loadPrior = 0.4
	// shortTimeConstant and longTimeConstant are the time constants of two
	// exponential moving averages of a load; their difference gives its slope.
	shortTimeConstant = 250 * time.Millisecond
	longTimeConstant  = 750 * time.Millisecond
	// forecastHorizon is how far ahead a load is predicted: readings are 0.4 s
	// old on average, and a change of pace needs 0.25 s to take effect on the
	// worker.
	forecastHorizon = 650 * time.Millisecond
	// maxCleanUse is the use of the fillers on a worker above which a reading
	// gets less weight, because it depends more on the fillers than on the
	// load.
	maxCleanUse = 0.05
)

// loadForecast predicts the load of a serving job, which rises and falls within
// seconds and is the same for all its tasks. The zero value predicts loadPrior.
type loadForecast struct {
	shortAverage, longAverage float64
	updatedAt                 model.Instant
	initialized               bool
}

// observe adds a reading of the load. use is the use of all fillers on the
// worker at that time.
func (lf *loadForecast) observe(now model.Instant, load, use float64) {
	if !lf.initialized {
		// The first reading gets the weight that it has one shortTimeConstant
		// after loadPrior.
		*lf = loadForecast{shortAverage: loadPrior, longAverage: loadPrior, initialized: true, updatedAt: now.Add(-shortTimeConstant)}
	}
	// Readings of several tasks may arrive at the same time; each counts as one
	// 10 ms after the last.
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

// predict returns the load to expect after forecastHorizon, when a decision made
// now takes effect. It extrapolates a rise, but not a fall.
func (lf *loadForecast) predict() float64 {
	rise := (lf.shortAverage - lf.longAverage) / float64(longTimeConstant-shortTimeConstant) * float64(forecastHorizon)
	return min(maxPressure, max(0, lf.current()+max(0, rise)))
}
