package flow

import "slices"

// stepSorter holds the buffers in which the ready steps of a plan are collected
// and sorted. The zero value is ready to use.
type stepSorter struct {
	collected, sorted []readyStep
	// order points into collected. It is sorted in place of the steps, which are
	// large.
	order []*readyStep
}

// sort returns the steps in scheduling order. Of steps that compare equal, the
// one that was collected first stays first. The result is valid until the next
// call.
func (so *stepSorter) sort() []readyStep {
	so.order, so.sorted = so.order[:0], so.sorted[:0]
	for i := range so.collected {
		so.order = append(so.order, &so.collected[i])
	}
	slices.SortStableFunc(so.order, compareSteps)
	for _, rs := range so.order {
		so.sorted = append(so.sorted, *rs)
	}
	// The rest of the buffers must not keep ended jobs in memory.
	clear(so.order[len(so.order):cap(so.order)])
	clear(so.collected[len(so.collected):cap(so.collected)])
	clear(so.sorted[len(so.sorted):cap(so.sorted)])
	return so.sorted
}
