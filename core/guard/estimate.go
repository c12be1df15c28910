package guard

import (
	"math"
	"time"

	"guavarail/core/model"
)

const (
	// halfLife is the age at which the weight of a sample is halved.
	halfLife = 10 * time.Minute
	// loadBands is the number of equal bands of load, from 0 to 1.
	loadBands = 4
	// confidenceErrors is the distance of the lower confidence bound from the
	// mean, in standard errors; 1.64 gives a one-sided confidence of 95%.
	confidenceErrors = 1.64
	// minSamples is the number of samples of a slowdown from which it is used.
	minSamples = 8
)

// estimate is a weighted mean and variance. Weights decay with the age of the
// samples. The zero value has no samples.
type estimate struct {
	mean, variance float64
	// weight is the sum of the decayed sample weights.
	weight float64
	// count is the number of samples ever added, last the time of the last one.
	count int
	last  model.Instant
}

// add adds one sample.
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

// lower returns the lower confidence bound of the mean, at least 0; 0 with
// fewer than minSamples samples.
func (es *estimate) lower() float64 {
	if es.count < minSamples {
		return 0
	}
	return max(0, es.mean-confidenceErrors*math.Sqrt(es.variance/es.weight))
}

// estimateKey identifies an estimate. kind is empty for a baseline.
type estimateKey struct {
	service model.ServiceID
	kind    string
	band    int8
}

// bandOf returns the band of a load.
func bandOf(load float64) int8 { return int8(max(0, min(loadBands-1, int(load*loadBands)))) }

// estimates holds the slowdown of each service by each kind of batch task. A
// slowdown of 0.1 means a tail latency 10% above the baseline. The zero value
// is empty.
type estimates struct {
	slowdowns map[estimateKey]*estimate
	// baselines has the tail latency of each service without batch tasks, in
	// seconds.
	baselines map[estimateKey]*estimate
}

// estimateFor returns the estimate for the key, and adds an empty one if there
// is none.
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

// observe adds a measurement. A measurement without batch tasks updates the
// baseline. Otherwise, the slowdown that the estimates of the present kinds do
// not explain is divided equally among them. Measurements of workers on which
// only one kind runs correct the division between kinds that often run
// together.
func (ests *estimates) observe(now model.Instant, tl *TailLatency) {
	bd := bandOf(tl.load)
	base := estimateFor(&ests.baselines, estimateKey{service: tl.service, band: bd})
	if len(tl.kinds) == 0 {
		base.add(now, tl.tail.Seconds())
		return
	}
	if base.count == 0 || base.mean <= 0 {
		return
	}
	excess := tl.tail.Seconds()/base.mean - 1
	explained := 0.0
	for _, kind := range tl.kinds {
		explained += estimateFor(&ests.slowdowns, estimateKey{service: tl.service, kind: kind, band: bd}).mean
	}
	part := (excess - explained) / float64(len(tl.kinds))
	for _, kind := range tl.kinds {
		es := estimateFor(&ests.slowdowns, estimateKey{service: tl.service, kind: kind, band: bd})
		es.add(now, es.mean+part)
	}
}

// slowdown returns the lower confidence bound of the slowdown at the load. If
// the band of the load has too few samples, such as after a sudden rise, the
// next lower band with enough is used: interference grows with load, so its
// estimate is a lower bound too.
func (ests *estimates) slowdown(service model.ServiceID, kind string, load float64) float64 {
	for bd := bandOf(load); bd >= 0; bd-- {
		es, ok := ests.slowdowns[estimateKey{service: service, kind: kind, band: bd}]
		if ok && es.count >= minSamples {
			return es.lower()
		}
	}
	return 0
}
