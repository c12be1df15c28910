package place

import (
	"math/bits"

	"guavarail/core/model"
)

// Request describes the task to place.
type Request struct {
	need     model.Resources
	priority model.Priority
	// racks has the job's tasks in each rack, nil for no preference of racks.
	racks *Racks
	// avoid matches the workers that are used only if no other fits, forbid
	// those that are never used; nil matches none.
	avoid, forbid func(idx int32) bool
}

// NewRequest returns a request for a worker with at least need free.
func NewRequest(need model.Resources, pri model.Priority) Request {
	return Request{need: need, priority: pri}
}

// Spread returns a copy of the request that prefers racks with the fewest tasks
// of the job; racks has the counts. Policies other than BestFit ignore it.
func (rq Request) Spread(racks *Racks) Request {
	rq.racks = racks
	return rq
}

// Avoid returns a copy of the request that uses the matched workers only if no
// other fits. Policies other than BestFit never use them.
func (rq Request) Avoid(avoid func(idx int32) bool) Request {
	rq.avoid = avoid
	return rq
}

// Forbid returns a copy of the request that never uses the matched workers.
func (rq Request) Forbid(forbid func(idx int32) bool) Request {
	rq.forbid = forbid
	return rq
}

// accepts reports whether neither avoid nor forbid matches the worker.
func (rq *Request) accepts(idx int32) bool {
	return (rq.avoid == nil || !rq.avoid(idx)) && (rq.forbid == nil || !rq.forbid(idx))
}

// Need returns the resources that must be free.
func (rq Request) Need() model.Resources { return rq.need }

// Racks counts the tasks of one job in each rack. The zero value is empty.
type Racks struct {
	counts map[int32]int32
}

// Add adds delta to the count of a rack.
func (ra *Racks) Add(rackNum, delta int32) {
	if ra.counts == nil {
		ra.counts = map[int32]int32{}
	}
	ra.counts[rackNum] += delta
	if ra.counts[rackNum] <= 0 {
		delete(ra.counts, rackNum)
	}
}

// Count returns the count of a rack.
func (ra *Racks) Count(rackNum int32) int32 { return ra.counts[rackNum] }

// Policy chooses the worker for a request; the caller reserves the need on it.
type Policy interface {
	// Choose returns the index of a worker that has room, false if there is
	// none.
	Choose(ix *Index, rq Request) (idx int32, ok bool)
	// Allows reports whether tasks of the priority may run on the worker at
	// all; evictions make room only on such workers.
	Allows(idx int32, pri model.Priority) bool
}

const (
	// maxProbes bounds how many workers of one list are checked in the first
	// pass.
	maxProbes = 16
	// maxRackProbes bounds how many racks are checked for a request with
	// Spread.
	maxRackProbes = 64
)

// BestFit chooses a worker from the lowest band that fits, so that workers with
// much free CPU and memory remain for large tasks, and accelerators for tasks
// that need them.
type BestFit struct{}

// Choose implements Policy.
func (BestFit) Choose(ix *Index, rq Request) (int32, bool) {
	ix.cursor++
	if rq.racks != nil {
		if idx, ok := ix.searchRacks(rq); ok {
			return idx, true
		}
	}
	if idx, ok := ix.search(rq, maxProbes); ok {
		return idx, true
	}
	if idx, ok := ix.search(rq, len(ix.entries)); ok {
		return idx, true
	}
	if rq.avoid == nil {
		return 0, false
	}
	return ix.search(rq.Avoid(nil), len(ix.entries))
}

// Allows implements Policy.
func (BestFit) Allows(int32, model.Priority) bool { return true }

// search returns a fitting worker from the lowest band that has one, by grid,
// then CPU, then memory. Workers in a band above that of the need in every
// dimension always fit. At most limit workers of each list are checked.
func (ix *Index) search(rq Request, limit int) (int32, bool) {
	cpu, mem := band(rq.need.MilliCPU(), cpuUnit), band(rq.need.MemoryMB(), memoryUnit)
	for grid := gridOf(rq.need.Accelerators()); grid < gridCount; grid++ {
		gr := ix.grids[grid]
		if gr == nil {
			continue
		}
		for cpus := gr.cpuBands >> cpu << cpu; cpus != 0; cpus &= cpus - 1 {
			cur := bits.TrailingZeros64(cpus)
			for mems := gr.memoryBands[cur] >> mem << mem; mems != 0; mems &= mems - 1 {
				if idx, ok := ix.probe(gr.workers[cur][bits.TrailingZeros64(mems)], rq, limit); ok {
					return idx, true
				}
			}
		}
	}
	return 0, false
}

