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
	// the root is node 1. Node leaves+i has what is free on workers[i], or noRoom
	// beyond the last worker. Every inner node has, in each dimension, the
	// maximum of its children.
	tree []model.Resources
}

// noRoom is less than any task needs.
var noRoom = model.NewResources(math.MinInt64, math.MinInt64, math.MinInt64)

// build replaces the content of the index. The caller has appended to
// ri.workers, after reset, the workers to hold.
func (ri *roomIndex) build() {
	ri.leaves = 1
	for ri.leaves < len(ri.workers) {
		ri.leaves *= 2
	}
	for len(ri.tree) < 2*ri.leaves {
		ri.tree = append(ri.tree, noRoom)
	}
	for i := range ri.leaves {
		free := noRoom
		if i < len(ri.workers) {
			free = ri.workers[i].free()
		}
		ri.tree[ri.leaves+i] = free
	}
	for node := ri.leaves - 1; node >= 1; node-- {
		ri.tree[node] = ri.tree[2*node].Max(ri.tree[2*node+1])
	}
}

// reset removes all workers and keeps the buffers.
func (ri *roomIndex) reset() {
	clear(ri.workers)
	ri.workers, ri.leaves = ri.workers[:0], 0
}

// add appends a worker; build completes the index.
func (ri *roomIndex) add(wk *worker) {
	wk.indexed = len(ri.workers)
	ri.workers = append(ri.workers, wk)
}

// update adjusts the index to what is free on a worker now. A worker that the
// index does not hold is ignored.
func (ri *roomIndex) update(wk *worker) {
	if wk.indexed >= len(ri.workers) || ri.workers[wk.indexed] != wk {
		return
	}
	node := ri.leaves + wk.indexed
	ri.tree[node] = wk.free()
	for node /= 2; node >= 1; node /= 2 {
		ri.tree[node] = ri.tree[2*node].Max(ri.tree[2*node+1])
	}
}

// next returns the index in ri.workers of the first worker from index from on
// on which need is free, or -1 if there is none.
func (ri *roomIndex) next(from int, need model.Resources) int {
	if from >= len(ri.workers) {
		return -1
	}
	node := ri.leaves + from
	for node > 0 {
		switch {
		case !need.FitsIn(ri.tree[node]):
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
