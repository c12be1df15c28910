package cell

// latest passes values from one sender to one receiver. A new value replaces one
// that was not received yet, so that the sender never blocks.
type latest[T any] struct {
	// pending buffers one value.
	pending chan T
}

func newLatest[T any]() *latest[T] { return &latest[T]{pending: make(chan T, 1)} }

// put sends a value. Only one goroutine may call it.
func (la *latest[T]) put(val T) {
	select {
	case <-la.pending:
	default:
	}
	la.pending <- val
}

// receive returns the channel from which the values are received.
func (la *latest[T]) receive() <-chan T { return la.pending }
