package shed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavarail/core/model"
)

// startDelay is the expected time from when a task may start until it runs, or from its
// end until the tasks after it may start, in seconds: a plan, a commit and a heartbeat.
const startDelay = 0.15

// service is the forecast for the workers of one service.
type service struct {
	workers []Worker
	total   amount
	// places caches how many tasks fit on the workers, by shape.
	places map[shape]float64
	// free is what no run holds.
	free room
	// entries are the accepted jobs in scheduling order. before holds what is free for
	// each of them, and in its last element what all of them leave.
	entries []entry
	before  []room
	// added are the jobs that were accepted since the forecast was made.
	added []addition
}

// shape is what decides how many tasks fit on the workers.
type shape struct {
	size      model.Resources
	label     string
	perWorker int
	filler    bool
}

// entry is an accepted job.
type entry struct {
	job *Job
	// end is when it is expected to end, in seconds, and known is set if that is known.
	end   float64
	known bool
	// margin is the work in processor seconds that may come before it without making
	// it late; negative if it is late anyway.
	margin float64
}

// addition is a job that was accepted since the forecast was made.
type addition struct {
	entry
	taken room
}

// compareJobs orders jobs as the scheduler does. Fillers come after all others, since they
// use what the others leave.
func compareJobs(jo, other *Job) int {
	return cmp.Or(
		falseFirst(jo.filler(), other.filler()),
		cmp.Compare(jo.Priority, other.Priority),
		falseFirst(jo.Late, other.Late),
		cmp.Compare(jo.Rank, other.Rank),
	)
}

// falseFirst compares two booleans and orders false before true.
func falseFirst(va, vb bool) int {
	switch {
	case va == vb:
		return 0
	case vb:
		return -1
	}
	return 1
}

// addWorker adds a worker.
func (sv *service) addWorker(wk *Worker) {
	sv.workers = append(sv.workers, *wk)
	sv.total.cpu += float64(wk.Room.MilliCPU())
	sv.total.memory += float64(wk.Room.MemoryMB())
	sv.total.idle += float64(wk.Room.MilliCPU()) + wk.IdleMilliCPU
}

// open sets what is free to what the workers have.
func (sv *service) open() {
	for i := range spanCount {
		sv.free.cpu[i], sv.free.memory[i], sv.free.idle[i] = float32(sv.total.cpu), float32(sv.total.memory), float32(sv.total.idle)
	}
}

// limitFillers sets a limit to the processors that fillers can use.
func (sv *service) limitFillers(milliCPU float64) {
	for i := range spanCount {
		sv.free.idle[i] = min(sv.free.idle[i], float32(milliCPU))
	}
}

// placesFor returns how many tasks of a step fit on the workers besides long-running
// tasks.
func (sv *service) placesFor(st *Step) float64 {
	key := shape{size: st.Size, label: st.Label, perWorker: st.PerWorker, filler: st.Filler}
	if num, ok := sv.places[key]; ok {
		return num
	}
	num := 0.0
	for i := range sv.workers {
		num += sv.workers[i].places(st)
	}
	sv.places[key] = num
	return num
}

// places returns how many tasks of a step fit on the worker.
func (wk *Worker) places(st *Step) float64 {
	if st.Label != "" && !slices.Contains(wk.Labels, st.Label) {
		return 0
	}
	num := math.Inf(1)
	cpu := float64(wk.Room.MilliCPU())
	if st.Filler {
		cpu += wk.IdleMilliCPU
	}
	if milli := float64(st.Size.MilliCPU()); milli > 0 {
		num = math.Floor(cpu / milli)
	}
	if mem := float64(st.Size.MemoryMB()); mem > 0 {
		num = min(num, math.Floor(float64(wk.Room.MemoryMB())/mem))
	}
	if st.PerWorker > 0 {
		num = min(num, float64(st.PerWorker))
	}
	return max(0, num)
}

// schedule places all entries in order.
func (sv *service) schedule() {
	slices.SortStableFunc(sv.entries, func(en, other entry) int { return compareJobs(en.job, other.job) })
	sv.before = append(sv.before[:0], sv.free)
	for i := range sv.entries {
		en := &sv.entries[i]
		after := sv.before[i]
		en.end, en.known = sv.place(&after, nil, en.job, 0)
		en.margin = margin(&sv.before[i], &after, en)
		sv.before = append(sv.before, after)
	}
}

