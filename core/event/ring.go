package event

// DefaultCapacity is the number of values that a ring holds if its capacity is not
// set.
const DefaultCapacity = 8192

// Ring is a ring buffer that holds the newest values. The zero value is an empty
// ring with DefaultCapacity.
type Ring[T any] struct {
	capacity int
	// buf grows up to the capacity and is then overwritten; the value with
	// sequence number seq is at index (seq-1) modulo the capacity.
	buf []T
	// last is the sequence number of the newest value; 0 when there is none.
	last uint64
}

// NewRing returns an empty ring; a capacity below 1 means DefaultCapacity.
func NewRing[T any](capacity int) Ring[T] { return Ring[T]{capacity: capacity} }

// Cap returns the largest number of values that the ring holds.
func (ri *Ring[T]) Cap() int {
	if ri.capacity < 1 {
		return DefaultCapacity
	}
	return ri.capacity
}

// Add adds a value, which overwrites the oldest one when the ring is full, and
// returns its sequence number. The first value has number 1.
func (ri *Ring[T]) Add(val T) uint64 {
	ri.last++
	if len(ri.buf) < ri.Cap() {
		ri.buf = append(ri.buf, val)
	} else {
		ri.buf[ri.index(ri.last)] = val
	}
	return ri.last
}

// First returns the sequence number of the oldest value in the ring. It is one above
// Last when the ring is empty.
func (ri *Ring[T]) First() uint64 { return ri.last - uint64(len(ri.buf)) + 1 }

// Last returns the sequence number of the newest value; 0 when there is none.
func (ri *Ring[T]) Last() uint64 { return ri.last }

// At returns the value with the given sequence number, and false if it was overwritten
// or not added yet.
func (ri *Ring[T]) At(seq uint64) (T, bool) {
	if seq < ri.First() || seq > ri.last {
		var zero T
		return zero, false
	}
	return ri.buf[ri.index(seq)], true
}

// index returns the index in buf of the value with sequence number seq.
func (ri *Ring[T]) index(seq uint64) int { return int((seq - 1) % uint64(ri.Cap())) }
