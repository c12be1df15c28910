package sched

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// kindSamples is the number of the last attempts that a kind is judged by.
	kindSamples = 64
	// kindMinSamples is the number of samples from which on a kind's usage counts.
	kindMinSamples = 20
	// kindUsagePercentile of the reported usage is what later attempts get.
	kindUsagePercentile = 95
)

// kindStats is what was measured of one kind of task.
type kindStats struct {
	peaks [kindSamples]amount
	runs  [kindSamples]time.Duration
	// peakCount counts the samples of each; a position is reused after
	// kindSamples.
	peakCount, runCount int
	// usageSize is the percentile of the peaks; valid only if fresh.
	usageSize      model.Resources
	usageSizeValid bool
}

// kindTable learns the usage and run time of each kind. The zero value is empty.
type kindTable struct {
	byName map[string]*kindStats
}

func (kt *kindTable) stats(name string) *kindStats {
	kd, ok := kt.byName[name]
	if !ok {
		if kt.byName == nil {
			kt.byName = map[string]*kindStats{}
		}
		kd = &kindStats{}
		kt.byName[name] = kd
	}
	return kd
}

// addPeak adds the peak usage of one attempt.
func (kt *kindTable) addPeak(name string, peak amount) {
	kd := kt.stats(name)
	kd.peaks[kd.peakCount%kindSamples] = peak
	kd.peakCount++
	kd.usageSizeValid = false
}

// addRunTime adds the run time of an attempt that succeeded.
func (kt *kindTable) addRunTime(name string, dur time.Duration) {
	kd := kt.stats(name)
	kd.runs[kd.runCount%kindSamples] = dur
	kd.runCount++
}

// size returns the usage that later attempts of the kind are given.
func (kt *kindTable) size(name string) (model.Resources, bool) {
	kd, ok := kt.byName[name]
	if !ok || kd.peakCount < kindMinSamples {
		return model.Resources{}, false
	}
	if !kd.usageSizeValid {
		num := min(kd.peakCount, kindSamples)
		pick := func(get func(amount) int32) int64 {
			vals := make([]int32, num)
			for i := range vals {
				vals[i] = get(kd.peaks[i])
			}
			slices.Sort(vals)
			return int64(vals[(num-1)*kindUsagePercentile/100])
		}
		kd.usageSize = model.NewResources(
			pick(func(am amount) int32 { return am.milliCPU }),
			pick(func(am amount) int32 { return am.memoryMB }),
			pick(func(am amount) int32 { return am.accelerators }),
		)
		kd.usageSizeValid = true
	}
	return kd.usageSize, true
}

// runTime returns the median run time of the kind.
func (kt *kindTable) runTime(name string) (time.Duration, bool) {
	kd, ok := kt.byName[name]
	if !ok || kd.runCount < kindMinSamples {
		return 0, false
	}
	vals := slices.Clone(kd.runs[:min(kd.runCount, kindSamples)])
	slices.Sort(vals)
	return vals[len(vals)/2], true
}
