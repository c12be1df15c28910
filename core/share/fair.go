package share

import (
	"cmp"
	"math"
	"slices"
)

// level returns the weighted share up to which customers are within their fair share: the
// one at which all capacity is used if nobody gets more than it asks for. It is infinite if
// there is enough for all.
func (po *pool) level(priority int) float64 {
	if level, ok := po.levels[priority]; ok {
		return level
	}
	demands := make([]demand, 0, len(po.seats))
	for _, se := range po.seats {
		demands = append(demands, demand{asked: se.asked(priority).DominantShare(po.total), weight: se.customer.weight})
	}
	level := fairLevel(demands)
	po.levels[priority] = level
	return level
}

// demand is the fraction of a pool that a customer asks for, and its weight.
type demand struct {
	asked, weight float64
}

// fairLevel returns the level of weighted max-min fairness: the sum of the smaller of what
// each asks for and level times its weight is 1. It is infinite if all ask for less.
func fairLevel(demands []demand) float64 {
	slices.SortFunc(demands, func(a, b demand) int {
		return cmp.Or(cmp.Compare(a.asked/a.weight, b.asked/b.weight), cmp.Compare(a.asked, b.asked))
	})
	weights := 0.0
	for _, de := range demands {
		weights += de.weight
	}
	left := 1.0
	for _, de := range demands {
		if de.asked*(weights/de.weight) > left {
			return max(0, left) / weights
		}
		left -= de.asked
		weights -= de.weight
	}
	return math.Inf(1)
}
