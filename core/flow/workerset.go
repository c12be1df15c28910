package flow

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// workerSet holds the present life of each worker. The zero value is empty.
type workerSet struct {
	// sorted is sorted by name and holds each worker once, so that decisions do
	// not depend on the order of a map.
	sorted []*worker
}

func (ws *workerSet) find(id model.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(ws.sorted, id, func(wk *worker, id model.WorkerID) int {
		return cmp.Compare(wk.incarnation.worker, id)
	})
}

// get returns the worker with the given name.
func (ws *workerSet) get(id model.WorkerID) (*worker, bool) {
	pos, ok := ws.find(id)
	if !ok {
		return nil, false
	}
	return ws.sorted[pos], true
}

// add puts a worker in the place of an earlier life.
func (ws *workerSet) add(wk *worker) {
	pos, ok := ws.find(wk.incarnation.worker)
	if ok {
		ws.sorted[pos] = wk
		return
	}
	ws.sorted = slices.Insert(ws.sorted, pos, wk)
}

// remove takes a worker out.
func (ws *workerSet) remove(wk *worker) {
	if pos, ok := ws.find(wk.incarnation.worker); ok {
		ws.sorted = slices.Delete(ws.sorted, pos, pos+1)
	}
}

// removeFunc takes out and returns the workers that pick selects.
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
