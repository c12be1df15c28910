package model

// Machine is a deterministic decision machine. Step takes the time and one
// input and returns the effects in the order in which they must be carried
// out. A machine has no sockets, files, clocks, goroutines or random sources of
// its own, so that a fuzzer, a replay and an actor can drive it alike.
type Machine[I, E any] interface {
	Step(now Instant, in I) []E
}
