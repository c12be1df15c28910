package guard

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// halfLife is the age at which a sample counts half.
	halfLife = 10 * time.Minute
	// bands splits load from idle to full.
	bands = 4
	// confidence is the number of standard errors below the mean; one-sided
	// 95%.
	confidence = 1.64
	// enough samples must support an estimate before it is acted on.
	enough = 8
)

// estimate is the weighted mean and variance of a slowdown. The zero value
// has no samples.
type estimate struct {
	mean, variance float64
	// weight is the sum of the decayed sample weights.
	weight float64
	count  int
	last   model.Instant
}

// add takes in one sample.
func (es *estimate) add(now model.Instant, val float64) {
	if es.count > 0 {
		es.weight *= math.Exp2(-float64(now.Sub(es.last)) / float64(halfLife))
	}
	es.weight++
	es.count++
	es.last = now
	part := 1 / es.weight
	diff := val - es.mean
	es.mean += part * diff
	es.variance = (1 - part) * (es.variance + part*diff*diff)
}

// lower returns the lower confidence bound of the mean, 0 without enough
// samples.
func (es *estimate) lower() float64 {
	if es.count < enough {
		return 0
	}
	return max(0, es.mean-confidence*math.Sqrt(es.variance/es.weight))
}

// key names what an estimate is for.
type key struct {
	service model.ServiceID
	kind    string
	band    int8
}

func bandOf(load float64) int8 { return int8(max(0, min(bands-1, int(load*bands)))) }

// estimates keeps the slowdown of each service by each kind of batch task. The
// zero value is empty.
type estimates struct {
	pairs map[key]*estimate
	// alone has the tail latency of a service without batch tasks, in seconds.
	alone map[key]*estimate
}

func at(tab *map[key]*estimate, ky key) *estimate {
	es, ok := (*tab)[ky]
	if !ok {
		if *tab == nil {
			*tab = map[key]*estimate{}
		}
		es = &estimate{}
		(*tab)[ky] = es
	}
	return es
}

// observe takes in the tail latency of a service on a worker. The slowdown
// beyond what the kinds are known for is shared among them, so that kinds that
// are often together are told apart by the workers where they are not.
func (ests *estimates) observe(now model.Instant, rd *Reading) {
	bd := bandOf(rd.load)
	base := at(&ests.alone, key{service: rd.service, band: bd})
	if len(rd.kinds) == 0 {
		base.add(now, rd.tail.Seconds())
		return
	}
	if base.count == 0 || base.mean <= 0 {
		return
	}
	excess := rd.tail.Seconds()/base.mean - 1
	known := 0.0
	for _, kind := range rd.kinds {
		known += at(&ests.pairs, key{service: rd.service, kind: kind, band: bd}).mean
	}
	part := (excess - known) / float64(len(rd.kinds))
	for _, kind := range rd.kinds {
		es := at(&ests.pairs, key{service: rd.service, kind: kind, band: bd})
		es.add(now, es.mean+part)
	}
}

// slowdown returns the lower bound of the slowdown at the load. Interference
// grows with load, so that a lower band bounds it from below after a sudden
// shift, when the band itself has too few samples.
func (ests *estimates) slowdown(service model.ServiceID, kind string, load float64) float64 {
	for bd := bandOf(load); bd >= 0; bd-- {
		es, ok := ests.pairs[key{service: service, kind: kind, band: bd}]
		if ok && es.count >= enough {
			return es.lower()
		}
	}
	return 0
}
