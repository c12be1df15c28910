package route

import (
	"container/heap"
	"time"

	"guavarail/core/model"
)

// debtBound limits how many mean slot times a caller can owe or save, so that
// one very long request does not shut a caller out.
const debtBound = 8

// queue holds the waiting requests of one service. Callers take turns by
// deficit round robin; the requests of one caller go by earliest deadline. The
// cost of a request is the time it holds a slot.
type queue[K comparable] struct {
	callers map[string]*caller[K]
	// turn lists the callers with waiting requests in round robin order.
	turn  []*caller[K]
	size  int
	order uint64
}

// caller is one party that slots are shared between. It is kept while it has
// requests waiting or in flight.
type caller[K comparable] struct {
	name    string
	waiting waitList[K]
	// deficit is the slot time that the caller may still use in this round.
	deficit time.Duration
	active  int
}

func (qu *queue[K]) caller(name string) *caller[K] {
	if qu.callers == nil {
		qu.callers = map[string]*caller[K]{}
	}
	ca := qu.callers[name]
	if ca == nil {
		ca = &caller[K]{name: name}
		qu.callers[name] = ca
	}
	return ca
}

func (qu *queue[K]) push(en *entry[K]) {
	ca := qu.caller(en.spec.Caller)
	en.caller = ca
	qu.order++
	en.order = qu.order
	if len(ca.waiting) == 0 {
		qu.turn = append(qu.turn, ca)
	}
	heap.Push(&ca.waiting, en)
	qu.size++
}

// pop returns the request whose turn it is; quantum is the mean slot time.
func (qu *queue[K]) pop(quantum time.Duration) *entry[K] {
	quantum = max(quantum, time.Microsecond)
	for len(qu.turn) > 0 {
		ca := qu.turn[0]
		if ca.deficit <= 0 {
			// A debt made with a larger quantum is cut to the bound, so that a
			// caller is passed over at most debtBound times.
			ca.deficit = max(ca.deficit, -debtBound*quantum) + quantum
			qu.turn = append(qu.turn[1:], ca)
			continue
		}
		en := ca.waiting[0]
		qu.drop(en)
		return en
	}
	return nil
}

// drop takes en out of the queue.
func (qu *queue[K]) drop(en *entry[K]) {
	ca := en.caller
	heap.Remove(&ca.waiting, en.pos)
	qu.size--
	if len(ca.waiting) > 0 {
		return
	}
	for i, other := range qu.turn {
		if other == ca {
			qu.turn = append(qu.turn[:i], qu.turn[i+1:]...)
			break
		}
	}
	qu.forget(ca)
}

func (qu *queue[K]) forget(ca *caller[K]) {
	if len(ca.waiting) == 0 && ca.active == 0 {
		delete(qu.callers, ca.name)
	}
}

// charge takes cost from the deficit of the caller within the bound.
func (ca *caller[K]) charge(cost, quantum time.Duration) {
	bound := debtBound * max(quantum, time.Microsecond)
	ca.deficit = min(max(ca.deficit-cost, -bound), bound)
}

// longest returns the waiting caller with the most requests.
func (qu *queue[K]) longest() *caller[K] {
	var most *caller[K]
	for _, ca := range qu.turn {
		if most == nil || len(ca.waiting) > len(most.waiting) {
			most = ca
		}
	}
	return most
}

// late appends the waiting requests whose deadline is before limit.
func (qu *queue[K]) late(limit model.Instant) []*entry[K] {
	var out []*entry[K]
	for _, ca := range qu.turn {
		for _, en := range ca.waiting {
			if en.deadline.Before(limit) {
				out = append(out, en)
			}
		}
	}
	return out
}

// waitList is a heap of the waiting requests of one caller by deadline.
type waitList[K comparable] []*entry[K]

// Len returns the number of requests.
func (wl waitList[K]) Len() int { return len(wl) }

// Less orders by deadline, then by arrival.
func (wl waitList[K]) Less(i, j int) bool {
	if wl[i].deadline != wl[j].deadline {
		return wl[i].deadline.Before(wl[j].deadline)
	}
	return wl[i].order < wl[j].order
}

// Swap exchanges two requests.
func (wl waitList[K]) Swap(i, j int) {
	wl[i], wl[j] = wl[j], wl[i]
	wl[i].pos, wl[j].pos = i, j
}

// Push appends a request.
func (wl *waitList[K]) Push(val any) {
	en := val.(*entry[K])
	en.pos = len(*wl)
	*wl = append(*wl, en)
}

// Pop removes the last request.
func (wl *waitList[K]) Pop() any {
	old := *wl
	en := old[len(old)-1]
	old[len(old)-1] = nil
	*wl = old[:len(old)-1]
	return en
}

// last returns the request of the caller with the latest deadline.
func (ca *caller[K]) last() *entry[K] {
	var en *entry[K]
	for _, other := range ca.waiting {
		if en == nil || en.deadline.Before(other.deadline) {
			en = other
		}
	}
	return en
}
