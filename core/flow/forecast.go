package flow

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// loadPrior is the load of a serving job before any was read.
	loadPrior = 0.4
	// shortTimeConstant and slowTime are the time constants of the two averages of a
	// load; their difference tells how it moves.
	shortTimeConstant = 250 * time.Millisecond
	longTimeConstant  = 750 * time.Millisecond
	// forecastHorizon is how far ahead a load is estimated: readings are 0.4 s old on
	// average, and a change of pace takes 0.25 s to reach the worker.
	forecastHorizon = 650 * time.Millisecond
	// maxCleanUse is the share of a worker that fillers use from which a reading
	// says less about the load than about the fillers.
	maxCleanUse = 0.05
)

// loadForecast follows the load of a serving job, which rises and falls within seconds
// and is shared by all its tasks. The zero value has the prior.
type loadForecast struct {
	shortAverage, longAverage float64
	updatedAt                 model.Instant
	initialized               bool
}

// observe takes in a load that was read beside fillers with the given share.
func (lf *loadForecast) observe(now model.Instant, load, share float64) {
	if !lf.initialized {
		*lf = loadForecast{shortAverage: loadPrior, longAverage: loadPrior, initialized: true, updatedAt: now.Add(-shortTimeConstant)}
	}
	// Readings of several tasks at one time count as if they came in turn.
	since := max(now.Sub(lf.updatedAt), 10*time.Millisecond)
	lf.updatedAt = now
	weight := 1.0
	if share > maxCleanUse {
		weight = maxCleanUse / share
	}
	lf.shortAverage += weight * (1 - math.Exp(-float64(since)/float64(shortTimeConstant))) * (load - lf.shortAverage)
	lf.longAverage += weight * (1 - math.Exp(-float64(since)/float64(longTimeConstant))) * (load - lf.longAverage)
}

// current returns the load as read.
func (lf *loadForecast) current() float64 {
	if !lf.initialized {
		return loadPrior
	}
	return lf.shortAverage
}

// predict returns the load to expect when a decision takes effect. A load that
// falls is not counted on.
func (lf *loadForecast) predict() float64 {
	rise := (lf.shortAverage - lf.longAverage) / float64(longTimeConstant-shortTimeConstant) * float64(forecastHorizon)
	return min(maxPressure, max(0, lf.current()+max(0, rise)))
}
