package route

import (
	"math"
	"time"

	"guavarail/core/model"
)

// averageHalfLife is the time without new samples after which a mean has moved
// half of the way to its default. With it, a server that was slow gets requests
// again after a few seconds.
const averageHalfLife = 5 * time.Second

// average is an exponentially weighted moving average of durations. Without new
// samples it decays towards a default. The zero value has no samples.
type average struct {
	// mean is in nanoseconds.
	mean       float64
	lastSample model.Instant
	hasSample  bool
}

// add adds a sample: the first one sets the mean, each further one has the
// weight 1/8. Negative samples count as 0.
func (av *average) add(now model.Instant, dur time.Duration) {
	val := float64(max(dur, 0))
	if !av.hasSample {
		*av = average{mean: val, lastSample: now, hasSample: true}
		return
	}
	av.mean += (val - av.mean) / 8
	av.lastSample = now
}

// decayed returns the mean after it has decayed towards def for the time since
// the last sample. Without any sample it returns def. Both are in nanoseconds.
func (av *average) decayed(now model.Instant, def float64) float64 {
	if !av.hasSample {
		return def
	}
	age := float64(now.Sub(av.lastSample)) / float64(averageHalfLife)
	if age <= 0.01 {
		return av.mean
	}
	return def + (av.mean-def)*math.Exp2(-age)
}
