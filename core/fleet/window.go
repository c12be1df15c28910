package fleet

// window holds the last entries of a sequence by key. The zero value holds
// nothing and has no room.
type window[K comparable, V any] struct {
	// room is the largest number of entries.
	room int
	// ring has at most room keys; next is the position of the oldest one
	// once the ring is full.
	ring []K
	next int
	// vals has exactly the keys of ring.
	vals map[K]V
}

func newWindow[K comparable, V any](room int) window[K, V] {
	return window[K, V]{room: room, vals: map[K]V{}}
}

// put adds an entry whose key is not held and drops the oldest one when there
// is no room.
func (win *window[K, V]) put(key K, val V) {
	if win.room == 0 {
		return
	}
	if len(win.ring) < win.room {
		win.ring = append(win.ring, key)
	} else {
		delete(win.vals, win.ring[win.next])
		win.ring[win.next] = key
		win.next = (win.next + 1) % win.room
	}
	win.vals[key] = val
}

func (win *window[K, V]) get(key K) (V, bool) {
	val, ok := win.vals[key]
	return val, ok
}

func (win *window[K, V]) len() int { return len(win.ring) }

// each calls fn with the entries, oldest first, until it returns false.
func (win *window[K, V]) each(fn func(val V) bool) {
	for i := range win.ring {
		if !fn(win.vals[win.ring[(win.next+i)%len(win.ring)]]) {
			return
		}
	}
}
