package route

import "guavarail/core/model"

// Random is a seeded sequence of random numbers (SplitMix64).
type Random struct{ state uint64 }

// NewRandom returns the sequence of seed.
func NewRandom(seed uint64) *Random { return &Random{state: seed} }

// Next returns the next 64 bits.
func (ra *Random) Next() uint64 {
	ra.state += 0x9e3779b97f4a7c15
	val := ra.state
	val = (val ^ (val >> 30)) * 0xbf58476d1ce4e5b9
	val = (val ^ (val >> 27)) * 0x94d049bb133111eb
	return val ^ (val >> 31)
}

// Below returns a number from 0 to num-1.
func (ra *Random) Below(num int) int { return int(ra.Next() % uint64(num)) }

// Candidates is the list of servers with a free slot.
type Candidates struct {
	servers []*server
	now     model.Instant
}

// Len returns the number of candidates, at least 1.
func (ca Candidates) Len() int { return len(ca.servers) }

// Load returns the load of one candidate; lower is better.
func (ca Candidates) Load(pos int) float64 { return ca.servers[pos].load(ca.now) }

// Chooser picks one of the servers with a free slot.
type Chooser interface {
	Choose(rnd *Random, ca Candidates) int
}

// PowerOfTwo draws two servers and takes the less loaded one.
type PowerOfTwo struct{}

// Choose returns the position of the chosen server.
func (PowerOfTwo) Choose(rnd *Random, ca Candidates) int {
	one := rnd.Below(ca.Len())
	two := rnd.Below(ca.Len())
	if ca.Load(two) < ca.Load(one) {
		return two
	}
	return one
}

// Uniform draws one server. It is a baseline for measurements.
type Uniform struct{}

// Choose returns the position of the chosen server.
func (Uniform) Choose(rnd *Random, ca Candidates) int { return rnd.Below(ca.Len()) }
