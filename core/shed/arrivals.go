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

// arrivals returns the work that is expected to arrive: as much as was accepted lately.
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

// arriving returns what holds the processors, in thousandths, that is expected to arrive and
// comes before a job by its priority and, with smaller, also because it is less work.
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

// snapshot is what is free before an accepted job is placed, without what is expected to
// arrive and to hold so many thousandths of a processor.
type snapshot struct {
	room
	arriving float64
}

// expect replaces what is expected to arrive.
func (sn *snapshot) expect(milliCPU float64) {
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
