package sched

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// kindSamples is the number of the last attempts that a kind is judged by.
	kindSamples = 64
	// kindKnown is the number of samples from which on a kind's usage counts.
	kindKnown = 20
	// kindPercentile of the reported usage is what later attempts get.
	kindPercentile = 95
)

// kind is what was measured of one kind of task.
type kind struct {
	peaks [kindSamples]amount
	runs  [kindSamples]time.Duration
	// seen counts the samples of each; a position is reused after
	// kindSamples.
	seen, ran int
	// cached is the percentile of the peaks; valid only if fresh.
	cached model.Resources
	fresh  bool
}

// kinds learns the usage and run time of each kind. The zero value is empty.
type kinds struct {
	byName map[string]*kind
}

func (ks *kinds) kind(name string) *kind {
	kd, ok := ks.byName[name]
	if !ok {
		if ks.byName == nil {
			ks.byName = map[string]*kind{}
		}
		kd = &kind{}
		ks.byName[name] = kd
	}
	return kd
}

// used adds the peak usage of one attempt.
func (ks *kinds) used(name string, peak amount) {
	kd := ks.kind(name)
	kd.peaks[kd.seen%kindSamples] = peak
	kd.seen++
	kd.fresh = false
}

// took adds the run time of an attempt that succeeded.
func (ks *kinds) took(name string, dur time.Duration) {
	kd := ks.kind(name)
	kd.runs[kd.ran%kindSamples] = dur
	kd.ran++
}

// size returns the usage that later attempts of the kind are given.
func (ks *kinds) size(name string) (model.Resources, bool) {
	kd, ok := ks.byName[name]
	if !ok || kd.seen < kindKnown {
		return model.Resources{}, false
	}
	if !kd.fresh {
		num := min(kd.seen, kindSamples)
		pick := func(get func(amount) int32) int64 {
			vals := make([]int32, num)
			for i := range vals {
				vals[i] = get(kd.peaks[i])
			}
			slices.Sort(vals)
			return int64(vals[(num-1)*kindPercentile/100])
		}
		kd.cached = model.NewResources(
			pick(func(am amount) int32 { return am.milliCPU }),
			pick(func(am amount) int32 { return am.memoryMB }),
			pick(func(am amount) int32 { return am.accelerators }),
		)
		kd.fresh = true
	}
	return kd.cached, true
}

// runTime returns the median run time of the kind.
func (ks *kinds) runTime(name string) (time.Duration, bool) {
	kd, ok := ks.byName[name]
	if !ok || kd.ran < kindKnown {
		return 0, false
	}
	vals := slices.Clone(kd.runs[:min(kd.ran, kindSamples)])
	slices.Sort(vals)
	return vals[len(vals)/2], true
}
