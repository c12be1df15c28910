package cell

import "testing"

// Guards against a sender that waits for its receiver: an actor that waited
// here kept the receiver from ever finishing, and a leader that was elected
// again stood still (ozolkalns-sched trouble-1, seed 11).
func TestLatestValueWins(t *testing.T) {
	la := newLatest[int]()
	for val := range 3 {
		la.put(val)
	}
	if got := <-la.get(); got != 2 {
		t.Errorf("received %d, want the last value", got)
	}
	select {
	case got := <-la.get():
		t.Errorf("received %d as well, want nothing", got)
	default:
	}
}
