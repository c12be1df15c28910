package cell

// latest passes values from one sender to one receiver. A value that was not
// received yet gives way to the next one, so that the sender never waits.
type latest[T any] struct {
	// slot has room for one value.
	slot chan T
}

func newLatest[T any]() *latest[T] { return &latest[T]{slot: make(chan T, 1)} }

// put offers a value. Only one goroutine may call it.
func (la *latest[T]) put(val T) {
	select {
	case <-la.slot:
	default:
	}
	la.slot <- val
}

// get returns the channel of the receiver.
func (la *latest[T]) get() <-chan T { return la.slot }
