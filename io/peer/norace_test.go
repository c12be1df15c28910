//go:build !race

package peer

// slowdown is 1 without the race detector.
const slowdown = 1
