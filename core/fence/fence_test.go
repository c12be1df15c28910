package fence

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a call that the leader takes for younger than it is, whether its sender is
// paused before it gets the ticket, after that, or before it sends the call.
func TestPausesOfTheSenderCount(t *testing.T) {
	const valid = 900 * time.Millisecond
	// The clocks of the two VMs have different zeros.
	const offset = 17 * time.Hour
	leader := func(at time.Duration) model.Instant { return model.Instant(at + offset) }
	for _, tt := range []struct {
		name string
		// issued, received, arrived and handled are on one clock.
		issued, received, arrived, handled time.Duration
		accepted                           bool
	}{
		{"ticket before the call", 1000, 1010, 1400, 1420, true},
		{"ticket after the call", 1500, 1510, 1400, 1530, true},
		{"paused before the call is sent", 1000, 1010, 1400, 2800, false},
		{"paused between ticket and receipt", 1000, 2400, 900, 2410, false},
		{"paused before the ticket", 2800, 2810, 1400, 2820, false},
		{"at the end", 1000, 1000, 1400, 2299, true},
		{"after the end", 1000, 1000, 1400, 2300, false},
	} {
		ms := time.Millisecond
		tic := NewTicket(3, leader(tt.issued*ms), model.Instant(tt.received*ms))
		mk := tic.Mark(model.Instant(tt.arrived*ms), valid)
		mk = NewMark(mk.Term(), mk.IssuedAt(), mk.Waited(), mk.ValidFor())
		if accepted := leader(tt.handled * ms).Before(mk.Expiry()); accepted != tt.accepted {
			t.Errorf("%s: accepted %v, want %v", tt.name, accepted, tt.accepted)
		}
	}
	if (Ticket{}).Valid(0) || !NewTicket(1, 0, 0).Valid(model.Instant(MaxTicketAge)) || NewTicket(1, 0, 0).Valid(model.Instant(MaxTicketAge+1)) {
		t.Error("ticket used for too long, or not at all")
	}
}

// Guards against a call that waited unread while the process was paused and counts as new,
// also if it is read before the process notices the pause.
func TestCallsOfAStallCountFromItsStart(t *testing.T) {
	const start, pause = model.Instant(10 * time.Second), 1400 * time.Millisecond
	for _, pulsed := range []bool{false, true} {
		var wa Watch
		now := start
		for range 10 {
			now = now.Add(PulseInterval)
			wa.Pulse(now)
			if got := wa.Arrival(now.Add(time.Millisecond)); got != now.Add(time.Millisecond) {
				t.Errorf("arrival %v without a stall, want now", got)
			}
		}
		last := now.Add(time.Millisecond)
		now = now.Add(pause)
		if pulsed {
			wa.Pulse(now)
		}
		if got := wa.Arrival(now.Add(time.Millisecond)); got != last {
			t.Errorf("pulsed %v: arrival %v after a stall, want %v", pulsed, got, last)
		}
		// After a second stall, calls of the first one may still be unread.
		now = now.Add(2 * minStall)
		if got := wa.Arrival(now); got != last {
			t.Errorf("pulsed %v: arrival %v after a second stall, want %v", pulsed, got, last)
		}
		for end := now.Add(catchUp); !end.Before(now); now = now.Add(PulseInterval) {
			wa.Pulse(now)
		}
		wa.Pulse(now)
		if got := wa.Arrival(now); got != now {
			t.Errorf("pulsed %v: arrival %v long after a stall, want now", pulsed, got)
		}
	}
}

// Guards against a process that gets few processors and refuses calls for good.
func TestShortStallsAgainAndAgainDoNotAddUp(t *testing.T) {
	var wa Watch
	now := model.Instant(time.Second)
	for range 1000 {
		for range 2 {
			now = now.Add(PulseInterval)
			wa.Pulse(now)
		}
		now = now.Add(2 * minStall)
		if age := now.Sub(wa.Arrival(now)); age > 500*time.Millisecond {
			t.Fatalf("a new call counts as %v old", age)
		}
	}
}

// BenchmarkArrival measures what each call adds at the VM that takes it.
func BenchmarkArrival(b *testing.B) {
	var wa Watch
	now := model.Instant(time.Second)
	for b.Loop() {
		now++
		wa.Arrival(now)
	}
}
