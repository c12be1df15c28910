package limit

import (
	"math"
	"runtime/debug"
)

const (
	// heapShare is the share of the memory of a VM that the Go runtime uses before it
	// collects more often than its growth asks for. The rest is for the program itself and
	// for what the runtime cannot return at once. The runtime never spends more than half
	// of the processor on collections, so that a tight limit does not stop the process.
	heapShare = 0.8
	// relaxedShare and relaxedPercent let the heap grow further between two collections
	// below a smaller share of the memory.
	relaxedShare   = 0.6
	relaxedPercent = 400
)

// BoundHeap sets the limit from which on the garbage collector runs more often, for a VM
// with the given megabytes of memory, or 0 for that of the machine. It never raises a limit.
func BoundHeap(memoryMB int) {
	if memoryMB == 0 {
		lowerHeapLimit(heapShare, NewMachine().memory)
		return
	}
	lowerHeapLimit(heapShare, int64(memoryMB)<<20)
}

// RelaxCollector lets the garbage collector run less often, in a process that may use the
// given megabytes of memory.
func RelaxCollector(memoryMB int) {
	debug.SetGCPercent(relaxedPercent)
	lowerHeapLimit(relaxedShare, int64(memoryMB)<<20)
}

// lowerHeapLimit lowers the limit of the Go runtime to a share of the memory in bytes.
func lowerHeapLimit(share float64, memory int64) {
	if memory <= 0 {
		return
	}
	limit := int64(math.Round(share * float64(memory)))
	debug.SetMemoryLimit(min(limit, debug.SetMemoryLimit(-1)))
}
