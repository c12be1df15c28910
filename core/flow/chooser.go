package flow

import "guavarail/core/model"

// chooser chooses workers for the tasks of one step, one after the other. It weighs each
// worker once, and again when a task was placed there, since nothing else changes what a
// worker costs within a plan. A Planner has one chooser in use at a time.
type chooser struct {
	pl  *Planner
	now model.Instant
	rs  readyStep
	// near is the worker of the first task of the gang, whose rack is preferred, or nil.
	near *worker
	need model.Resources
	// image is the index of the step's image.
	image int
	// weighed is set once all workers were weighed, and chosen is the last result of next.
	weighed bool
	chosen  *worker
	// spares tells for what the tasks may only start where they take no place.
	spares spared
	// otherConditions is set if other conditions than room keep the step from a worker.
	otherConditions bool
}

// candidate is a worker that may get a task of a step. index is its position in the index
// of the plan.
type candidate struct {
	worker *worker
	cost   float64
	index  int
}

// before orders candidates by cost, and equal ones by index.
func (can candidate) before(other candidate) bool {
	return can.cost < other.cost || can.cost == other.cost && can.index < other.index
}

// newChooser returns a chooser among the workers that indexRoom has indexed. It replaces
// the one before.
func (pl *Planner) newChooser(now model.Instant, rs readyStep, near *worker) chooser {
	pl.shortlist.clear()
	return chooser{pl: pl, now: now, rs: rs, near: near, need: rs.spec.reservation(), image: pl.interference.imageIndex(rs.spec.Image)}
}

// next returns the eligible worker with the lowest cost for a task, or nil if there is
// none. The caller places the task there before it calls next again.
func (cho *chooser) next(id TaskID) *worker {
	list := &cho.pl.shortlist
	switch {
	case cho.pl.missed(&cho.rs, cho.need):
		return nil
	case !cho.weighed:
		cho.weighAll(id)
	case cho.chosen != nil:
		list.pop()
		cho.weigh(cho.chosen.indexed, id)
	}
	best, ok := list.first()
	if !ok {
		cho.chosen = nil
		cho.pl.recordMiss(&cho.rs, cho.need, cho.otherConditions || cho.pl.lacksLabel(cho.now, &cho.rs))
		return nil
	}
	cho.chosen = best.worker
	return best.worker
}

// weighAll weighs all workers that have the room for a task.
func (cho *chooser) weighAll(id TaskID) {
	cho.weighed = true
	search := cho.rs.roomNeeded(cho.need)
	for pos := cho.pl.room.next(0, search); pos >= 0; pos = cho.pl.room.next(pos+1, search) {
		cho.weigh(pos, id)
	}
}

// weigh adds the worker at a position of the index to the shortlist if it is eligible.
func (cho *chooser) weigh(pos int, id TaskID) {
	cho.pl.bound.weighed++
	wk := cho.pl.room.workers[pos]
	if wk.unsuitable(cho.now, &cho.rs) != notRejected {
		return
	}
	if why := wk.noCapacityFor(&cho.rs, id, cho.need); why != notRejected {
		cho.otherConditions = cho.otherConditions || why == perWorkerLimit
		return
	}
	if cho.spares != (spared{}) && cho.pl.roomOf(cho.rs.job.spec.Service).takesPlace(cho.spares, cho.rs.job.spec.Priority, wk, cho.need) {
		cho.otherConditions = true
		return
	}
	cost, ok := cho.pl.placementCost(wk, cho.rs, cho.image, cho.need)
	if !ok {
		return
	}
	cost += localityCost(wk, cho.rs.spec, cho.near) + orderWaitCostOf(cho.now, wk, cho.rs.spec)
	if wk.health.quarantined(cho.now) {
		cost += quarantineCost
	}
	cho.pl.shortlist.push(candidate{worker: wk, cost: cost, index: pos})
}

// roomNeeded returns the least room of a worker that may get a task of rs. need is
// what the task reserves.
func (rs *readyStep) roomNeeded(need model.Resources) roomNeed {
	if rs.spec.Filler && !rs.starved {
		return roomNeed{free: need, fillerMilliCPU: float64(rs.spec.Size.MilliCPU())}
	}
	return roomNeed{free: need}
}
