package flow

import (
	"maps"
	"slices"

	"guavarail/core/model"
)

// equalShare is the fraction of the workers that each of two kinds of work of one priority
// may have if the other wants all: long-running tasks and ordinary ones.
const equalShare = 0.5

// longRunningRoom is the capacity for long-running tasks in the current plan.
type longRunningRoom struct {
	// total is the sum of the sizes of the workers that may get tasks, and room what they
	// have besides long-running runs. Other runs end by themselves and don't count. Every
	// worker has the size smallest in each dimension, or more.
	total, room, smallest model.Resources
	// endangered is what long-running tasks will need again: those that wait for
	// a restart, and those on workers that are draining or silent. Tasks that no
	// worker can hold don't count.
	endangered placeCount
	// headroom is, by the priority of new long-running tasks, what they leave room for: the
	// endangered tasks, and what ordinary tasks of this priority and above have lately
	// asked for, but no more of it than equalShare of the workers.
	headroom map[int]placeCount
	// holdable has the results of canHold.
	holdable map[taskNeed]bool
}

// spared tells for which demands new long-running tasks may start only where they take no
// place.
type spared struct {
	endangered, headroom bool
}

// taskNeed is what a task needs of a worker.
type taskNeed struct {
	size  model.Resources
	label string
}

// staying reports whether long-running tasks may be placed on a worker, and are
// not expected to lose their runs there.
func (pl *Planner) staying(wk *worker) bool {
	return !wk.closed() && !pl.stale(wk)
}

// canHold reports whether some worker may run a task of a step and is large enough
// for it.
func (pl *Planner) canHold(service model.ServiceID, spec *StepSpec) bool {
	ro := pl.roomOf(service)
	if spec.RequiredLabel == "" && !ro.total.IsZero() && spec.reservation().FitsIn(ro.smallest) {
		return true
	}
	tn := taskNeed{size: spec.reservation(), label: spec.RequiredLabel}
	if ok, known := ro.holdable[tn]; known {
		return ok
	}
	if ro.holdable == nil {
		ro.holdable = map[taskNeed]bool{}
	}
	ro.holdable[tn] = slices.ContainsFunc(pl.workers.sorted, func(wk *worker) bool {
		return wk.service == service && pl.staying(wk) && !pl.outage[wk.centre] && tn.size.FitsIn(wk.size) &&
			(tn.label == "" || slices.Contains(wk.labels, tn.label))
	})
	return ro.holdable[tn]
}

// measureWorkers begins to measure the capacity of each service with that of its workers.
func (pl *Planner) measureWorkers() {
	pl.rooms = map[model.ServiceID]*longRunningRoom{}
	var service model.ServiceID
	ro := pl.roomOf(service)
	for _, wk := range pl.workers.sorted {
		if !wk.reported || pl.outage[wk.centre] || !pl.staying(wk) {
			continue
		}
		if wk.service != service {
			service, ro = wk.service, pl.roomOf(wk.service)
		}
		if ro.total.IsZero() {
			ro.smallest = wk.size
		}
		ro.smallest = ro.smallest.Min(wk.size)
		ro.total = ro.total.Add(wk.size)
		ro.room = ro.room.Add(wk.freeForLong())
	}
}

// measureRoom completes the capacity for long-running tasks of each service, if any
// of the ready steps has such tasks.
func (pl *Planner) measureRoom(steps []readyStep) {
	if !slices.ContainsFunc(steps, func(rs readyStep) bool { return rs.spec.LongRunning }) {
		return
	}
	for _, wk := range pl.workers.sorted {
		if !wk.reported || pl.outage[wk.centre] || pl.staying(wk) {
			continue
		}
		ro := pl.roomOf(wk.service)
		for _, pr := range wk.runs {
			if pr.spec.LongRunning && pl.canHold(wk.service, pr.spec) {
				ro.endangered.demand = ro.endangered.plus(pr.size, 1)
			}
		}
	}
	for i := range steps {
		rs := &steps[i]
		if rs.restart && !rs.overQuota && pl.canHold(rs.job.spec.Service, rs.spec) {
			ro := pl.roomOf(rs.job.spec.Service)
			ro.endangered.demand = ro.endangered.plus(rs.spec.reservation(), rs.waitingTasks())
		}
	}
	for i := range steps {
		pl.measureHeadroom(&steps[i])
	}
	pl.countPlaces()
}

// measureHeadroom sums up what the new long-running tasks of a step leave room for.
func (pl *Planner) measureHeadroom(rs *readyStep) {
	if !rs.newLongRunning() {
		return
	}
	ro := pl.roomOf(rs.job.spec.Service)
	priority := rs.job.spec.Priority
	if _, known := ro.headroom[priority]; known {
		return
	}
	if ro.headroom == nil {
		ro.headroom = map[int]placeCount{}
	}
	kept := pl.recentDemand(rs.job.spec.Service, priority).atMost(ro.total.Scale(equalShare))
	ro.headroom[priority] = placeCount{demand: demand{size: ro.endangered.size.Add(kept.size), tasks: ro.endangered.tasks + kept.tasks}}
}

