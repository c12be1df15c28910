package route

import "guavarail/core/model"

// Random is a seeded pseudo-random number generator (SplitMix64). The zero value
// has the seed 0.
type Random struct{ state uint64 }

// NewRandom returns a generator with the given seed.
func NewRandom(seed uint64) *Random { return &Random{state: seed} }

// Next returns the next 64 bits.
func (ra *Random) Next() uint64 {
	ra.state += 0x9e3779b97f4a7c15
	val := ra.state
	val = (val ^ (val >> 30)) * 0xbf58476d1ce4e5b9
	val = (val ^ (val >> 27)) * 0x94d049bb133111eb
	return val ^ (val >> 31)
}

// Below returns a number from 0 to num-1. num must be at least 1.
func (ra *Random) Below(num int) int { return int(ra.Next() % uint64(num)) }

// Candidates lists the servers that a Chooser picks from. They had a free slot
// when their availability was last updated.
type Candidates struct {
	servers []*server
	now     model.Instant
}

// Len returns the number of candidates, at least 1.
func (ca Candidates) Len() int { return len(ca.servers) }

// Load returns the load of the candidate at index idx: its slots in use plus
// one, times its mean latency in nanoseconds.
func (ca Candidates) Load(idx int) float64 { return ca.servers[idx].load(ca.now) }

// Chooser is a load balancing policy. Choose returns the index of the candidate
// that gets the next request.
type Chooser interface {
	Choose(rnd *Random, ca Candidates) int
}

// PowerOfTwo draws two servers at random, possibly the same one twice, and picks
// the one with the lower load.
type PowerOfTwo struct{}

// Choose returns the index of the chosen server.
func (PowerOfTwo) Choose(rnd *Random, ca Candidates) int {
	one := rnd.Below(ca.Len())
	two := rnd.Below(ca.Len())
	if ca.Load(two) < ca.Load(one) {
		return two
	}
	return one
}

// Uniform picks a server at random. It is a baseline for benchmarks.
type Uniform struct{}

// Choose returns the index of the chosen server.
func (Uniform) Choose(rnd *Random, ca Candidates) int { return rnd.Below(ca.Len()) }
