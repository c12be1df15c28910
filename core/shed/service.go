package shed

import (
	"cmp"
	"math"
	"slices"

	"guavarail/core/model"
)

const (
	// maxPlaces bounds the shapes of tasks that are kept.
	maxPlaces = 2000
	// gridTolerance is the part by which the room of the workers may change until it is
	// counted again how many tasks fit.
	gridTolerance = 0.02
	// startDelay is the expected time from when a task may start until it is placed, in
	// seconds: a commit and a plan.
	startDelay = 0.05
	// maxSnapshots bounds the memory for what is free before each accepted job.
	maxSnapshots = 1024
	// packingWeight is the weight of the last measurement in the packing.
	packingWeight = 0.1
	// minPacking bounds the packing, since right after a loss of runs it is low.
	minPacking = 0.6
	// arrivalRamp is the time after which the work that comes first by its priority, and
	// is expected to arrive, takes its full part of the room, in seconds. The jobs that
	// have arrived count until then.
	arrivalRamp = 1.0
)

// service is the forecast for the workers of one service.
type service struct {
	workers []Worker
	total   amount
	// packing is the measured part of the processors that tasks other than fillers can
	// hold; 0 if it is not known.
	packing float64
	// arrivals is the work that is expected to arrive.
	arrivals []arrival
	// grids has the workers by label, and places caches how many tasks fit on them, by
	// shape. Both are kept as long as the workers have about the room that they had.
	grids  map[string]*grid
	places map[shape]float64
	// gridTotal is the room of the workers when the grids were made.
	gridTotal amount
	// free is what no run holds, and holds is what runs hold.
	free  room
	holds holds
	// entries are the accepted jobs in scheduling order. before holds what is free for
	// every one of them at a multiple of stride, and in its last element what all leave.
	entries []entry
	before  []snapshot
	stride  int
	// added are the jobs that were accepted since the forecast was made.
	added []addition
}