// countPlaces counts the places of each service for what new long-running tasks leave room
// for.
func (pl *Planner) countPlaces() {
	var service model.ServiceID
	ro := pl.roomOf(service)
	counts := ro.headroomCounts()
	for _, wk := range pl.workers.sorted {
		if !wk.reported || !pl.staying(wk) || pl.outage[wk.centre] {
			continue
		}
		if wk.service != service {
			ro.setHeadroom(counts)
			service, ro = wk.service, pl.roomOf(wk.service)
			counts = ro.headroomCounts()
		}
		free := wk.freeForLong()
		ro.endangered.places += ro.endangered.placesIn(free)
		for i := range counts {
			counts[i].places += counts[i].placesIn(free)
		}
	}
	ro.setHeadroom(counts)
}

// headroomCount is what the new long-running tasks of a priority leave room for.
type headroomCount struct {
	placeCount
	priority int
}

// headroomCounts returns the headroom as a list, which is faster to go through for each
// worker.
func (ro *longRunningRoom) headroomCounts() []headroomCount {
	out := make([]headroomCount, 0, len(ro.headroom))
	for priority, pc := range ro.headroom {
		out = append(out, headroomCount{placeCount: pc, priority: priority})
	}
	return out
}

// setHeadroom replaces the headroom by a list.
func (ro *longRunningRoom) setHeadroom(counts []headroomCount) {
	for _, hc := range counts {
		ro.headroom[hc.priority] = hc.placeCount
	}
}

// newLongRunning reports whether the tasks that rs is meant to place are first starts of
// long-running ones.
func (rs *readyStep) newLongRunning() bool { return rs.spec.LongRunning && !rs.restart }

// underShare reports whether long-running tasks, the endangered ones included, have less
// than their equalShare of the workers.
func (ro *longRunningRoom) underShare() bool {
	return ro.total.Sub(ro.room).Add(ro.endangered.size).DominantShare(ro.total) < equalShare
}

// sparedBy returns for what new long-running tasks of a priority must spare places.
func (ro *longRunningRoom) sparedBy(priority int) spared {
	pc := ro.headroom[priority]
	return spared{endangered: ro.endangered.tight(), headroom: pc.tight() && !ro.underShare()}
}

// takesPlace reports whether a task of a given size and priority takes a place on a worker
// that it must spare.
func (ro *longRunningRoom) takesPlace(sp spared, priority int, wk *worker, size model.Resources) bool {
	pc := ro.headroom[priority]
	return sp.endangered && ro.endangered.loss(wk, size) > 0 || sp.headroom && pc.loss(wk, size) > 0
}

func (pl *Planner) roomOf(service model.ServiceID) *longRunningRoom {
	ro, ok := pl.rooms[service]
	if !ok {
		ro = &longRunningRoom{}
		pl.rooms[service] = ro
	}
	return ro
}

// clone returns a copy that shares nothing that changes with ro.
func (ro *longRunningRoom) clone() longRunningRoom {
	cop := *ro
	cop.headroom = maps.Clone(ro.headroom)
	return cop
}

// leavesRoom reports whether the first starts of num tasks of a long-running step
// leave the headroom, as far as it is known before workers are chosen.
// Other starts don't take it for long.
func (pl *Planner) leavesRoom(rs *readyStep, num int) bool {
	if !rs.newLongRunning() {
		return true
	}
	ro := pl.roomOf(rs.job.spec.Service)
	need := sumOf(rs.spec.reservation(), num)
	for _, kept := range [...]struct {
		size  model.Resources
		binds bool
	}{{ro.endangered.size, true}, {ro.headroom[rs.job.spec.Priority].size, !ro.underShare()}} {
		if kept.binds && !kept.size.IsZero() && !need.Add(kept.size).FitsIn(ro.room) {
			return false
		}
	}
	return true
}

// sparesPlaces returns for what the tasks of a step may start only where they take no place.
func (pl *Planner) sparesPlaces(rs *readyStep) spared {
	if !rs.newLongRunning() {
		return spared{}
	}
	return pl.roomOf(rs.job.spec.Service).sparedBy(rs.job.spec.Priority)
}

// takeRoom records the planned start of a task on a worker, before it is reserved there.
func (pl *Planner) takeRoom(rs *readyStep, wk *worker) {
	if !rs.spec.LongRunning {
		return
	}
	ro := pl.roomOf(rs.job.spec.Service)
	need := rs.spec.reservation()
	ro.room = ro.room.Sub(need)
	ro.endangered.place(wk, need, rs.restart)
	for priority, pc := range ro.headroom {
		pc.place(wk, need, rs.restart)
		ro.headroom[priority] = pc
	}
}

// sumOf returns num times size.
func sumOf(size model.Resources, num int) model.Resources {
	return model.NewResources(size.MilliCPU()*int64(num), size.MemoryMB()*int64(num), size.Accelerators()*int64(num))
}
