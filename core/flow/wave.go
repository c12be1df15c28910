package flow

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// loadPrior is the load of a serving job before any was read.
	loadPrior = 0.4
	// fastTime and slowTime are the time constants of the two averages of a
	// load; their difference tells how it moves.
	fastTime = 250 * time.Millisecond
	slowTime = 750 * time.Millisecond
	// aheadTime is how far ahead a load is estimated: readings are 0.4 s old on
	// average, and a change of pace takes 0.25 s to reach the worker.
	aheadTime = 650 * time.Millisecond
	// burdened is the share of a worker that fillers use from which a reading
	// says less about the load than about the fillers.
	burdened = 0.05
)

// wave follows the load of a serving job, which rises and falls within seconds
// and is shared by all its tasks. The zero value has the prior.
type wave struct {
	fast, slow float64
	at         model.Instant
	read       bool
}

// follow takes in a load that was read beside fillers with the given share.
func (wa *wave) follow(now model.Instant, load, share float64) {
	if !wa.read {
		*wa = wave{fast: loadPrior, slow: loadPrior, read: true, at: now.Add(-fastTime)}
	}
	// Readings of several tasks at one time count as if they came in turn.
	since := max(now.Sub(wa.at), 10*time.Millisecond)
	wa.at = now
	weight := 1.0
	if share > burdened {
		weight = burdened / share
	}
	wa.fast += weight * (1 - math.Exp(-float64(since)/float64(fastTime))) * (load - wa.fast)
	wa.slow += weight * (1 - math.Exp(-float64(since)/float64(slowTime))) * (load - wa.slow)
}

// now returns the load as read.
func (wa *wave) now() float64 {
	if !wa.read {
		return loadPrior
	}
	return wa.fast
}

// ahead returns the load to expect when a decision takes effect. A load that
// falls is not counted on.
func (wa *wave) ahead() float64 {
	rise := (wa.fast - wa.slow) / float64(slowTime-fastTime) * float64(aheadTime)
	return min(fullPressure, max(0, wa.now()+max(0, rise)))
}
