package flow

import (
	"math"

	"guavarail/core/model"
)

// placeCount counts the workers' places for a demand: how many tasks of its mean size fit on
// them beside their long-running runs. Other runs end by themselves. Room that is spread over
// workers in smaller parts holds none.
type placeCount struct {
	demand
	places int
}

// placesIn returns how many tasks of mean size fit into what a worker has free.
func (pc *placeCount) placesIn(free model.Resources) int {
	if pc.tasks == 0 {
		return 0
	}
	num := math.MaxInt
	for _, dim := range [...]struct{ free, sum int64 }{
		{free.MilliCPU(), pc.size.MilliCPU()}, {free.MemoryMB(), pc.size.MemoryMB()}, {free.Accelerators(), pc.size.Accelerators()},
	} {
		if dim.sum > 0 {
			num = min(num, int(max(0, dim.free)*int64(pc.tasks)/dim.sum))
		}
	}
	if num == math.MaxInt {
		return 0
	}
	return num
}

// loss returns how many places go if a long-running task of a given size is placed on a
// worker.
func (pc *placeCount) loss(wk *worker, size model.Resources) int {
	free := wk.freeForLong()
	return pc.placesIn(free) - pc.placesIn(free.Sub(size))
}

// tight reports whether the tasks of the demand need all places.
func (pc *placeCount) tight() bool { return pc.tasks > 0 && pc.places <= pc.tasks }

// place records the planned start of a long-running task of a given size on a worker. A
// restart is part of the demand.
func (pc *placeCount) place(wk *worker, size model.Resources, restart bool) {
	pc.places -= pc.loss(wk, size)
	if restart {
		pc.size, pc.tasks = pc.size.Sub(size), pc.tasks-1
	}
}

// freeForLong returns what the worker has besides long-running runs.
func (wk *worker) freeForLong() model.Resources { return wk.size.Sub(wk.longRunning) }
