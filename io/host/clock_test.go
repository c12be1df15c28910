package host

import (
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Guards against a clock that stands still while the VM is suspended, so that a leader
// that was replaced meanwhile still holds its lease when it resumes.
func TestClockIncludesSuspension(t *testing.T) {
	now := time.Hour
	clk := newClock(func() time.Duration { return now })
	now += 5 * time.Second
	if got := clk(); got.Sub(0) != 5*time.Second {
		t.Errorf("clock shows %v after 5 s", got)
	}
	var before, after unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &before)
	got := sinceBoot()
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &after)
	if got < time.Duration(before.Nano()) || got > time.Duration(after.Nano()) {
		t.Errorf("time since boot is %v, want %v to %v", got, before, after)
	}
}
