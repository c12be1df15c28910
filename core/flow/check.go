package flow

import (
	"math"
	"strconv"
	"strings"
	"time"

	"guavarail/core/model"
)

// Limits of amounts that come from outside. Sums over all runs and jobs of a cell must not
// overflow.
const (
	maxMilliCPU     = 1_000_000_000
	maxMemoryMB     = 1_000_000_000_000
	maxAccelerators = 1_000_000
	// maxSpan bounds durations.
	maxSpan = 366 * 24 * time.Hour
	// maxUnixMs is the end of the year 9999, in milliseconds since 1970.
	maxUnixMs = 253_402_300_799_999
	// maxAttempt bounds the number of an attempt.
	maxAttempt = math.MaxInt32
	// maxReading bounds a RunReport.Reading.
	maxReading = 1e12
)

// HeartbeatError reports the invalid fields of a heartbeat.
type HeartbeatError struct {
	faults []model.Fault
}

// Faults returns the faults in field order.
func (err *HeartbeatError) Faults() []model.Fault { return append([]model.Fault(nil), err.faults...) }

// Error lists every fault.
func (err *HeartbeatError) Error() string { return "heartbeat not accepted: " + joinFaults(err.faults) }

// joinFaults lists faults with what each field accepts.
func joinFaults(fas []model.Fault) string {
	out := make([]string, 0, len(fas))
	for _, fa := range fas {
		out = append(out, fa.Field()+": use "+fa.Allowed())
	}
	return strings.Join(out, "; ")
}

// faults collects the faults of a value. The zero value has none.
type faults []model.Fault

// rejectIf adds a fault if bad is set.
func (fas *faults) rejectIf(bad bool, field, allowed string) {
	if bad {
		*fas = append(*fas, model.NewFault(field, allowed))
	}
}

// Check returns a *HeartbeatError if a number of the heartbeat is out of range. Such a
// heartbeat must not reach the planner, where it would spoil sums and estimates that
// concern other workers. Remaining and WarmUp take part in no decision: a worker whose
// time to leave has passed is not turned away.
func (hb *Heartbeat) Check() error {
	var fas faults
	fas.rejectIf(!validSize(hb.Size), "size", "amounts from 0 to "+sizeLimits)
	fas.rejectIf(hb.Incarnation.startedAt < 0 || hb.Incarnation.startedAt > maxUnixMs, "startedAt", "a time from 1970 to 9999")
	fas.rejectIf(!validSpan(hb.Clock), "clock", spanAllowed)
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		name := "runs." + strconv.Itoa(i)
		fas.rejectIf(rr.Attempt < 0 || rr.Attempt > maxAttempt, name+".attempt", "the number of an attempt")
		fas.rejectIf(rr.Percent < 0 || rr.Percent > fullPace, name+".percent", "0 to 100")
		fas.rejectIf(!(rr.Reading >= 0 && rr.Reading <= maxReading), name+".reading", "0 or more")
	}
	for i := range hb.Ended {
		er := &hb.Ended[i]
		fas.rejectIf(er.Attempt < 0 || er.Attempt > maxAttempt, "ended."+strconv.Itoa(i)+".attempt", "the number of an attempt")
	}
	if len(fas) > 0 {
		return &HeartbeatError{faults: fas}
	}
	return nil
}

// sizeLimits and spanAllowed describe the limits in errors.
const (
	sizeLimits  = "1000000 processors, 1000000000000 MB and 1000000 accelerators"
	spanAllowed = "0 to 366 days"
)

// validSize reports whether no dimension is negative or beyond the limits.
func validSize(size model.Resources) bool {
	return size.Valid() && size.FitsIn(model.NewResources(maxMilliCPU, maxMemoryMB, maxAccelerators))
}

// validSpan reports whether a duration is in the limits.
func validSpan(dur time.Duration) bool { return dur >= 0 && dur <= maxSpan }
