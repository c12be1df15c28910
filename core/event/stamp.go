package event

import (
	"strconv"
	"time"
)

// countBits is the width of the counter in the low bits of a stamp.
const countBits = 16

// maxLead is how far a stamp may be ahead of the wall clock of the VM that
// receives it. A stamp beyond it comes from a broken clock and would drag the
// clocks of all VMs along for good.
const maxLead = 24 * time.Hour

// Stamp is a reading of a hybrid logical clock: physical milliseconds since
// 1970 and a counter that orders readings within a millisecond or while the
// wall clock is behind. A cause has a lower stamp than its effect, also when
// they happen on VMs whose wall clocks differ.
type Stamp uint64

// NewStamp returns the first stamp of a wall clock reading in milliseconds.
func NewStamp(wallMs int64) Stamp { return Stamp(max(wallMs, 0)) << countBits }

// Millis returns the physical part in milliseconds since 1970.
func (st Stamp) Millis() int64 { return int64(st >> countBits) }

// Count returns the counter.
func (st Stamp) Count() uint16 { return uint16(st) }

// Next returns the stamp of an event that follows st on the same VM at the
// given wall clock reading. A counter that overflows moves the physical part
// ahead by a millisecond.
func (st Stamp) Next(wallMs int64) Stamp { return max(NewStamp(wallMs), st+1) }

// Merge returns the clock of a VM at st after it received a message that was
// stamped with remote. A stamp too far ahead of the wall clock is ignored.
func (st Stamp) Merge(remote Stamp, wallMs int64) Stamp {
	if remote.Millis() > wallMs+maxLead.Milliseconds() {
		return st
	}
	return max(st, remote)
}

// Less returns the stamp that lies dur earlier.
func (st Stamp) Less(dur time.Duration) Stamp { return NewStamp(st.Millis() - dur.Milliseconds()) }

// String returns the wall clock time in UTC, a dot and the counter.
func (st Stamp) String() string {
	return time.UnixMilli(st.Millis()).UTC().Format("2006-01-02T15:04:05.000Z") + "." + strconv.Itoa(int(st.Count()))
}
