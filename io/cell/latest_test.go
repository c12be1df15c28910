package cell

import "testing"

// Guards against a put that blocks until the previous value is received. The
// receiver of proposals waits for the actor that puts them, so a leader that is
// elected again while a proposal is pending would deadlock.
func TestLatestValueWins(t *testing.T) {
	la := newLatest[int]()
	for val := range 3 {
		la.put(val)
	}
	if got := <-la.receive(); got != 2 {
		t.Errorf("received %d, want the last value", got)
	}
	select {
	case got := <-la.receive():
		t.Errorf("received %d as well, want nothing", got)
	default:
	}
}
