package flow

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// workerSet holds the current incarnation of each worker. The zero value is
// empty.
type workerSet struct {
	// sorted is ordered by worker name and has each worker once, so that
	// decisions do not depend on map order.
	sorted []*worker
}

// find returns the index at which the worker is or would be inserted, and
// whether it is in the set.
func (ws *workerSet) find(id model.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(ws.sorted, id, func(wk *worker, id model.WorkerID) int {
		return cmp.Compare(wk.incarnation.worker, id)
	})
}

// get returns the worker with the given name, and false if there is none.
func (ws *workerSet) get(id model.WorkerID) (*worker, bool) {
	pos, ok := ws.find(id)
	if !ok {
		return nil, false
	}
	return ws.sorted[pos], true
}

// add adds a worker. It replaces an earlier incarnation.
func (ws *workerSet) add(wk *worker) {
	pos, ok := ws.find(wk.incarnation.worker)
	if ok {
		ws.sorted[pos] = wk
		return
	}
	ws.sorted = slices.Insert(ws.sorted, pos, wk)
}

// remove removes the worker of that name, whichever incarnation the set has.
func (ws *workerSet) remove(wk *worker) {
	if pos, ok := ws.find(wk.incarnation.worker); ok {
		ws.sorted = slices.Delete(ws.sorted, pos, pos+1)
	}
}

// removeFunc removes and returns the workers that pick selects.
func (ws *workerSet) removeFunc(pick func(wk *worker) bool) []*worker {
	var out []*worker
	for _, wk := range ws.sorted {
		if pick(wk) {
			out = append(out, wk)
		}
	}
	for _, wk := range out {
		ws.remove(wk)
	}
	return out
}
