package quorum

// window holds the items of consecutive indexes, without those that were
// dropped at its start. The zero value is empty and starts at index 1.
type window[T any] struct {
	// base is the index before the first item.
	base  uint64
	items []T
}

// last returns the index of the last item, or base when there is none.
func (win *window[T]) last() uint64 { return win.base + uint64(len(win.items)) }

// at returns the item with the given index.
func (win *window[T]) at(idx uint64) (T, bool) {
	if idx <= win.base || idx > win.last() {
		var zero T
		return zero, false
	}
	return win.items[idx-win.base-1], true
}

// from returns the items from idx on. The caller must not change them.
func (win *window[T]) from(idx uint64) []T {
	if idx > win.last() {
		return nil
	}
	return win.items[max(idx, win.base+1)-win.base-1:]
}

// push adds an item at the end.
func (win *window[T]) push(item T) { win.items = append(win.items, item) }

// cut removes the items from idx on. Slices that were handed out keep their
// items, because later items go to a new array.
func (win *window[T]) cut(idx uint64) {
	if idx <= win.base || idx > win.last() {
		return
	}
	keep := idx - win.base - 1
	win.items = win.items[:keep:keep]
}

// drop removes the items up to idx.
func (win *window[T]) drop(idx uint64) {
	idx = min(idx, win.last())
	if idx <= win.base {
		return
	}
	win.items = append([]T(nil), win.items[idx-win.base:]...)
	win.base = idx
}

// reset empties the window; the next item gets the index after base.
func (win *window[T]) reset(base uint64) {
	win.base, win.items = base, nil
}
