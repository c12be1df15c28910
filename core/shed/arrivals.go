package shed

import (
	"math"

	"guavarail/core/model"
)

// arrivalRamp is the time after which the work that comes first by its priority, and
// is expected to arrive, takes its full part of the room, in seconds. The jobs that
// have arrived count until then.
const arrivalRamp = 1.0

// workBins is the number of bins for the work of jobs, in powers of two of a processor
// second.
const workBins = 16

// workBin returns the bin of an amount of work, in processor seconds.
func workBin(work float64) int { return min(workBins-1, max(0, int(math.Log2(max(1, work))))) }

// arrivals returns the work that is expected to arrive: as much as was accepted within about
// turnWindow.
func (tu *turns) arrivals(now model.Instant, priority int) []arrival {
	var out []arrival
	for i := range tu.accepted {
		ar, sum := arrival{priority: priority, filler: i == 1}, 0.0
		for bin := range workBins {
			ta := &tu.accepted[i][bin]
			ta.forget(now)
			sum += ta.offeredWork / turnWindow * 1000
			ar.upTo[bin] = sum
		}
		if sum > 0 {
			out = append(out, ar)
		}
	}
	return out
}

// arrival is work that is expected to arrive.
type arrival struct {
	priority int
	filler   bool
	// upTo holds what the jobs with some work or less hold of the processors on average,
	// in thousandths, by workBin.
	upTo [workBins]float64
}

// arriving returns what the work that is expected to arrive and comes before a job holds of
// the processors, in thousandths. Work comes before the job by its priority and, if smaller
// is set, also because it is less.
func (sv *service) arriving(en *entry, smaller bool) float64 {
	sum := 0.0
	for i := range sv.arrivals {
		ar := &sv.arrivals[i]
		switch {
		case !ar.filler && en.filler || ar.filler == en.filler && ar.priority < en.job.Priority:
			sum += ar.upTo[workBins-1]
		case smaller && ar.filler == en.filler && ar.priority == en.job.Priority:
			if bin := workBin(en.job.Rank); bin > 0 {
				sum += ar.upTo[bin-1]
			}
		}
	}
	return sum
}

// snapshot is what is free before an accepted job is placed.
type snapshot struct {
	room
	// arriving is what the work that is expected to arrive holds of the processors, in
	// thousandths. It is already taken from room.
	arriving float64
}

// setArriving replaces what is expected to arrive.
func (sn *snapshot) setArriving(milliCPU float64) {
	more := milliCPU - sn.arriving
	if more == 0 {
		return
	}
	sn.arriving = milliCPU
	for i := range spanCount {
		part := float32(more * min(1, spanStarts[i]/arrivalRamp))
		sn.cpu[i] -= part
		sn.idle[i] -= part
	}
}