// arrival is work that is expected to arrive.
type arrival struct {
	priority int
	filler   bool
	// upTo holds what the jobs with some work or less hold of the processors on average,
	// in thousandths, by workBin.
	upTo [workBins]float64
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
	// filler is set if any step of the job consists of fillers.
	filler bool
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

// compare orders entries as the scheduler orders their jobs. Fillers come after all others,
// since they use what the others leave.
func (en *entry) compare(other *entry) int {
	switch {
	case en.filler != other.filler:
		return falseFirst(en.filler, other.filler)
	case en.job.Priority != other.job.Priority:
		return cmp.Compare(en.job.Priority, other.job.Priority)
	case en.job.Late != other.job.Late:
		return falseFirst(en.job.Late, other.job.Late)
	}
	return cmp.Compare(en.job.Rank, other.job.Rank)
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
	num := float64(wk.Count)
	sv.total.cpu += num * float64(wk.Room.MilliCPU())
	sv.total.memory += num * float64(wk.Room.MemoryMB())
	sv.total.idle += num * (float64(wk.Room.MilliCPU()) + wk.IdleMilliCPU)
}

// open sets what is free to what the workers have.
func (sv *service) open() {
	if !near(sv.gridTotal.cpu, sv.total.cpu) || !near(sv.gridTotal.memory, sv.total.memory) || len(sv.places) > maxPlaces {
		clear(sv.grids)
		clear(sv.places)
		sv.gridTotal = sv.total
	}
	cpu := sv.total.cpu * sv.packed()
	for i := range spanCount {
		sv.free.cpu[i], sv.free.memory[i], sv.free.idle[i] = float32(cpu), float32(sv.total.memory), float32(sv.total.idle)
	}
}

// near reports whether an amount differs from another by no more than gridTolerance.
func near(am, other float64) bool { return math.Abs(am-other) <= gridTolerance*other }

// packed returns the part of the processors that tasks other than fillers can hold.
func (sv *service) packed() float64 {
	if sv.packing == 0 {
		return 1
	}
	return sv.packing
}

// measure takes up a measurement of what tasks hold that find no further room.
func (sv *service) measure(fu *Full) {
	if fu.Filler {
		for i := range spanCount {
			sv.free.idle[i] = min(sv.free.idle[i], float32(fu.MilliCPU))
		}
		return
	}
	part := min(1, max(minPacking, fu.MilliCPU/max(1, sv.total.cpu)))
	sv.packing = sv.packed() + packingWeight*(part-sv.packed())
}

// placesFor returns how many tasks of a step fit on the workers besides long-running
// tasks.
func (sv *service) placesFor(st *Step) float64 {
	key := shape{size: st.Size, label: st.Label, perWorker: st.PerWorker, filler: st.Filler}
	if num, ok := sv.places[key]; ok {
		return num
	}
	num := sv.gridOf(st.Label).places(st)
	sv.places[key] = num
	return num
}

// gridOf returns the workers with a label; those of all workers if it is empty.
func (sv *service) gridOf(label string) *grid {
	gr, ok := sv.grids[label]
	if !ok {
		gr = newGrid(sv.workers, label)
		sv.grids[label] = gr
	}
	return gr
}

// schedule places all entries in order, within the quotas of their workspaces.
func (sv *service) schedule(quotas map[model.WorkspaceID]*quota) {
	slices.SortStableFunc(sv.entries, func(en, other entry) int { return en.compare(&other) })
	sv.stride = 1 + len(sv.entries)/maxSnapshots
	free := snapshot{room: sv.free}
	sv.before = sv.before[:0]
	for i := range sv.entries {
		en := &sv.entries[i]
		if i%sv.stride == 0 {
			sv.before = append(sv.before, free)
		}
		free.expect(sv.arriving(en, false))
		usable := en.usableWork(&free.room)
		qu := quotas[en.job.Workspace]
		if qu == nil {
			en.end, en.known = sv.place(&free.room, nil, nil, en.job, 0)
		} else {
			var taken room
			en.end, en.known = sv.place(&free.room, &taken, qu, en.job, 0)
			qu.take(&taken)
		}
		en.margin = en.marginOf(usable, &free.room)
	}
	sv.before = append(sv.before, free)
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

// roomFor returns what is free for a new job, by its place in the order.
func (sv *service) roomFor(own *entry) room {
	pos, _ := slices.BinarySearchFunc(sv.entries, own, func(en entry, own *entry) int {
		return cmp.Or(en.compare(own), -1)
	})
	free := sv.before[len(sv.before)-1]
	if pos < len(sv.entries) {
		free = sv.before[pos/sv.stride]
	}
	for i := range sv.added {
		if sv.added[i].compare(own) <= 0 {
			free.sub(&sv.added[i].taken)
		}
	}
	free.expect(sv.arriving(own, true))
	return free.room
}

// place takes what a job needs from a room, adds it to taken unless that is nil, and
// returns when the job is expected to end, in seconds. It returns false if that is not
// known: beyond the horizon, or if no worker can hold a task. qu is the quota of its
// workspace, nil for none.
func (sv *service) place(ro, taken *room, qu *quota, jo *Job, from float64) (float64, bool) {
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
			over, ok := sv.placeStep(ro, taken, qu, st, ready)
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
func (sv *service) placeStep(ro, taken *room, qu *quota, st *Step, ready float64) (float64, bool) {
	places := sv.placesFor(st)
	dur, tasks := st.Duration.Seconds(), float64(st.Tasks)
	if places == 0 || st.Gang && places < tasks {
		return 0, false
	}
	left := tasks * dur
	at := ready
	for i := spanAt(ready); i < spanCount; i++ {
		num := math.Floor(min(tasks, ro.fits(i, st, places, sv.total), qu.fits(i, st.Size)))
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

// rate returns the work that the workers can do in a second, in processor seconds.
func (sv *service) rate() float64 { return max(1, sv.total.cpu*sv.packed()/1000) }
