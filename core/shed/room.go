package shed

import (
	"math"

	"guavarail/core/model"
)

const (
	// spanCount is the number of spans, the parts of the time ahead. Near ones are short,
	// since objectives of a few seconds are decided there, and far ones are long.
	spanCount = 72
	// firstSpan is the length of the first shortSpans spans, in seconds.
	firstSpan  = 0.125
	shortSpans = 24
	// spanGrowth makes the last span end after 4.5 minutes.
	spanGrowth = 1.12
)

// spanStarts holds where each span starts, in seconds from now, and where the last
// one ends.
var spanStarts = newSpanStarts()

func newSpanStarts() [spanCount + 1]float64 {
	var out [spanCount + 1]float64
	length := firstSpan
	for i := range spanCount {
		if i >= shortSpans {
			length *= spanGrowth
		}
		out[i+1] = out[i] + length
	}
	return out
}

// horizon is the time ahead that the forecast covers, in seconds.
var horizon = spanStarts[spanCount]

// levels holds an amount for each span.
type levels [spanCount]float32

// spanAt returns the span that contains a time in seconds, and spanCount beyond the
// horizon.
func spanAt(at float64) int {
	if at < shortSpans*firstSpan {
		return max(0, int(at/firstSpan))
	}
	low, high := shortSpans, spanCount
	for low < high {
		mid := (low + high) / 2
		if spanStarts[mid+1] <= at {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// room is what is free on the workers of a service, by span.
type room struct {
	// cpu and memory are what tasks other than fillers may reserve, in thousandths
	// of a processor and megabytes.
	cpu, memory levels
	// idle is what fillers may use, in thousandths of a processor.
	idle levels
}

// take takes what a number of tasks use in a part of a span.
func (ro *room) take(span int, part float64, size model.Resources, filler bool, tasks float64) {
	cpu := float32(float64(size.MilliCPU()) * tasks * part)
	if !filler {
		ro.cpu[span] -= cpu
	}
	ro.idle[span] -= cpu
	ro.memory[span] -= float32(float64(size.MemoryMB()) * tasks * part)
}

// holds sums up what runs hold until they end. The zero value has none.
type holds struct {
	// until has what the runs that end in a span hold before it, and within what they hold
	// in it on average. The last element of until has the runs that do not end before the
	// horizon.
	until  [spanCount + 1]held
	within [spanCount]held
}

// held is an amount that runs hold, in thousandths of a processor and megabytes.
type held struct{ cpu, memory, fillers float64 }

// add adds part of an amount.
func (he *held) add(other held, part float64) {
	he.cpu += part * other.cpu
	he.memory += part * other.memory
	he.fillers += part * other.fillers
}

// add adds a run that ends after a time in seconds.
func (ho *holds) add(until float64, ru *Run) {
	num := float64(ru.Count)
	hd := held{cpu: num * float64(ru.Size.MilliCPU()), memory: num * float64(ru.Size.MemoryMB())}
	if ru.Filler {
		hd.cpu, hd.fillers = 0, hd.cpu
	}
	span := spanAt(until)
	ho.until[span].add(hd, 1)
	if span < spanCount {
		ho.within[span].add(hd, (until-spanStarts[span])/(spanStarts[span+1]-spanStarts[span]))
	}
}

// takeFrom takes what the runs hold from a room.
func (ho *holds) takeFrom(ro *room) {
	sum := ho.until[spanCount]
	for i := spanCount - 1; i >= 0; i-- {
		now := sum
		now.add(ho.within[i], 1)
		ro.cpu[i] -= float32(now.cpu)
		ro.idle[i] -= float32(now.cpu + now.fillers)
		ro.memory[i] -= float32(now.memory)
		sum.add(ho.until[i], 1)
	}
}

// add returns what another room holds.
func (ro *room) add(other *room) {
	for i := range ro.cpu {
		ro.cpu[i] += other.cpu[i]
		ro.memory[i] += other.memory[i]
		ro.idle[i] += other.idle[i]
	}
}

// sub takes what another room holds.
func (ro *room) sub(other *room) {
	for i := range ro.cpu {
		ro.cpu[i] -= other.cpu[i]
		ro.memory[i] -= other.memory[i]
		ro.idle[i] -= other.idle[i]
	}
}

// fits returns how many tasks of a size have room in a span. places is the number
// that fit on the workers if nothing ends by itself there, and total the room of
// these workers.
func (ro *room) fits(span int, st *Step, places float64, total amount) float64 {
	cpu, sum := ro.cpu[span], total.cpu
	if st.Filler {
		cpu, sum = ro.idle[span], total.idle
	}
	num := math.Inf(1)
	if milli := float64(st.Size.MilliCPU()); milli > 0 {
		num = min(float64(cpu)/milli, places*float64(cpu)/max(1, sum))
	}
	if mem := float64(st.Size.MemoryMB()); mem > 0 {
		num = min(num, float64(ro.memory[span])/mem)
	}
	return max(0, min(num, places))
}

// amount is what the workers of a service have in all.
type amount struct{ cpu, memory, idle float64 }

// workUntil returns the free processor seconds from now to a time in seconds, for
// fillers or other tasks.
func (ro *room) workUntil(until float64, filler bool) float64 {
	lev := &ro.cpu
	if filler {
		lev = &ro.idle
	}
	sum := 0.0
	for i := 0; i < spanCount && spanStarts[i] < until; i++ {
		sum += max(0, float64(lev[i])) * (min(until, spanStarts[i+1]) - spanStarts[i])
	}
	return sum / 1000
}
