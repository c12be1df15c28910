package guard

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// halfLife is the age at which a sample counts half.
	halfLife = 10 * time.Minute
	// loadBands splits load from idle to full.
	loadBands = 4
	// confidenceErrors is the number of standard errors below the mean; one-sided
	// 95%.
	confidenceErrors = 1.64
	// minSamples samples must support an estimate before it is acted on.
	minSamples = 8
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
	if es.count < minSamples {
		return 0
	}
	return max(0, es.mean-confidenceErrors*math.Sqrt(es.variance/es.weight))
}

// estimateKey names what an estimate is for.
type estimateKey struct {
	service model.ServiceID
	kind    string
	band    int8
}

func bandOf(load float64) int8 { return int8(max(0, min(loadBands-1, int(load*loadBands)))) }

// estimates keeps the slowdown of each service by each kind of batch task. The
// zero value is empty.
type estimates struct {
	slowdowns map[estimateKey]*estimate
	// baselines has the tail latency of a service without batch tasks, in seconds.
	baselines map[estimateKey]*estimate
}

func estimateFor(tab *map[estimateKey]*estimate, ky estimateKey) *estimate {
	es, ok := (*tab)[ky]
	if !ok {
		if *tab == nil {
			*tab = map[estimateKey]*estimate{}
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
	base := estimateFor(&ests.baselines, estimateKey{service: rd.service, band: bd})
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
		known += estimateFor(&ests.slowdowns, estimateKey{service: rd.service, kind: kind, band: bd}).mean
	}
	part := (excess - known) / float64(len(rd.kinds))
	for _, kind := range rd.kinds {
		es := estimateFor(&ests.slowdowns, estimateKey{service: rd.service, kind: kind, band: bd})
		es.add(now, es.mean+part)
	}
}

// slowdown returns the lower bound of the slowdown at the load. Interference
// grows with load, so that a lower band bounds it from below after a sudden
// shift, when the band itself has too few samples.
func (ests *estimates) slowdown(service model.ServiceID, kind string, load float64) float64 {
	for bd := bandOf(load); bd >= 0; bd-- {
		es, ok := ests.slowdowns[estimateKey{service: service, kind: kind, band: bd}]
		if ok && es.count >= minSamples {
			return es.lower()
		}
	}
	return 0
}
