package flow

import (
	"math"

	"guavarail/core/model"
)

// roomIndex finds the workers that may have room for a task without a look at
// the others. It holds the workers that may get tasks in the current plan, in
// the order of workerSet. The zero value holds none.
type roomIndex struct {
	workers []*worker
	// leaves is the number of leaves of tree, a power of two, 0 without workers.
	leaves int
	// tree is a complete binary tree. Node i has the children 2i and 2i+1, and
	// the root is node 1. Node leaves+i has the room of workers[i], or noRoom
	// beyond the last worker. Every inner node has, in each dimension, the
	// maximum of its children.
	tree []room
}

// room is what a worker has for further tasks.
type room struct {
	free model.Resources
	// spareMilliCPU is what is left for fillers, in thousandths of a processor.
	spareMilliCPU float64
}

// noRoom is less than any task needs.
var noRoom = room{free: model.NewResources(math.MinInt64, math.MinInt64, math.MinInt64), spareMilliCPU: math.Inf(-1)}

// roomNeed is the least room in which a task may be placed.
type roomNeed struct {
	free model.Resources
	// fillerMilliCPU is what a filler requests, of which it may lack
	// maxFillerShortage. It is 0 for any other task.
	fillerMilliCPU float64
}

// fitsIn reports whether there is as much room as needed.
func (rn roomNeed) fitsIn(ro room) bool {
	return rn.free.FitsIn(ro.free) && (rn.fillerMilliCPU == 0 || ro.spareMilliCPU-rn.fillerMilliCPU >= -rn.fillerMilliCPU*maxFillerShortage)
}

// max returns the larger of ro and other in each dimension.
func (ro room) max(other room) room {
	return room{free: ro.free.Max(other.free), spareMilliCPU: max(ro.spareMilliCPU, other.spareMilliCPU)}
}

// roomOn returns the room on a worker beside its runs.
func roomOn(wk *worker) room { return room{free: wk.free(), spareMilliCPU: wk.spareMilliCPU()} }

// reset removes all workers and keeps the buffers.
func (ri *roomIndex) reset() {
	clear(ri.workers)
	ri.workers, ri.leaves = ri.workers[:0], 0
}

// add adds a worker, which must follow those that the index holds. Call build
// after the last.
func (ri *roomIndex) add(wk *worker) {
	wk.indexed = len(ri.workers)
	ri.workers = append(ri.workers, wk)
}

// build completes the index of the workers that were added since reset.
func (ri *roomIndex) build() {
	ri.leaves = 1
	for ri.leaves < len(ri.workers) {
		ri.leaves *= 2
	}
	for len(ri.tree) < 2*ri.leaves {
		ri.tree = append(ri.tree, noRoom)
	}
	for i := range ri.leaves {
		leaf := noRoom
		if i < len(ri.workers) {
			leaf = roomOn(ri.workers[i])
		}
		ri.tree[ri.leaves+i] = leaf
	}
	for node := ri.leaves - 1; node >= 1; node-- {
		ri.tree[node] = ri.tree[2*node].max(ri.tree[2*node+1])
	}
}

// update adjusts the index to the room on a worker now. A worker that the
// index does not hold is ignored.
func (ri *roomIndex) update(wk *worker) {
	if wk.indexed >= len(ri.workers) || ri.workers[wk.indexed] != wk {
		return
	}
	node := ri.leaves + wk.indexed
	ri.tree[node] = roomOn(wk)
	for node /= 2; node >= 1; node /= 2 {
		ri.tree[node] = ri.tree[2*node].max(ri.tree[2*node+1])
	}
}

// next returns the index in ri.workers of the first worker from index from on
// that has the room need, or -1 if there is none.
func (ri *roomIndex) next(from int, need roomNeed) int {
	if from >= len(ri.workers) {
		return -1
	}
	node := ri.leaves + from
	for node > 0 {
		switch {
		case !need.fitsIn(ri.tree[node]):
			node = nextSubtree(node)
		case node >= ri.leaves:
			return node - ri.leaves
		default:
			node *= 2
		}
	}
	return -1
}

// nextSubtree returns the root of the largest subtree that begins with the leaf
// after those of a node, or 0 if the node has the last leaf.
func nextSubtree(node int) int {
	for node%2 == 1 {
		node /= 2
	}
	if node == 0 {
		return 0
	}
	return node + 1
}
