package route

import (
	"math"
	"time"

	"guavarail/core/model"
)

// latencyHalfLife makes a server that was slow once get requests again after a
// few seconds without samples.
const latencyHalfLife = 5 * time.Second

// average is an exponentially weighted mean of durations. It decays towards
// the default without samples.
type average struct {
	mean float64
	last model.Instant
	used bool
}

func (av *average) add(now model.Instant, dur time.Duration) {
	val := float64(max(dur, 0))
	if !av.used {
		*av = average{mean: val, last: now, used: true}
		return
	}
	av.mean += (val - av.mean) / 8
	av.last = now
}

// at returns the mean, decayed to def by the age of the last sample.
func (av *average) at(now model.Instant, def float64) float64 {
	if !av.used {
		return def
	}
	age := float64(now.Sub(av.last)) / float64(latencyHalfLife)
	if age <= 0.01 {
		return av.mean
	}
	return def + (av.mean-def)*math.Exp2(-age)
}
