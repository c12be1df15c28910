//go:build race

package peer

// slowdown is how much longer code takes under the race detector, at most, according to
// its documentation.
const slowdown = 20
