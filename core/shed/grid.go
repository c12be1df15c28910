package shed

import (
	"math"
	"slices"
)

const (
	// gridColumns and gridRows are the numbers of classes of workers by their processors
	// and by their memory. They bound the time to count how many tasks fit.
	gridColumns = 24
	gridRows    = 16
)

// grid holds workers by the room that they have.
type grid struct{ cells []gridCell }

// gridCell sums up workers that have about the same room: their processors and what long-running
// tasks leave idle of them, in thousandths, and their memory in megabytes.
type gridCell struct{ count, cpu, idle, memory float64 }

// newGrid returns the workers with a label, or all if it is empty.
func newGrid(workers []Worker, label string) *grid {
	maxCPU, maxMemory := int64(1), int64(1)
	for i := range workers {
		maxCPU, maxMemory = max(maxCPU, workers[i].Room.MilliCPU()), max(maxMemory, workers[i].Room.MemoryMB())
	}
	var cells [gridColumns * gridRows]gridCell
	for i := range workers {
		wk := &workers[i]
		if label != "" && !slices.Contains(wk.Labels, label) {
			continue
		}
		column := max(0, wk.Room.MilliCPU()) * (gridColumns - 1) / maxCPU
		row := max(0, wk.Room.MemoryMB()) * (gridRows - 1) / maxMemory
		ce, num := &cells[column*gridRows+row], float64(wk.Count)
		ce.count += num
		ce.cpu += num * float64(wk.Room.MilliCPU())
		ce.idle += num * wk.IdleMilliCPU
		ce.memory += num * float64(wk.Room.MemoryMB())
	}
	gr := &grid{}
	for _, ce := range cells {
		if ce.count > 0 {
			gr.cells = append(gr.cells, ce)
		}
	}
	return gr
}

// slots returns how many tasks of a step fit on the workers.
func (gr *grid) slots(st *Step) float64 {
	milli, mem := float64(st.Size.MilliCPU()), float64(st.Size.MemoryMB())
	sum := 0.0
	for i := range gr.cells {
		ce := &gr.cells[i]
		cpu := ce.cpu
		if st.Filler {
			cpu += ce.idle
		}
		num := math.Inf(1)
		if milli > 0 {
			num = math.Floor(cpu / (ce.count * milli))
		}
		if mem > 0 {
			num = min(num, math.Floor(ce.memory/(ce.count*mem)))
		}
		if st.PerWorker > 0 {
			num = min(num, float64(st.PerWorker))
		}
		sum += ce.count * max(0, num)
	}
	return sum
}
