// Package place chooses workers for tasks. Index groups the workers in bands,
// which are ranges of free CPU and of free memory, so that the cost of a choice
// does not grow with the number of workers. A Policy decides which of the
// fitting workers is chosen. Workers are identified by the index that the
// caller gave them, from 0.
package place

import (
	"math/bits"

	"guavarail/core/model"
)

const (
	// bandCount is the number of bands of free CPU, and of free memory.
	bandCount = 64
	// gridCount is the number of grids, one for each number of free
	// accelerators from 0; the last one holds all higher numbers too.
	gridCount = 8
	// cpuUnit, in milliCPU, and memoryUnit, in MB, are the widths of the lowest
	// bands.
	//
	// Bands are one unit wide up to 16 units, then there are four to each
	// doubling. This keeps the best fit within 19% of the exact one.
	cpuUnit    = 250
	memoryUnit = 512
)

// entry is one worker in the index.
type entry struct {
	free model.Resources
	// rack is the number of the rack, -1 for none.
	rack int32
	// grid, cpuBand, memoryBand and position locate the worker in the grids;
	// valid only while listed is set.
	grid, cpuBand, memoryBand uint8
	position                  int32
	listed                    bool
}

// bandGrid groups the workers with the same number of free accelerators by
// their bands of free CPU and memory.
type bandGrid struct {
	// cpuBands has a bit for each CPU band with a worker, memoryBands[c] a bit
	// for each memory band with a worker in CPU band c.
	cpuBands    uint64
	memoryBands [bandCount]uint64
	// workers lists the workers by CPU band and memory band.
	workers [bandCount][bandCount][]int32
}

// Index holds the workers that may get tasks, by their free resources. The
// zero value is empty and ready to use.
type Index struct {
	entries     []entry
	grids       [gridCount]*bandGrid
	racks       []rack
	rackNumbers map[string]int32
	// cursor increases with each choice of BestFit and determines the rack and
	// the list position at which its search starts.
	cursor uint32
}

// rack lists the indexes of its workers, also of those that were removed from
// the Index.
type rack struct {
	workers []int32
}

// band returns the band of an amount, for the unit cpuUnit or memoryUnit.
// Larger amounts never have a lower band.
func band(amount, unit int64) int {
	if amount <= 0 {
		return 0
	}
	steps := uint64(amount / unit)
	if steps < 16 {
		return int(steps)
	}
	exp := bits.Len64(steps) - 1
	return min(16+4*(exp-4)+int(steps>>(exp-2)&3), bandCount-1)
}

// gridOf returns the grid of a number of free accelerators.
func gridOf(accelerators int64) int { return int(max(0, min(accelerators, gridCount-1))) }

// Set adds the worker with the given index, or updates its rack and free
// resources. Workers that may not get tasks are removed with Remove.
func (ix *Index) Set(idx int32, rackName string, free model.Resources) {
	for int(idx) >= len(ix.entries) {
		ix.entries = append(ix.entries, entry{rack: -1})
	}
	en := &ix.entries[idx]
	ix.unlist(idx)
	ix.setRack(idx, ix.RackOf(rackName))
	en.free, en.listed = free, true
	ix.list(idx)
}

// Remove removes the worker, if it is in the index.
func (ix *Index) Remove(idx int32) {
	if int(idx) < len(ix.entries) {
		ix.unlist(idx)
		ix.entries[idx].listed = false
	}
}

// Listed reports whether the worker is in the index.
func (ix *Index) Listed(idx int32) bool {
	return int(idx) < len(ix.entries) && ix.entries[idx].listed
}

// Free returns the free resources of the worker; zero if it is not in the
// index.
func (ix *Index) Free(idx int32) model.Resources {
	if !ix.Listed(idx) {
		return model.Resources{}
	}
	return ix.entries[idx].free
}

// Rack returns the number of the worker's rack; Set must have been called for
// the worker.
func (ix *Index) Rack(idx int32) int32 { return ix.entries[idx].rack }

