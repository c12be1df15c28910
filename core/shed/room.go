package shed

import (
	"math"

	"guavarail/core/model"
)

// room is what is free on the workers of a service, by span.
type room struct {
	// cpu and memory are what tasks other than fillers may reserve, in thousandths
	// of a processor and megabytes.
	cpu, memory levels
	// idle is what fillers may use, in thousandths of a processor.
	idle levels
}

// newRoom returns a room that has an amount in every span.
func newRoom(am amount) room {
	var ro room
	for i := range spanCount {
		ro.cpu[i], ro.memory[i], ro.idle[i] = float32(am.cpu), float32(am.memory), float32(am.idle)
	}
	return ro
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

// add adds the amounts of another room.
func (ro *room) add(other *room) {
	for i := range ro.cpu {
		ro.cpu[i] += other.cpu[i]
		ro.memory[i] += other.memory[i]
		ro.idle[i] += other.idle[i]
	}
}

// sub subtracts the amounts of another room.
func (ro *room) sub(other *room) {
	for i := range ro.cpu {
		ro.cpu[i] -= other.cpu[i]
		ro.memory[i] -= other.memory[i]
		ro.idle[i] -= other.idle[i]
	}
}

// fits returns how many tasks of a size have room in a span. slots is the number
// that fit on the workers besides long-running tasks, and total the room of these
// workers.
func (ro *room) fits(span int, st *Step, slots float64, total amount) float64 {
	cpu, sum := ro.cpu[span], total.cpu
	if st.Filler {
		cpu, sum = ro.idle[span], total.idle
	}
	num := math.Inf(1)
	if milli := float64(st.Size.MilliCPU()); milli > 0 {
		num = min(float64(cpu)/milli, slots*float64(cpu)/max(1, sum))
	}
	if mem := float64(st.Size.MemoryMB()); mem > 0 {
		num = min(num, float64(ro.memory[span])/mem)
	}
	return max(0, min(num, slots))
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
