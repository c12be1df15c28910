package record

import (
	"sync/atomic"
	"time"

	"guavarail/core/event"
)

// WallClock reads the wall clock in milliseconds since 1970.
type WallClock func() int64

// NewWallClock returns the wall clock of the VM.
func NewWallClock() WallClock {
	return func() int64 { return time.Now().UnixMilli() }
}

// Clock is the hybrid clock of a VM. It is one atomic word, so that links and
// other actors can stamp messages without a round trip through the recorder.
// It implements the clock of io/peer.
type Clock struct {
	wall WallClock
	// last is the latest stamp that was given out or observed.
	last atomic.Uint64
}

// NewClock returns a clock over the given wall clock.
func NewClock(wall WallClock) *Clock { return &Clock{wall: wall} }

// Now returns the stamp of an event that happens now.
func (clo *Clock) Now() event.Stamp {
	return clo.move(func(cur event.Stamp, wallMs int64) event.Stamp { return cur.Next(wallMs) })
}

// Stamp returns the stamp of a message that is sent now.
func (clo *Clock) Stamp() uint64 { return uint64(clo.Now()) }

// Observe takes note of the stamp of a message that was received.
func (clo *Clock) Observe(stamp uint64) {
	clo.move(func(cur event.Stamp, wallMs int64) event.Stamp { return cur.Merge(event.Stamp(stamp), wallMs) })
}

// move replaces the latest stamp and returns the new one.
func (clo *Clock) move(next func(cur event.Stamp, wallMs int64) event.Stamp) event.Stamp {
	for {
		cur := clo.last.Load()
		got := next(event.Stamp(cur), clo.wallMs())
		if clo.last.CompareAndSwap(cur, uint64(got)) {
			return got
		}
	}
}

func (clo *Clock) wallMs() int64 {
	if clo.wall == nil {
		return time.Now().UnixMilli()
	}
	return clo.wall()
}
