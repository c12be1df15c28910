package flow

import (
	"time"

	"guavarail/core/model"
)

// callTimeout is how long a worker waits for the answer to a heartbeat. It drops
// a later one.
const callTimeout = time.Second

// maxLateness bounds how late a heartbeat is recognized as late, so that a worker
// whose clock stood still for a while gets its lease renewed before it expires.
const maxLateness = 6 * time.Second

// fastestHeartbeat is the heartbeat of a worker that took the least time on its
// way. The zero value is none.
type fastestHeartbeat struct {
	// arrivedAt is when the heartbeat arrived, and clock the worker's clock when it
	// was sent.
	arrivedAt model.Instant
	clock     time.Duration
}

// lateness returns how much longer than the fastest one a heartbeat was at least
// on its way that arrives now and was sent at clock, or 0 if that is unknown. The
// worker's clock may be slow by 1/leaseDriftDivisor.
func (fh *fastestHeartbeat) lateness(now model.Instant, clock time.Duration) time.Duration {
	if clock == 0 {
		return 0
	}
	sinceSent := clock - fh.clock
	expected := fh.arrivedAt.Add(sinceSent + sinceSent/leaseDriftDivisor)
	if fh.clock > 0 && expected.Before(now) && now.Sub(fh.arrivedAt) <= maxLateness {
		return now.Sub(expected)
	}
	*fh = fastestHeartbeat{arrivedAt: now, clock: clock}
	return 0
}