// Reserve subtracts need from the worker's free resources. It returns false
// and changes nothing if need does not fit.
func (ix *Index) Reserve(idx int32, need model.Resources) bool {
	if !ix.Fits(idx, need) {
		return false
	}
	ix.update(idx, ix.entries[idx].free.Sub(need))
	return true
}

// Release adds need to the worker's free resources, to undo a Reserve.
func (ix *Index) Release(idx int32, need model.Resources) {
	if ix.Listed(idx) {
		ix.update(idx, ix.entries[idx].free.Add(need))
	}
}

// Fits reports whether need fits in the worker's free resources.
func (ix *Index) Fits(idx int32, need model.Resources) bool {
	return ix.Listed(idx) && need.FitsIn(ix.entries[idx].free)
}

// update sets the free resources and moves the worker to another list if its
// bands change.
func (ix *Index) update(idx int32, free model.Resources) {
	en := &ix.entries[idx]
	cpu, mem, grid := band(free.MilliCPU(), cpuUnit), band(free.MemoryMB(), memoryUnit), gridOf(free.Accelerators())
	if cpu == int(en.cpuBand) && mem == int(en.memoryBand) && grid == int(en.grid) {
		en.free = free
		return
	}
	ix.unlist(idx)
	en.free = free
	ix.list(idx)
}

// list adds the worker to the list of its bands.
func (ix *Index) list(idx int32) {
	en := &ix.entries[idx]
	cpu, mem, grid := band(en.free.MilliCPU(), cpuUnit), band(en.free.MemoryMB(), memoryUnit), gridOf(en.free.Accelerators())
	gr := ix.grids[grid]
	if gr == nil {
		gr = &bandGrid{}
		ix.grids[grid] = gr
	}
	en.grid, en.cpuBand, en.memoryBand = uint8(grid), uint8(cpu), uint8(mem)
	en.position = int32(len(gr.workers[cpu][mem]))
	gr.workers[cpu][mem] = append(gr.workers[cpu][mem], idx)
	gr.cpuBands |= 1 << cpu
	gr.memoryBands[cpu] |= 1 << mem
}

// unlist removes the worker from its list, if it is listed.
func (ix *Index) unlist(idx int32) {
	en := &ix.entries[idx]
	if !en.listed {
		return
	}
	gr := ix.grids[en.grid]
	lst := gr.workers[en.cpuBand][en.memoryBand]
	last := lst[len(lst)-1]
	lst[en.position] = last
	ix.entries[last].position = en.position
	gr.workers[en.cpuBand][en.memoryBand] = lst[:len(lst)-1]
	if len(lst) == 1 {
		gr.memoryBands[en.cpuBand] &^= 1 << en.memoryBand
		if gr.memoryBands[en.cpuBand] == 0 {
			gr.cpuBands &^= 1 << en.cpuBand
		}
	}
}

// RackOf returns the number of the rack with the given name; a new name gets
// the next number.
func (ix *Index) RackOf(name string) int32 {
	num, ok := ix.rackNumbers[name]
	if !ok {
		if ix.rackNumbers == nil {
			ix.rackNumbers = map[string]int32{}
		}
		num = int32(len(ix.racks))
		ix.rackNumbers[name] = num
		ix.racks = append(ix.racks, rack{})
	}
	return num
}

// setRack moves the worker to a rack.
func (ix *Index) setRack(idx, to int32) {
	from := ix.entries[idx].rack
	if from == to {
		return
	}
	if from >= 0 {
		lst := ix.racks[from].workers
		for i := range lst {
			if lst[i] == idx {
				lst[i] = lst[len(lst)-1]
				ix.racks[from].workers = lst[:len(lst)-1]
				break
			}
		}
	}
	ix.entries[idx].rack = to
	ix.racks[to].workers = append(ix.racks[to].workers, idx)
}
