package host

import (
	"time"

	"golang.org/x/sys/unix"

	"guavarail/core/model"
)

// Clock returns the local monotonic time, which includes the time for which the VM is
// suspended: leases of a suspended VM must expire. Its zero is not related to that of
// another process.
type Clock func() model.Instant

// NewClock returns a clock that reads zero at the time of the call.
func NewClock() Clock { return newClock(sinceBoot) }

// newClock returns a clock on the time that read returns.
func newClock(read func() time.Duration) Clock {
	start := read()
	return func() model.Instant { return model.Instant(read() - start) }
}

// processStart is the reference of the time that sinceBoot returns without a boot clock.
var processStart = time.Now()

// sinceBoot returns the time since the VM was booted. The clock of package time leaves
// out suspension; it is the fallback on a system without a clock that includes it.
func sinceBoot() time.Duration {
	var spec unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &spec); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(spec.Nano())
}
