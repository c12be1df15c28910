package flow

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// roster holds the present life of each worker. The zero value is empty.
type roster struct {
	// list is sorted by name and holds each worker once, so that decisions do
	// not depend on the order of a map.
	list []*worker
}

func (ro *roster) find(id model.WorkerID) (int, bool) {
	return slices.BinarySearchFunc(ro.list, id, func(wk *worker, id model.WorkerID) int {
		return cmp.Compare(wk.life.worker, id)
	})
}

// get returns the worker with the given name.
func (ro *roster) get(id model.WorkerID) (*worker, bool) {
	pos, ok := ro.find(id)
	if !ok {
		return nil, false
	}
	return ro.list[pos], true
}

// add puts a worker in the place of an earlier life.
func (ro *roster) add(wk *worker) {
	pos, ok := ro.find(wk.life.worker)
	if ok {
		ro.list[pos] = wk
		return
	}
	ro.list = slices.Insert(ro.list, pos, wk)
}

// remove takes a worker out.
func (ro *roster) remove(wk *worker) {
	if pos, ok := ro.find(wk.life.worker); ok {
		ro.list = slices.Delete(ro.list, pos, pos+1)
	}
}

// takeIf takes out and returns the workers that pick selects.
func (ro *roster) takeIf(pick func(wk *worker) bool) []*worker {
	var out []*worker
	for _, wk := range ro.list {
		if pick(wk) {
			out = append(out, wk)
		}
	}
	for _, wk := range out {
		ro.remove(wk)
	}
	return out
}
