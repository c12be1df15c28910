package share

import "guavarail/core/model"

// Round decides in one plan which customers may start more tasks, in which pools of
// workers: within their quotas in any case, and within their fair shares first. The records
// that it returns stay valid when Begin begins the next plan.
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
	return &Round[P, K]{
		terms: terms, accounts: accounts,
		customers: map[K]*Customer{}, pools: map[P]*pool{}, seats: map[seatID[P, K]]*Seat{},
	}
}

// seatID identifies a customer in a pool.
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

// pool returns the record of a pool, and adds an empty one if needed.
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
