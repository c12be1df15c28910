package fence

import (
	"time"

	"guavarail/core/model"
)

const (
	// PulseInterval is the interval of Watch.Pulse.
	PulseInterval = 20 * time.Millisecond
	// minStall is the time without a pulse from which the process counts as stalled.
	minStall = 50 * time.Millisecond
	// catchUp is how long the process is at work after a stall until all calls are read
	// that arrived during it.
	catchUp = 100 * time.Millisecond
	// maxStalls bounds the stalls that a Watch remembers.
	maxStalls = 32
)

// Watch notes when a process was stalled: paused, suspended or without a processor. Calls
// that reach a stalled process wait unread. The zero value has seen none. Its clock counts
// the time for which the VM is suspended.
type Watch struct {
	// pulsedAt is the last time at which the process was known to be at work, 0 before the
	// first pulse.
	pulsedAt model.Instant
	// worked is the time for which the process was at work.
	worked time.Duration
	// stalls has the stalls that ended less than catchUp of work ago, the oldest first.
	stalls []stall
}

// stall is a time in which the process was not at work.
type stall struct {
	from model.Instant
	// worked is Watch.worked when it ended.
	worked time.Duration
}

// Pulse notes that the process is at work now.
func (wa *Watch) Pulse(now model.Instant) {
	since := now.Sub(wa.pulsedAt)
	switch {
	case wa.pulsedAt == 0:
	case since > minStall:
		if len(wa.stalls) == maxStalls {
			wa.stalls = append(wa.stalls[:0], wa.stalls[1:]...)
		}
		wa.stalls = append(wa.stalls, stall{from: wa.pulsedAt, worked: wa.worked})
	default:
		wa.worked += max(0, since)
	}
	for len(wa.stalls) > 0 && wa.worked-wa.stalls[0].worked >= catchUp {
		wa.stalls = append(wa.stalls[:0], wa.stalls[1:]...)
	}
	wa.pulsedAt = max(wa.pulsedAt, now)
}

// Arrival returns a time before which a call that is read now can't have arrived, but for
// minStall: now, or the start of the first stall of which calls may be unread.
func (wa *Watch) Arrival(now model.Instant) model.Instant {
	wa.Pulse(now)
	if len(wa.stalls) > 0 {
		return wa.stalls[0].from
	}
	return now
}
