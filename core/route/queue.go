package route

import (
	"container/heap"
	"time"

	"guavarail/core/model"
)

// maxDeficitQuanta bounds the deficit of a caller in both directions, in mean
// slot times, so that one very long request does not starve its caller.
const maxDeficitQuanta = 8

// queue holds the waiting requests of one service. It serves the callers by
// deficit round robin and the requests of one caller by earliest deadline. The
// cost of a request is its slot time, the time for which it holds a slot. The
// quantum, which a caller gets in each round, is the mean slot time.
type queue[K comparable] struct {
	callers map[string]*caller[K]
	// activeCallers lists the callers with waiting requests in round-robin order.
	activeCallers []*caller[K]
	// size is the number of waiting requests.
	size int
	// lastSeq is the seq of the request that was queued last.
	lastSeq uint64
}

// caller is the fair queueing state of one caller. It exists while the caller
// has requests that wait or hold a slot.
type caller[K comparable] struct {
	name    string
	waiting deadlineHeap[K]
	// deficit is the slot time that the caller may still use in this round;
	// below zero it is debt.
	deficit time.Duration
	// inUse counts the requests of the caller that hold a slot.
	inUse int
}

// caller returns the state of the named caller and creates it if needed.
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

// push adds req to the queue of its caller.
func (qu *queue[K]) push(req *request[K]) {
	ca := qu.caller(req.spec.Caller)
	req.caller = ca
	qu.lastSeq++
	req.seq = qu.lastSeq
	if len(ca.waiting) == 0 {
		qu.activeCallers = append(qu.activeCallers, ca)
	}
	heap.Push(&ca.waiting, req)
	qu.size++
}

// pop removes and returns the next request in deficit round-robin order, or nil
// if the queue is empty. quantum is the slot time that each caller gets in one
// round.
func (qu *queue[K]) pop(quantum time.Duration) *request[K] {
	quantum = max(quantum, time.Microsecond)
	for len(qu.activeCallers) > 0 {
		ca := qu.activeCallers[0]
		if ca.deficit <= 0 {
			// A debt that was charged under a larger quantum is clamped, so that
			// a caller is skipped at most maxDeficitQuanta times.
			ca.deficit = max(ca.deficit, -maxDeficitQuanta*quantum) + quantum
			qu.activeCallers = append(qu.activeCallers[1:], ca)
			continue
		}
		req := ca.waiting[0]
		qu.remove(req)
		return req
	}
	return nil
}

// remove removes req from the queue.
func (qu *queue[K]) remove(req *request[K]) {
	ca := req.caller
	heap.Remove(&ca.waiting, req.heapIndex)
	qu.size--
	if len(ca.waiting) > 0 {
		return
	}
	for i, other := range qu.activeCallers {
		if other == ca {
			qu.activeCallers = append(qu.activeCallers[:i], qu.activeCallers[i+1:]...)
			break
		}
	}
	qu.removeIdle(ca)
}

// removeIdle deletes ca if none of its requests waits or holds a slot.
func (qu *queue[K]) removeIdle(ca *caller[K]) {
	if len(ca.waiting) == 0 && ca.inUse == 0 {
		delete(qu.callers, ca.name)
	}
}

// charge subtracts cost from the deficit of the caller and clamps the result to
// maxDeficitQuanta quanta in both directions. A negative cost is a refund.
func (ca *caller[K]) charge(cost, quantum time.Duration) {
	bound := maxDeficitQuanta * max(quantum, time.Microsecond)
	ca.deficit = min(max(ca.deficit-cost, -bound), bound)
}

// longestCaller returns the caller with the most waiting requests, or nil if the
// queue is empty.
func (qu *queue[K]) longestCaller() *caller[K] {
	var longest *caller[K]
	for _, ca := range qu.activeCallers {
		if longest == nil || len(ca.waiting) > len(longest.waiting) {
			longest = ca
		}
	}
	return longest
}

// pastDeadline returns the waiting requests whose deadline is before limit.
func (qu *queue[K]) pastDeadline(limit model.Instant) []*request[K] {
	var out []*request[K]
	for _, ca := range qu.activeCallers {
		for _, req := range ca.waiting {
			if req.deadline.Before(limit) {
				out = append(out, req)
			}
		}
	}
	return out
}

// deadlineHeap is a min-heap of the waiting requests of one caller, ordered by
// deadline.
type deadlineHeap[K comparable] []*request[K]

// Len returns the number of requests.
func (dh deadlineHeap[K]) Len() int { return len(dh) }

// Less orders requests by deadline, then by when they were queued.
func (dh deadlineHeap[K]) Less(i, j int) bool {
	if dh[i].deadline != dh[j].deadline {
		return dh[i].deadline.Before(dh[j].deadline)
	}
	return dh[i].seq < dh[j].seq
}

// Swap exchanges two requests.
func (dh deadlineHeap[K]) Swap(i, j int) {
	dh[i], dh[j] = dh[j], dh[i]
	dh[i].heapIndex, dh[j].heapIndex = i, j
}

// Push appends a request.
func (dh *deadlineHeap[K]) Push(val any) {
	req := val.(*request[K])
	req.heapIndex = len(*dh)
	*dh = append(*dh, req)
}

// Pop removes the last request.
func (dh *deadlineHeap[K]) Pop() any {
	old := *dh
	req := old[len(old)-1]
	old[len(old)-1] = nil
	*dh = old[:len(old)-1]
	return req
}

// latestDeadline returns the waiting request of the caller with the latest
// deadline, or nil if none waits.
func (ca *caller[K]) latestDeadline() *request[K] {
	var req *request[K]
	for _, other := range ca.waiting {
		if req == nil || req.deadline.Before(other.deadline) {
			req = other
		}
	}
	return req
}
