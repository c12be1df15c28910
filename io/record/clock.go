package record

import (
	"sync/atomic"
	"time"

	"guavarail/core/event"
)

// WallClock returns the wall clock time in milliseconds since the Unix epoch.
type WallClock func() int64

// NewWallClock returns the system clock of the VM.
func NewWallClock() WallClock {
	return func() int64 { return time.Now().UnixMilli() }
}

// Clock is the hybrid logical clock of a VM. Its state is one atomic word, so
// that peer connections and other actors can stamp messages without a round
// trip through the recorder's actor. It implements peer.Clock.
type Clock struct {
	// wall may be nil, which means the VM's system clock.
	wall WallClock
	// last is the latest stamp (event.Stamp) returned or observed.
	last atomic.Uint64
}

// NewClock returns a hybrid logical clock that uses the given wall clock, or the
// VM's system clock if wall is nil.
func NewClock(wall WallClock) *Clock { return &Clock{wall: wall} }

// Now advances the clock and returns the stamp of an event that happens now.
func (clo *Clock) Now() event.Stamp {
	return clo.advance(func(cur event.Stamp, wallMs int64) event.Stamp { return cur.Next(wallMs) })
}

// Stamp advances the clock and returns the stamp of a message that is sent now.
func (clo *Clock) Stamp() uint64 { return uint64(clo.Now()) }

// Observe advances the clock to the stamp of a received message, so that later events
// get higher stamps. A stamp too far ahead of the wall clock is ignored.
func (clo *Clock) Observe(stamp uint64) {
	clo.advance(func(cur event.Stamp, wallMs int64) event.Stamp { return cur.Merge(event.Stamp(stamp), wallMs) })
}

// advance atomically replaces the latest stamp with the result of next, which may
// be called several times, and returns the new stamp.
func (clo *Clock) advance(next func(cur event.Stamp, wallMs int64) event.Stamp) event.Stamp {
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
