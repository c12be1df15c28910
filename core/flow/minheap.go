package flow

// ordered is a value that knows which of two comes first.
type ordered[T any] interface{ before(other T) bool }

// minHeap returns its items in order. The zero value is empty.
type minHeap[T ordered[T]] struct{ items []T }

// clear removes all items and keeps the buffer.
func (he *minHeap[T]) clear() {
	clear(he.items)
	he.items = he.items[:0]
}

// first returns the item that comes first, and false if there is none.
func (he *minHeap[T]) first() (T, bool) {
	if len(he.items) == 0 {
		var none T
		return none, false
	}
	return he.items[0], true
}

// push adds an item.
func (he *minHeap[T]) push(item T) {
	he.items = append(he.items, item)
	for pos := len(he.items) - 1; pos > 0; {
		parent := (pos - 1) / 2
		if !he.items[pos].before(he.items[parent]) {
			return
		}
		he.items[pos], he.items[parent] = he.items[parent], he.items[pos]
		pos = parent
	}
}

// pop removes the item that comes first. The heap must not be empty.
func (he *minHeap[T]) pop() {
	last := len(he.items) - 1
	var none T
	he.items[0], he.items[last] = he.items[last], none
	he.items = he.items[:last]
	for pos := 0; ; {
		child := 2*pos + 1
		if child >= last {
			return
		}
		if child+1 < last && he.items[child+1].before(he.items[child]) {
			child++
		}
		if !he.items[child].before(he.items[pos]) {
			return
		}
		he.items[pos], he.items[child] = he.items[child], he.items[pos]
		pos = child
	}
}
