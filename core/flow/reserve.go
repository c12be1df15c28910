package flow

import (
	"math"
	"slices"

	"guavarail/core/model"
)

// longRunningRoom is the capacity for long-running tasks in the current plan.
type longRunningRoom struct {
	// room is what the workers that may get tasks have besides long-running runs.
	// Other runs end by themselves and don't count.
	room model.Resources
	// endangered is what long-running tasks will need again: those that wait for
	// a restart, and those on workers that are draining or silent. Tasks that no
	// worker can hold don't count.
	endangered model.Resources
	// tasks counts the endangered tasks, and places how many tasks of their mean size fit
	// on the workers: room that is spread over workers in smaller parts holds none.
	tasks, places int
	// holdable has the results of canHold.
	holdable map[taskNeed]bool
}

// taskNeed is what a task needs of a worker.
type taskNeed struct {
	size  model.Resources
	label string
}

// staying reports whether long-running tasks may be placed on a worker, and are
// not expected to lose their runs there.
func (pl *Planner) staying(wk *worker) bool {
	return !wk.draining && !pl.stale(wk)
}

// canHold reports whether some worker may run a task of a step and is large enough
// for it.
func (pl *Planner) canHold(service model.ServiceID, spec *StepSpec) bool {
	ro := pl.roomOf(service)
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

// measureRoom sums up the capacity for long-running tasks of each service, if any
// of the ready steps has such tasks.
func (pl *Planner) measureRoom(steps []readyStep) {
	pl.rooms = map[model.ServiceID]*longRunningRoom{}
	if !slices.ContainsFunc(steps, func(rs readyStep) bool { return rs.spec.LongRunning }) {
		return
	}
	var service model.ServiceID
	ro := pl.roomOf(service)
	for _, wk := range pl.workers.sorted {
		if !wk.reported || pl.outage[wk.centre] {
			continue
		}
		if wk.service != service {
			service, ro = wk.service, pl.roomOf(wk.service)
		}
		if pl.staying(wk) {
			ro.room = ro.room.Add(wk.size.Sub(wk.longRunning))
			continue
		}
		for _, pr := range wk.runs {
			if pr.spec.LongRunning && pl.canHold(wk.service, pr.spec) {
				ro.endanger(pr.size, 1)
			}
		}
	}
	for i := range steps {
		rs := &steps[i]
		if rs.restart && pl.canHold(rs.job.spec.Service, rs.spec) {
			ro := pl.roomOf(rs.job.spec.Service)
			ro.endanger(rs.spec.reservation(), rs.waitingTasks())
		}
	}
	pl.countPlaces()
}

// endanger adds num tasks to the endangered ones.
func (ro *longRunningRoom) endanger(size model.Resources, num int) {
	ro.endangered = ro.endangered.Add(sumOf(size, num))
	ro.tasks += num
}

// countPlaces counts the places of each service with endangered tasks.
func (pl *Planner) countPlaces() {
	for _, wk := range pl.workers.sorted {
		if ro, ok := pl.rooms[wk.service]; ok && ro.tasks > 0 && wk.reported && pl.staying(wk) && !pl.outage[wk.centre] {
			ro.places += ro.placesOn(wk, model.Resources{})
		}
	}
}

// placesOn returns how many endangered tasks of mean size fit on a worker beside its
// long-running runs and a task of the given size. Other runs end by themselves.
func (ro *longRunningRoom) placesOn(wk *worker, beside model.Resources) int {
	if ro.tasks == 0 {
		return 0
	}
	free := wk.size.Sub(wk.longRunning).Sub(beside)
	num := math.MaxInt
	for _, dim := range [...]struct{ free, sum int64 }{
		{free.MilliCPU(), ro.endangered.MilliCPU()}, {free.MemoryMB(), ro.endangered.MemoryMB()}, {free.Accelerators(), ro.endangered.Accelerators()},
	} {
		if dim.sum > 0 {
			num = min(num, int(max(0, dim.free)*int64(ro.tasks)/dim.sum))
		}
	}
	if num == math.MaxInt {
		return 0
	}
	return num
}

// tight reports whether the endangered tasks need all places. New long-running tasks may
// then start only where they take none.
func (ro *longRunningRoom) tight() bool { return ro.tasks > 0 && ro.places <= ro.tasks }

// takesPlace reports whether a task of a given size on a worker takes the place of an
// endangered one.
func (ro *longRunningRoom) takesPlace(wk *worker, size model.Resources) bool {
	return ro.placesOn(wk, size) < ro.placesOn(wk, model.Resources{})
}

func (pl *Planner) roomOf(service model.ServiceID) *longRunningRoom {
	ro, ok := pl.rooms[service]
	if !ok {
		ro = &longRunningRoom{}
		pl.rooms[service] = ro
	}
	return ro
}

// leavesRoom reports whether the first starts of num tasks of a long-running step
// leave room for the endangered ones, as far as it is known before workers are chosen.
// Other starts don't take it for long.
func (pl *Planner) leavesRoom(rs *readyStep, num int) bool {
	if !rs.spec.LongRunning || rs.restart {
		return true
	}
	ro := pl.roomOf(rs.job.spec.Service)
	return ro.endangered.IsZero() || sumOf(rs.spec.reservation(), num).Add(ro.endangered).FitsIn(ro.room)
}

// sparesPlaces reports whether a step may start tasks only where they take the place of no
// endangered one.
func (pl *Planner) sparesPlaces(rs *readyStep) bool {
	return rs.spec.LongRunning && !rs.restart && pl.roomOf(rs.job.spec.Service).tight()
}

// takeRoom records the planned start of a task on a worker, before it is reserved there.
func (pl *Planner) takeRoom(rs *readyStep, wk *worker) {
	if !rs.spec.LongRunning {
		return
	}
	ro := pl.roomOf(rs.job.spec.Service)
	need := rs.spec.reservation()
	ro.places += ro.placesOn(wk, need) - ro.placesOn(wk, model.Resources{})
	ro.room = ro.room.Sub(need)
	if rs.restart {
		ro.endangered = ro.endangered.Sub(need)
		ro.tasks--
	}
}

// sumOf returns num times size.
func sumOf(size model.Resources, num int) model.Resources {
	var sum model.Resources
	for range num {
		sum = sum.Add(size)
	}
	return sum
}
