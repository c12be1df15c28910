package share

import "guavarail/core/model"

// holdThreshold is the fraction of its quota that a customer must have in use for Hold to bind.
const holdThreshold = 0.5

// Customer is what a customer has in use in a round, in all pools.
type Customer struct {
	weight float64
	// limit is the quota, which binds if limited is set.
	limit   model.Resources
	limited bool
	// used counts what is recorded, without what ends before the starts of the round, and
	// what the round has started.
	used model.Resources
	// held is kept for tasks that go before those that come after them in the round.
	held model.Resources
	// demanded is the sum of what Demand has returned.
	demanded model.Resources
}

// Release subtracts what ends before the starts of the round from what is in use.
func (cu *Customer) Release(size model.Resources) { cu.used = cu.used.Sub(size).Max(model.Resources{}) }

// Limited reports whether the customer has a quota.
func (cu *Customer) Limited() bool { return cu.limited }

// Used returns what the customer has in use in all pools.
func (cu *Customer) Used() model.Resources { return cu.used }

// CanHold reports whether Hold can keep an amount until it is free.
func (cu *Customer) CanHold(need model.Resources) bool {
	return need.FitsIn(cu.limit.Scale(holdThreshold))
}

// CanEverHave reports whether an amount is within the quota if nothing else is in use.
func (cu *Customer) CanEverHave(need model.Resources) bool {
	return !cu.limited || need.FitsIn(cu.limit)
}

// Demand returns how many of a number of tasks of a size are within the quota beside those
// that earlier calls of the round have returned.
func (cu *Customer) Demand(size model.Resources, num int) int {
	if !cu.limited {
		return num
	}
	left := cu.limit.Sub(cu.demanded)
	for _, dim := range [...][2]int64{
		{left.MilliCPU(), size.MilliCPU()}, {left.MemoryMB(), size.MemoryMB()}, {left.Accelerators(), size.Accelerators()},
	} {
		if dim[1] > 0 {
			num = int(min(int64(num), dim[0]/dim[1]))
		}
	}
	cu.demanded = cu.demanded.Add(times(size, num))
	return num
}

// times returns num times an amount.
func times(size model.Resources, num int) model.Resources {
	by := int64(num)
	return model.NewResources(size.MilliCPU()*by, size.MemoryMB()*by, size.Accelerators()*by)
}
