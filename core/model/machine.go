package model

// Machine is a deterministic state machine. Step takes the current time and one
// input of type I. It returns the effects, of type E, in the order in which the
// caller must carry them out. A machine uses no sockets, files, clocks,
// goroutines or unseeded random sources, so that a fuzz test, a replay of
// recorded inputs and an actor, the goroutine that owns the machine, can all
// drive it.
type Machine[I, E any] interface {
	Step(now Instant, in I) []E
}
