package share

import (
	"cmp"
	"math"
	"slices"

	"guavarail/core/model"
)

// heldAbove is the fraction of a quota above which Hold binds.
const heldAbove = 0.5

// Round decides in one plan which customers may start more tasks, in which pools of
// workers: within their quotas in any case, and within their fair shares first. Its records
// stay valid from plan to plan, which Begin begins.
type Round[P, K comparable] struct {
	terms     map[K]Terms
	accounts  *Accounts[K]
	customers map[K]*Customer
	pools     map[P]*pool
	seats     map[seatID[P, K]]*Seat
}

// NewRound returns a round with the terms of the customers and the accounts of what they have
// in use. A customer without terms has the zero ones.
func NewRound[P, K comparable](terms map[K]Terms, accounts *Accounts[K]) *Round[P, K] {
	return &Round[P, K]{terms: terms, accounts: accounts, customers: map[K]*Customer{}, pools: map[P]*pool{}, seats: map[seatID[P, K]]*Seat{}}
}

// seatID names a customer in a pool.
type seatID[P, K comparable] struct {
	pool     P
	customer K
}

// pool is a set of workers that share tasks.
type pool struct {
	// total is the sum of the sizes of the workers.
	total model.Resources
	seats []*Seat
	// levels are the results of level, by priority.
	levels map[int]float64
}

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

// Begin begins a plan: nothing is started, asked for or kept, and the pools are empty.
func (ro *Round[P, K]) Begin() {
	for key, cu := range ro.customers {
		cu.used, cu.held, cu.demanded = ro.accounts.Use(key).Owned(), model.Resources{}, model.Resources{}
	}
	for _, po := range ro.pools {
		po.total = model.Resources{}
		clear(po.levels)
		for _, se := range po.seats {
			se.recorded, se.used, se.asks = model.Resources{}, model.Resources{}, se.asks[:0]
		}
	}
}

// Customer returns the record of a customer.
func (ro *Round[P, K]) Customer(key K) *Customer {
	cu, ok := ro.customers[key]
	if !ok {
		te := ro.terms[key]
		cu = &Customer{weight: te.Weight(), used: ro.accounts.Use(key).Owned()}
		cu.limit, cu.limited = te.Limit()
		ro.customers[key] = cu
	}
	return cu
}

// Pool sets the capacity of a pool. Call it before the first BelowShare in the pool.
func (ro *Round[P, K]) Pool(id P, total model.Resources) { ro.pool(id).total = total }

func (ro *Round[P, K]) pool(id P) *pool {
	po, ok := ro.pools[id]
	if !ok {
		po = &pool{levels: map[int]float64{}}
		ro.pools[id] = po
	}
	return po
}

// Seat returns the seat of a customer in a pool.
func (ro *Round[P, K]) Seat(pool P, customer K) *Seat {
	id := seatID[P, K]{pool: pool, customer: customer}
	se, ok := ro.seats[id]
	if !ok {
		po := ro.pool(pool)
		se = &Seat{customer: ro.Customer(customer), pool: po}
		po.seats = append(po.seats, se)
		ro.seats[id] = se
	}
	return se
}

// Free takes back what a customer has in use that ends before the starts of the round.
func (cu *Customer) Free(size model.Resources) { cu.used = cu.used.Sub(size).Max(model.Resources{}) }

// Limited reports whether the customer has a quota.
func (cu *Customer) Limited() bool { return cu.limited }

// Used returns what the customer has in use in all pools.
func (cu *Customer) Used() model.Resources { return cu.used }

// CanHold reports whether Hold can keep an amount until it is free.
func (cu *Customer) CanHold(need model.Resources) bool { return need.FitsIn(cu.limit.Scale(heldAbove)) }

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

// Allows reports whether a start of a size keeps the customer within its quota. Tasks for
// which Hold keeps some of the quota go first, but not where the customer uses half of its
// quota or less, so that they don't keep its other work from starting at all.
func (se *Seat) Allows(size model.Resources) bool {
	cu := se.customer
	switch {
	case !cu.limited:
		return true
	case !Fits(cu.used, size, cu.limit):
		return false
	case cu.held.IsZero() || cu.used.FitsIn(cu.limit.Scale(heldAbove)):
		return true
	}
	return Fits(cu.used.Add(cu.held), size, cu.limit)
}

// AllowsHolder is Allows for a task that goes before those for which Hold keeps quota.
func (se *Seat) AllowsHolder(size model.Resources) bool {
	return !se.customer.limited || Fits(se.customer.used, size, se.customer.limit)
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
