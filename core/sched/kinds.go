package sched

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// kindSamples is the number of most recent samples stored for each kind,
	// of peak usages and of run times.
	kindSamples = 64
	// kindMinSamples is the number of samples from which the statistics of a
	// kind are used.
	kindMinSamples = 20
	// kindUsagePercentile is the percentile of the peak usage at which later
	// attempts are sized.
	kindUsagePercentile = 95
)

// kindStats holds the measurements of one kind of task, see JobSpec.Kind.
type kindStats struct {
	peaks    [kindSamples]amount
	runTimes [kindSamples]time.Duration
	// peakCount and runCount count the samples ever added; the arrays are ring
	// buffers of the last kindSamples.
	peakCount, runCount int
	// usageSize caches the result of size; valid only if usageSizeValid.
	usageSize      model.Resources
	usageSizeValid bool
}

// kindTable holds the measured usage and run time of each kind. The zero value
// is empty.
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
	kd.runTimes[kd.runCount%kindSamples] = dur
	kd.runCount++
}

// size returns the percentile kindUsagePercentile of the peak usage, separately
// for each resource, which is the minimum size of later attempts of the kind.
// It returns false until there are kindMinSamples samples.
func (kt *kindTable) size(name string) (model.Resources, bool) {
	kd, ok := kt.byName[name]
	if !ok || kd.peakCount < kindMinSamples {
		return model.Resources{}, false
	}
	if !kd.usageSizeValid {
		num := min(kd.peakCount, kindSamples)
		percentile := func(get func(amount) int32) int64 {
			vals := make([]int32, num)
			for i := range vals {
				vals[i] = get(kd.peaks[i])
			}
			slices.Sort(vals)
			return int64(vals[(num-1)*kindUsagePercentile/100])
		}
		kd.usageSize = model.NewResources(
			percentile(func(am amount) int32 { return am.milliCPU }),
			percentile(func(am amount) int32 { return am.memoryMB }),
			percentile(func(am amount) int32 { return am.accelerators }),
		)
		kd.usageSizeValid = true
	}
	return kd.usageSize, true
}

// runTime returns the median run time of the kind; false until there are
// kindMinSamples samples.
func (kt *kindTable) runTime(name string) (time.Duration, bool) {
	kd, ok := kt.byName[name]
	if !ok || kd.runCount < kindMinSamples {
		return 0, false
	}
	vals := slices.Clone(kd.runTimes[:min(kd.runCount, kindSamples)])
	slices.Sort(vals)
	return vals[len(vals)/2], true
}
