package shed

import (
	"iter"
	"math"
)

// lateGrace is the part of its time by which an accepted job may be expected to be late and
// still keeps its place.
const lateGrace = 0.15

// usableWork returns the work that a room can do until the job is late, in processor seconds.
func (en *entry) usableWork(free *room) float64 {
	return free.workUntil(en.job.Left.Seconds(), en.filler)
}

// marginOf returns the work that may come before an accepted job without making it late, in
// processor seconds. usable is the result of usableWork without the job, and free
// what is free beside it.
func (en *entry) marginOf(usable float64, free *room) float64 {
	if !en.job.waits() {
		return math.Inf(1)
	}
	left := en.job.Left.Seconds()
	if !en.known || left <= 0 || en.end > left*(1+lateGrace) {
		return -1
	}
	last := en.job.Steps[len(en.job.Steps)-1].Duration.Seconds()
	return free.workUntil(max(0, en.end-last), en.filler) + max(0, left-en.end)*usable/left
}

// displaces returns how many accepted jobs a new job would make late that come after it and
// have its priority, and the least time, in seconds, after which it would make one fewer
// late.
func (sv *service) displaces(own *entry, work float64) (int, float64) {
	num, wait := 0, math.Inf(1)
	rate := sv.rate()
	for en := range sv.entriesAfter(own) {
		if en.job.Priority != own.job.Priority || en.margin < 0 {
			continue
		}
		before := work * min(1, en.end/max(own.end, 0.001))
		if before > en.margin {
			num++
			wait = min(wait, (before-en.margin)/rate)
		}
	}
	return num, wait
}

// entriesAfter yields the accepted jobs that do not come before a new one in scheduling order.
func (sv *service) entriesAfter(own *entry) iter.Seq[*entry] {
	return func(yield func(*entry) bool) {
		for i := range sv.entries {
			if en := &sv.entries[i]; en.compare(own) >= 0 && !yield(en) {
				return
			}
		}
		for i := range sv.added {
			if en := &sv.added[i].entry; en.compare(own) >= 0 && !yield(en) {
				return
			}
		}
	}
}

// accept records a job that was accepted since the forecast was made. taken is what it takes
// of the room ro, and work the processor seconds of that.
func (sv *service) accept(own *entry, work float64, taken, ro *room) {
	for en := range sv.entriesAfter(own) {
		en.margin -= work
	}
	before := *ro
	before.add(taken)
	own.margin = own.marginOf(own.usableWork(&before), ro)
	sv.added = append(sv.added, addition{entry: *own, taken: *taken})
}
