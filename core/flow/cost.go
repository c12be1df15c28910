package flow

import "guavarail/core/model"

const (
	// The worker with the lowest cost gets a task. The cost is the fraction of
	// the worker's processors that would stay free, 0 to 1, so that tasks
	// gather on few workers, plus the costs below. For a filler it is instead
	// the fraction that would not stay spare (see spareMilliCPU), so that
	// fillers spread.
	//
	// remoteCost is the cost of a worker outside the rack of the data or of the
	// gang.
	remoteCost = 4.0
	// otherImageCost is the cost, for a serving task, of each serving job on the
	// worker whose image differs from that of the task.
	otherImageCost = 3.0
	// emptyWorkerCost is the cost, for a task other than a filler, of a worker
	// without serving tasks, since such workers suit fillers best.
	// perFillerCost is the cost, for a serving task, of each filler on a
	// worker.
	emptyWorkerCost = 1.5
	perFillerCost   = 0.05
	// besideServingCost is the cost, for a filler, of a worker with serving
	// tasks.
	besideServingCost = 0.4
	// quarantineCost is the cost of a quarantined worker for a long-running
	// task, which must not stay down while any worker has room.
	quarantineCost = 100.0
	// orderWaitCost is the cost, for a task that ends by itself, of each second until its
	// start order can be sent to a worker. A long-running task stays, so where it is
	// matters more to it.
	orderWaitCost = 2.0
	// maxFillerShortage is the fraction of its requested processors that a
	// worker may lack for a filler.
	maxFillerShortage = 0.3
	// servingLoadRatio is the fraction of its requested processors that a
	// serving task is assumed to use.
	servingLoadRatio = 0.4
)

// localityCost returns the cost of a worker outside the rack of the data or of
// the gang.
func localityCost(wk *worker, spec *StepSpec, near *worker) float64 {
	cost := 0.0
	if spec.DataRack != "" && spec.DataRack != wk.rack {
		cost += remoteCost
	}
	if near != nil && spec.SameRack && wk.rack != near.rack {
		cost += remoteCost
	}
	return cost
}

// orderWaitCostOf returns the cost of the time until a worker gets the start order of a
// task.
func orderWaitCostOf(now model.Instant, wk *worker, spec *StepSpec) float64 {
	if spec.LongRunning {
		return 0
	}
	return orderWaitCost * wk.orderWait(now).Seconds()
}

// placementCost returns the cost of a worker that has room for a task, and
// false if the task must not be placed there.
func (pl *Planner) placementCost(wk *worker, rs readyStep, image int, need model.Resources) (float64, bool) {
	total := float64(max(1, wk.size.MilliCPU()))
	freeShare := float64(wk.free().MilliCPU()-need.MilliCPU()) / total
	switch {
	case rs.spec.Filler:
		return pl.fillerCost(wk, rs, image)
	case rs.spec.serves():
		return freeShare + pl.servingCost(wk, image), true
	case wk.servingRuns == 0:
		// Keep workers without serving tasks free for fillers.
		return freeShare + emptyWorkerCost, true
	}
	return freeShare, true
}

// servingCost returns the cost of a worker for a serving task, on top of its
// free processors. It is lowest for a worker that serves with the same image,
// so that serving tasks gather on few workers and others stay free for fillers.
func (pl *Planner) servingCost(wk *worker, image int) float64 {
	if wk.servingRuns == 0 {
		return emptyWorkerCost + perFillerCost*float64(wk.fillerRuns)
	}
	cost := 0.0
	for _, sj := range wk.servingJobs {
		if sj.image != image {
			cost += otherImageCost
		}
	}
	return cost + perFillerCost*float64(wk.fillerRuns)
}

// fillerCost returns the cost of a worker for a filler. It is lowest for a
// worker with spare processors and without serving tasks. It returns false for
// a worker that lacks processors or whose serving tasks would miss their
// target, unless the job is starved.
func (pl *Planner) fillerCost(wk *worker, rs readyStep, image int) (float64, bool) {
	total := float64(max(1, wk.size.MilliCPU()))
	need := float64(rs.spec.Size.MilliCPU())
	spare := wk.spareMilliCPU() - need
	if spare < -need*maxFillerShortage && !rs.starved {
		return 0, false
	}
	cost := 1 - spare/total
	if wk.servingRuns == 0 {
		return cost, true
	}
	over := pl.excessPressure(wk, image, need/total)
	if over > 0 && !rs.starved {
		return 0, false
	}
	// over is -1 or more, so that its term is never negative.
	return cost + besideServingCost + 2*(1+over), true
}

// spareMilliCPU estimates the processors that are left for further fillers, in
// thousandths of a processor: all, less what the fillers request, what the
// serving tasks are assumed to use, and what the other tasks reserve.
func (wk *worker) spareMilliCPU() float64 {
	busy := float64(wk.reserved.MilliCPU()-wk.servingMilliCPU) + servingLoadRatio*float64(wk.servingMilliCPU)
	return float64(wk.size.MilliCPU()) - busy - float64(wk.fillerMilliCPU)
}