// margin returns the work that may come before an accepted job without making it late, in
// processor seconds. before and after are what is free without and with it.
func margin(before, after *room, en *entry) float64 {
	left := en.job.Left.Seconds()
	if !en.known || en.end > left {
		return -1
	}
	filler := en.job.filler()
	last := en.job.Steps[len(en.job.Steps)-1].Duration.Seconds()
	rate := before.workUntil(left, filler) / left
	return after.workUntil(max(0, en.end-last), filler) + (left-en.end)*rate
}

// roomFor returns what is free for a new job, by its place in the order.
func (sv *service) roomFor(jo *Job) room {
	pos, _ := slices.BinarySearchFunc(sv.entries, jo, func(en entry, jo *Job) int {
		return cmp.Or(compareJobs(en.job, jo), -1)
	})
	ro := sv.before[pos]
	for i := range sv.added {
		if compareJobs(sv.added[i].job, jo) <= 0 {
			ro.sub(&sv.added[i].taken)
		}
	}
	return ro
}

// place takes what a job needs from a room, adds it to taken unless that is nil, and
// returns when the job is expected to end, in seconds. It returns false if that is not
// known: beyond the horizon, or if no worker can hold a task.
func (sv *service) place(ro, taken *room, jo *Job, from float64) (float64, bool) {
	var buf [16]float64
	ends := buf[:0]
	last := 0.0
	for s := range jo.Steps {
		st := &jo.Steps[s]
		end := st.RunningFor.Seconds()
		if st.Tasks > 0 {
			ready := from + startDelay
			for _, dep := range st.After {
				ready = max(ready, ends[dep]+startDelay)
			}
			over, ok := sv.placeStep(ro, taken, st, ready)
			if !ok {
				return 0, false
			}
			end = max(end, over)
		}
		ends = append(ends, end)
		last = max(last, end)
	}
	return last, true
}

// placeStep is place for the tasks of a step that may start at a time. Tasks start as far
// as there is room, and those of a gang at once.
func (sv *service) placeStep(ro, taken *room, st *Step, ready float64) (float64, bool) {
	places := sv.placesFor(st)
	dur, tasks := st.Duration.Seconds(), float64(st.Tasks)
	if places == 0 || st.Gang && places < tasks {
		return 0, false
	}
	left := tasks * dur
	at := ready
	for i := spanAt(ready); i < spanCount; i++ {
		num := math.Floor(min(tasks, ro.fits(i, st, places, sv.total)))
		end := spanStarts[i+1]
		if st.Gang && left == tasks*dur && num < tasks {
			num = 0
		} else if st.Gang {
			num = tasks
		}
		done := num*(end-at) >= left
		if done {
			end = at + left/num
		}
		if num > 0 {
			part := (end - at) / (spanStarts[i+1] - spanStarts[i])
			ro.take(i, part, st.Size, st.Filler, num)
			if taken != nil {
				taken.take(i, -part, st.Size, st.Filler, num)
			}
			left -= num * (end - at)
		}
		if done {
			return max(end, ready+dur), true
		}
		at = end
	}
	return 0, false
}

// displaces returns how many accepted jobs a new job would make late that come after it and
// have its priority, and the least time, in seconds, after which it would make one fewer
// late.
func (sv *service) displaces(jo *Job, end, work float64) (int, float64) {
	num, wait := 0, math.Inf(1)
	rate := max(1, sv.total.cpu/1000)
	check := func(en *entry) {
		if en.job.Priority != jo.Priority || en.margin < 0 || compareJobs(en.job, jo) < 0 {
			return
		}
		before := work * min(1, en.end/max(end, 0.001))
		if before > en.margin {
			num++
			wait = min(wait, (before-en.margin)/rate)
		}
	}
	for i := range sv.entries {
		check(&sv.entries[i])
	}
	for i := range sv.added {
		check(&sv.added[i].entry)
	}
	return num, wait
}

// accept records a job that was accepted since the forecast was made. taken is what it takes.
func (sv *service) accept(jo *Job, end float64, left time.Duration, taken *room, ro *room) {
	for i := range sv.entries {
		if en := &sv.entries[i]; compareJobs(en.job, jo) >= 0 {
			en.margin -= jo.Work
		}
	}
	for i := range sv.added {
		if en := &sv.added[i].entry; compareJobs(en.job, jo) >= 0 {
			en.margin -= jo.Work
		}
	}
	own := *jo
	own.Left = left
	add := addition{entry: entry{job: &own, end: end, known: true}, taken: *taken}
	before := *ro
	for i := range before.cpu {
		before.cpu[i] += taken.cpu[i]
		before.idle[i] += taken.idle[i]
	}
	add.margin = margin(&before, ro, &add.entry)
	sv.added = append(sv.added, add)
}