// probe returns the first fitting worker among at most limit workers of a list,
// starting at the position that the cursor gives.
func (ix *Index) probe(lst []int32, rq Request, limit int) (int32, bool) {
	start := int(ix.cursor) % len(lst)
	for i := range min(limit, len(lst)) {
		pos := start + i
		if pos >= len(lst) {
			pos -= len(lst)
		}
		idx := lst[pos]
		if rq.need.FitsIn(ix.entries[idx].free) && rq.accepts(idx) {
			return idx, true
		}
	}
	return 0, false
}

// searchRacks returns a fitting worker in the rack with the fewest tasks of the
// job, among maxRackProbes racks.
func (ix *Index) searchRacks(rq Request) (int32, bool) {
	best, found, fewest := int32(0), false, int32(0)
	for i := range min(maxRackProbes, len(ix.racks)) {
		num := int32((int(ix.cursor) + i) % len(ix.racks))
		count := rq.racks.Count(num)
		if found && count >= fewest {
			continue
		}
		if idx, ok := ix.bestInRack(num, rq); ok {
			best, found, fewest = idx, true, count
			if count == 0 {
				break
			}
		}
	}
	return best, found
}

// bestInRack returns the fitting worker of the rack with the least free CPU.
func (ix *Index) bestInRack(num int32, rq Request) (int32, bool) {
	best, found := int32(0), false
	for _, idx := range ix.racks[num].workers {
		if !ix.Fits(idx, rq.need) || !rq.accepts(idx) {
			continue
		}
		if !found || ix.entries[idx].free.MilliCPU() < ix.entries[best].free.MilliCPU() {
			best, found = idx, true
		}
	}
	return best, found
}

// FirstFit chooses the fitting worker with the lowest index, by a linear scan.
type FirstFit struct{}

// Choose implements Policy.
func (FirstFit) Choose(ix *Index, rq Request) (int32, bool) {
	for idx := range ix.entries {
		if ix.Fits(int32(idx), rq.need) && rq.accepts(int32(idx)) {
			return int32(idx), true
		}
	}
	return 0, false
}

// Allows implements Policy.
func (FirstFit) Allows(int32, model.Priority) bool { return true }

// LinearScan chooses the fitting worker with the least free CPU, by a scan over
// all workers. It is the baseline of the benchmarks.
type LinearScan struct{}

// Choose implements Policy.
func (LinearScan) Choose(ix *Index, rq Request) (int32, bool) {
	return ix.scanBestFit(rq, func(int32) bool { return true })
}

// Allows implements Policy.
func (LinearScan) Allows(int32, model.Priority) bool { return true }

// Static keeps services and batch on separate workers: of every ten workers by
// index, the first ServiceWorkersPerTen take service and urgent tasks, the
// others batch tasks.
type Static struct {
	// ServiceWorkersPerTen is 1 to 10; 0 means 4.
	ServiceWorkersPerTen int32
}

// Choose implements Policy.
func (sta Static) Choose(ix *Index, rq Request) (int32, bool) {
	return ix.scanBestFit(rq, func(idx int32) bool { return sta.Allows(idx, rq.priority) })
}

// Allows implements Policy.
func (sta Static) Allows(idx int32, pri model.Priority) bool {
	part := sta.ServiceWorkersPerTen
	if part == 0 {
		part = 4
	}
	return (idx%10 < part) == (pri != model.Batch)
}

// scanBestFit returns the fitting and allowed worker with the least free CPU,
// by a scan over all workers.
func (ix *Index) scanBestFit(rq Request, allowed func(idx int32) bool) (int32, bool) {
	best, found := int32(0), false
	for i := range ix.entries {
		idx := int32(i)
		if !ix.Fits(idx, rq.need) || !rq.accepts(idx) || !allowed(idx) {
			continue
		}
		if !found || ix.entries[idx].free.MilliCPU() < ix.entries[best].free.MilliCPU() {
			best, found = idx, true
		}
	}
	return best, found
}
