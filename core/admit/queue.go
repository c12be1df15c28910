package admit

import (
	"time"

	"guavarail/core/model"
)

// Verdict says what became of the items of a Push.
type Verdict uint8

const (
	// Queued means that the pushed item waits.
	Queued Verdict = iota
	// Replaced means that one item was dropped because another one of the same key
	// covers it.
	Replaced
	// TooLate means that the pushed item was dropped because its deadline would pass
	// before its turn.
	TooLate
)

// Queue holds the items that wait. The zero value is empty. It is owned by one
// goroutine.
type Queue[K comparable, T any] struct {
	lanes [laneCount]fifo[K, T]
	// last is the lane of the last item that Pop returned.
	last Lane
	// dropped counts the items that were pushed and not returned by Pop.
	dropped uint64
}

// fifo holds the items of one lane in the order of their places.
type fifo[K comparable, T any] struct {
	// items are those from head on; earlier ones have been removed.
	items []*Item[K, T]
	head  int
	byKey map[K]*Item[K, T]
	// poppedAt is when an item was last removed, and busy is set if others were left
	// then. Since busySince others were always left, and intervals counts the times
	// between two removals since then.
	poppedAt, busySince model.Instant
	busy                bool
	intervals           int
}

const (
	// minIntervals is the number of intervals from which their mean counts; one of them
	// may be much longer than the others.
	minIntervals = 8
	// maxIntervals bounds how far back the mean goes.
	maxIntervals = 64
)

// Push adds an item. Unless it returns Queued, it also returns the one that was dropped,
// which may be the pushed item or one that waited. A replaced item leaves its place to
// the newer one.
func (qu *Queue[K, T]) Push(now model.Instant, it Item[K, T]) (Item[K, T], Verdict) {
	ln := &qu.lanes[it.lane]
	if it.deadline > 0 && it.deadline.Before(now.Add(ln.wait())) {
		qu.dropped++
		return it, TooLate
	}
	if old, ok := ln.byKey[it.key]; ok && it.keyed {
		qu.dropped++
		if it.rank < old.rank {
			return it, Replaced
		}
		before := *old
		it.since = min(it.since, old.since)
		*old = it
		return before, Replaced
	}
	ln.push(&it)
	return Item[K, T]{}, Queued
}

// Pop removes and returns the item whose turn it is, and false if none waits. The item
// may have expired.
func (qu *Queue[K, T]) Pop(now model.Instant) (Item[K, T], bool) {
	for range laneCount {
		qu.last = (qu.last + 1) % laneCount
		if ln := &qu.lanes[qu.last]; ln.len() > 0 {
			return ln.pop(now), true
		}
	}
	return Item[K, T]{}, false
}

// Len returns the number of items that wait.
func (qu *Queue[K, T]) Len() int {
	num := 0
	for pos := range qu.lanes {
		num += qu.lanes[pos].len()
	}
	return num
}

// Waiting returns the number of items of a lane that wait.
func (qu *Queue[K, T]) Waiting(lane Lane) int { return qu.lanes[lane].len() }

// Oldest returns since when the first item of a lane waits, and now if none does.
func (qu *Queue[K, T]) Oldest(lane Lane, now model.Instant) model.Instant {
	if ln := &qu.lanes[lane]; ln.len() > 0 {
		return min(now, ln.items[ln.head].since)
	}
	return now
}

// Wait returns how long an item that is pushed to a lane now is expected to wait, 0 if
// that is unknown.
func (qu *Queue[K, T]) Wait(lane Lane) time.Duration { return qu.lanes[lane].wait() }

// Dropped returns how many items were pushed and never returned by Pop.
func (qu *Queue[K, T]) Dropped() uint64 { return qu.dropped }

func (ln *fifo[K, T]) len() int { return len(ln.items) - ln.head }

// wait returns how long an item that is added now is expected to wait, 0 if that is
// unknown.
func (ln *fifo[K, T]) wait() time.Duration {
	if !ln.busy || ln.intervals < minIntervals {
		return 0
	}
	return time.Duration(ln.len()) * ln.poppedAt.Sub(ln.busySince) / time.Duration(ln.intervals)
}

func (ln *fifo[K, T]) push(it *Item[K, T]) {
	ln.items = append(ln.items, it)
	if it.keyed {
		if ln.byKey == nil {
			ln.byKey = map[K]*Item[K, T]{}
		}
		ln.byKey[it.key] = it
	}
}

// pop removes the first item.
func (ln *fifo[K, T]) pop(now model.Instant) Item[K, T] {
	it := ln.items[ln.head]
	ln.items[ln.head] = nil
	ln.head++
	if ln.head > len(ln.items)/2 {
		left := copy(ln.items, ln.items[ln.head:])
		clear(ln.items[left:])
		ln.items, ln.head = ln.items[:left], 0
	}
	if it.keyed {
		delete(ln.byKey, it.key)
	}
	ln.measure(now)
	return *it
}

// measure notes that an item was removed.
func (ln *fifo[K, T]) measure(now model.Instant) {
	if ln.busy {
		ln.intervals++
	} else {
		ln.busySince, ln.intervals = now, 0
	}
	if ln.intervals == maxIntervals {
		ln.busySince, ln.intervals = now.Add(-now.Sub(ln.busySince)/2), maxIntervals/2
	}
	ln.poppedAt, ln.busy = now, ln.len() > 0
}
