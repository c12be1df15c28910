package share

import (
	"math"

	"guavarail/core/model"
)

// Seat is a customer in a pool of workers in a round.
type Seat struct {
	customer *Customer
	pool     *pool
	// recorded is what the customer had in use in the pool when the round began, and used
	// is that with what the round has started.
	recorded, used model.Resources
	// asks is what the customer asks for besides, in the order of the calls of Ask.
	asks []ask
}

// ask is an amount that a customer asks for.
type ask struct {
	priority int
	size     model.Resources
}

// Customer returns the record of the customer.
func (se *Seat) Customer() *Customer { return se.customer }

// Record sets what the customer had in use in the pool when the round began.
func (se *Seat) Record(size model.Resources) { se.recorded, se.used = size, size }

// Ask adds to what the customer asks for at a priority. Call it before the first BelowShare.
func (se *Seat) Ask(priority int, size model.Resources) {
	if last := len(se.asks) - 1; last >= 0 && se.asks[last].priority == priority {
		se.asks[last].size = se.asks[last].size.Add(size)
		return
	}
	se.asks = append(se.asks, ask{priority: priority, size: size})
}

// asked returns what the customer has in use and asks for at a priority and above, within
// its quota.
func (se *Seat) asked(priority int) model.Resources {
	sum := se.recorded
	for _, as := range se.asks {
		if as.priority <= priority {
			sum = sum.Add(as.size)
		}
	}
	return sum.Min(se.customer.limit.Max(se.recorded))
}

// Allows reports whether a start of a size keeps the customer within its quota, without what
// Hold keeps of it. What Hold keeps does not count while the customer uses holdThreshold of
// its quota or less, so that its other work can start at all.
func (se *Seat) Allows(size model.Resources) bool {
	cu := se.customer
	switch {
	case !cu.limited:
		return true
	case !se.FitsQuota(size):
		return false
	case cu.held.IsZero() || cu.used.FitsIn(cu.limit.Scale(holdThreshold)):
		return true
	}
	return Fits(cu.used.Add(cu.held), size, cu.limit)
}

// FitsQuota reports whether a start of a size keeps the customer within its quota, whatever
// Hold keeps of it.
func (se *Seat) FitsQuota(size model.Resources) bool {
	cu := se.customer
	return !cu.limited || Fits(cu.used, size, cu.limit)
}

// Hold keeps some of the quota, if that is large enough, for a task that could not start.
func (se *Seat) Hold(size model.Resources) {
	if cu := se.customer; cu.limited && size.FitsIn(cu.limit) {
		cu.held = cu.held.Add(size)
	}
}

// Charge records the start of a task of a size, which reserves an amount on a worker.
func (se *Seat) Charge(size, reserved model.Resources) {
	se.customer.used, se.used = se.customer.used.Add(size), se.used.Add(reserved)
}

// Refund takes back Charge.
func (se *Seat) Refund(size, reserved model.Resources) {
	se.customer.used, se.used = se.customer.used.Sub(size), se.used.Sub(reserved)
}

// BelowShare reports whether the customer is below its fair share of the pool among those who
// ask for capacity at a priority or above, so that it may start a task before those who are
// not.
func (se *Seat) BelowShare(priority int) bool {
	level := se.pool.level(priority)
	return math.IsInf(level, 1) || Use{owned: se.used}.Share(se.pool.total, se.customer.weight) < level
}
