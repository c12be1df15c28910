package admit

import "guavarail/core/model"

// Lane is a class of inputs. The lanes of a Queue take turns, so that no input waits
// for all inputs of another lane.
type Lane uint8

const (
	// Control is for the timers of the owner.
	Control Lane = iota
	// Reports is for what senders report about themselves again and again.
	Reports
	// Calls is for requests whose callers wait for an answer.
	Calls
	laneCount
)

// Lanes returns all lanes.
func Lanes() []Lane { return []Lane{Control, Reports, Calls} }

// Item is an input that waits in a Queue.
type Item[K comparable, T any] struct {
	lane Lane
	// key is the sender, and keyed is set if there is one. Of two items of a lane with
	// the same key, the one with the higher rank, or the later one, is kept.
	key   K
	keyed bool
	rank  uint64
	// since is when the item took its place in the queue, which may be the place of an
	// older item that it replaced.
	since model.Instant
	// deadline is when the caller stops waiting; 0 if the item has to be handled even
	// if nobody waits.
	deadline model.Instant
	val      T
}

// NewItem returns an item that arrived at the given time.
func NewItem[K comparable, T any](lane Lane, arrived model.Instant, val T) Item[K, T] {
	return Item[K, T]{lane: lane, since: arrived, val: val}
}

// WithKey returns the item with the key of its sender, whose items have ascending ranks.
func (it Item[K, T]) WithKey(key K, rank uint64) Item[K, T] {
	it.key, it.keyed, it.rank = key, true, rank
	return it
}

// WithDeadline returns the item with a deadline.
func (it Item[K, T]) WithDeadline(end model.Instant) Item[K, T] {
	it.deadline = end
	return it
}

// Lane returns the lane of the item.
func (it Item[K, T]) Lane() Lane { return it.lane }

// Since returns when the item, or the first of those that it replaced, arrived.
func (it Item[K, T]) Since() model.Instant { return it.since }

// Value returns the input.
func (it Item[K, T]) Value() T { return it.val }

// Expired reports whether nobody waits for the item any more.
func (it Item[K, T]) Expired(now model.Instant) bool {
	return it.deadline > 0 && !now.Before(it.deadline)
}
