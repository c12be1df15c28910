package fleet

// window is a map that holds the last capacity entries put into it. The zero value
// has capacity 0 and holds none.
type window[K comparable, V any] struct {
	capacity int
	// ring has at most capacity keys; oldest is the index in ring of the oldest one.
	ring   []K
	oldest int
	// vals has exactly the keys of ring.
	vals map[K]V
}

func newWindow[K comparable, V any](capacity int) window[K, V] {
	return window[K, V]{capacity: capacity, vals: map[K]V{}}
}

// put adds an entry and drops the oldest one if the window is full. The key must
// not be in the window.
func (win *window[K, V]) put(key K, val V) {
	if win.capacity == 0 {
		return
	}
	if len(win.ring) < win.capacity {
		win.ring = append(win.ring, key)
	} else {
		delete(win.vals, win.ring[win.oldest])
		win.ring[win.oldest] = key
		win.oldest = (win.oldest + 1) % win.capacity
	}
	win.vals[key] = val
}

func (win *window[K, V]) get(key K) (V, bool) {
	val, ok := win.vals[key]
	return val, ok
}

func (win *window[K, V]) len() int { return len(win.ring) }

// each calls fn with the values, oldest first, until fn returns false.
func (win *window[K, V]) each(fn func(val V) bool) {
	for i := range win.ring {
		if !fn(win.vals[win.ring[(win.oldest+i)%len(win.ring)]]) {
			return
		}
	}
}
