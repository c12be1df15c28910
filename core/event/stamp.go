package event

import (
	"strconv"
	"time"
)

// counterBits is the number of low bits of a stamp that hold the counter.
const counterBits = 16

// maxClockAhead is how far a stamp may be ahead of the wall clock of the VM that
// receives it. A stamp further ahead comes from a broken clock; if it were merged,
// the hybrid clocks of all VMs would stay ahead permanently.
const maxClockAhead = 24 * time.Hour

// Stamp is a timestamp of a hybrid logical clock: milliseconds since 1970 as the
// physical part, and a counter in the low bits that orders stamps within a millisecond
// or while the wall clock is behind the physical part. A cause has a lower stamp than
// its effect, even if they happen on VMs whose wall clocks differ.
type Stamp uint64

// NewStamp returns the lowest stamp of the given wall clock time, in milliseconds
// since 1970.
func NewStamp(wallMs int64) Stamp { return Stamp(max(wallMs, 0)) << counterBits }

// Millis returns the physical part in milliseconds since 1970.
func (st Stamp) Millis() int64 { return int64(st >> counterBits) }

// Count returns the counter, the low bits of the stamp.
func (st Stamp) Count() uint16 { return uint16(st) }

// Next returns the stamp of the event after st on the same VM at the given wall
// clock time, in milliseconds since 1970. If the counter overflows, the physical part
// advances by a millisecond.
func (st Stamp) Next(wallMs int64) Stamp { return max(NewStamp(wallMs), st+1) }

// Merge returns the clock of a VM after it received a message with the stamp
// remote while its clock was st. A stamp more than maxClockAhead ahead of the wall
// clock is ignored.
func (st Stamp) Merge(remote Stamp, wallMs int64) Stamp {
	if remote.Millis() > wallMs+maxClockAhead.Milliseconds() {
		return st
	}
	return max(st, remote)
}

// Sub returns the lowest stamp of the time dur before st.
func (st Stamp) Sub(dur time.Duration) Stamp { return NewStamp(st.Millis() - dur.Milliseconds()) }

// String returns the wall clock time in UTC, a dot and the counter.
func (st Stamp) String() string {
	return time.UnixMilli(st.Millis()).UTC().Format("2006-01-02T15:04:05.000Z") + "." + strconv.Itoa(int(st.Count()))
}
