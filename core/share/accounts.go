package share

import "guavarail/core/model"

// Use is what one customer has in use. The zero value is nothing.
type Use struct {
	// owned counts against the quota of the customer, borrowed does not.
	owned, borrowed model.Resources
}

// Owned returns what counts against the quota.
func (us Use) Owned() model.Resources { return us.owned }

// Total returns all that is in use.
func (us Use) Total() model.Resources { return us.owned.Add(us.borrowed) }

// Share returns the weighted dominant share: the largest fraction of the total in any
// dimension, divided by the weight.
func (us Use) Share(total model.Resources, weight float64) float64 {
	return us.Total().DominantShare(total) / weight
}

// Fits reports whether need is within a limit beside what is used already. A sum that
// reaches the limit is within it.
func Fits(used, need, limit model.Resources) bool { return need.FitsIn(limit.Sub(used)) }

// Percent returns the given percentage of an amount.
func Percent(amount model.Resources, part int) model.Resources {
	scale := func(val int64) int64 { return val * int64(part) / 100 }
	return model.NewResources(scale(amount.MilliCPU()), scale(amount.MemoryMB()), scale(amount.Accelerators()))
}

// Accounts sums up what each customer has in use. The zero value is empty.
type Accounts[K comparable] struct {
	// uses has no entry for a customer that uses nothing.
	uses map[K]Use
}

// Use returns what a customer has in use.
func (ac *Accounts[K]) Use(key K) Use { return ac.uses[key] }

// Add adds an amount to the use of a customer.
func (ac *Accounts[K]) Add(key K, size model.Resources, borrowed bool) {
	us := ac.uses[key]
	if borrowed {
		us.borrowed = us.borrowed.Add(size)
	} else {
		us.owned = us.owned.Add(size)
	}
	if us == (Use{}) {
		delete(ac.uses, key)
		return
	}
	if ac.uses == nil {
		ac.uses = map[K]Use{}
	}
	ac.uses[key] = us
}

// Sub takes an amount from the use of a customer.
func (ac *Accounts[K]) Sub(key K, size model.Resources, borrowed bool) {
	ac.Add(key, model.Resources{}.Sub(size), borrowed)
}

// Each calls visit for each customer that has anything in use, in no particular order.
func (ac *Accounts[K]) Each(visit func(key K, us Use)) {
	for key, us := range ac.uses {
		visit(key, us)
	}
}
