package shed

import (
	"math"

	"guavarail/core/model"
)

// quota is what the jobs of a workspace may hold on all workers, by span: processors in
// thousandths, those of fillers included, and megabytes.
type quota struct {
	total       model.Resources
	cpu, memory levels
	// pinnedCPU and pinnedMemory are what runs hold that do not end, and that is not taken
	// of cpu and memory before settle.
	pinnedCPU, pinnedMemory float32
}

// newQuota returns a quota of which nothing is used. A dimension that is 0 has no limit.
func newQuota(total model.Resources) *quota {
	limit := func(val int64) float32 {
		if val == 0 {
			return math.MaxFloat32 / 2
		}
		return float32(val)
	}
	qu := &quota{total: total}
	for i := range spanCount {
		qu.cpu[i], qu.memory[i] = limit(total.MilliCPU()), limit(total.MemoryMB())
	}
	return qu
}

// fits returns how many tasks of a size the quota permits in a span. A nil quota permits
// any number.
func (qu *quota) fits(span int, size model.Resources) float64 {
	num := math.Inf(1)
	if qu == nil {
		return num
	}
	if milli := float64(size.MilliCPU()); milli > 0 {
		num = float64(qu.cpu[span]) / milli
	}
	if mem := float64(size.MemoryMB()); mem > 0 {
		num = min(num, float64(qu.memory[span])/mem)
	}
	return max(0, num)
}

// takeRun takes what a run holds until a time in seconds.
func (qu *quota) takeRun(until float64, ru *Run) {
	num := float32(ru.Count)
	if until >= horizon {
		qu.pinnedCPU += num * float32(ru.Size.MilliCPU())
		qu.pinnedMemory += num * float32(ru.Size.MemoryMB())
		return
	}
	for i := 0; i < spanCount && spanStarts[i] < until; i++ {
		part := num * float32(min(1, (until-spanStarts[i])/(spanStarts[i+1]-spanStarts[i])))
		qu.cpu[i] -= part * float32(ru.Size.MilliCPU())
		qu.memory[i] -= part * float32(ru.Size.MemoryMB())
	}
}

// settle takes what runs hold that do not end.
func (qu *quota) settle() {
	for i := range spanCount {
		qu.cpu[i] -= qu.pinnedCPU
		qu.memory[i] -= qu.pinnedMemory
	}
}

// take takes what a job takes of a room.
func (qu *quota) take(taken *room) {
	if qu == nil {
		return
	}
	for i := range spanCount {
		qu.cpu[i] -= taken.idle[i]
		qu.memory[i] -= taken.memory[i]
	}
}
