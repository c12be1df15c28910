package quorum

// window holds items with consecutive indexes; items at the front can be
// removed. The zero value is empty and starts at index 1.
type window[T any] struct {
	// base is the index before the first item.
	base  uint64
	items []T
}

// last returns the index of the last item, or base if the window is empty.
func (win *window[T]) last() uint64 { return win.base + uint64(len(win.items)) }

// at returns the item with the given index.
func (win *window[T]) at(idx uint64) (T, bool) {
	if idx <= win.base || idx > win.last() {
		var zero T
		return zero, false
	}
	return win.items[idx-win.base-1], true
}

// from returns the items from idx on. The caller must not modify them.
func (win *window[T]) from(idx uint64) []T {
	if idx > win.last() {
		return nil
	}
	return win.items[max(idx, win.base+1)-win.base-1:]
}

// push appends an item.
func (win *window[T]) push(item T) { win.items = append(win.items, item) }

// truncate removes the items from idx on. It does not change slices that from
// has returned, because the next push allocates a new array.
func (win *window[T]) truncate(idx uint64) {
	if idx <= win.base || idx > win.last() {
		return
	}
	keep := idx - win.base - 1
	win.items = win.items[:keep:keep]
}

// trimFront removes the items up to and including idx.
func (win *window[T]) trimFront(idx uint64) {
	idx = min(idx, win.last())
	if idx <= win.base {
		return
	}
	win.items = append([]T(nil), win.items[idx-win.base:]...)
	win.base = idx
}

// reset removes all items. The next item gets the index base+1.
func (win *window[T]) reset(base uint64) {
	win.base, win.items = base, nil
}
