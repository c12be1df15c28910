package flow

import (
	"math"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"guavarail/core/model"
)

// Limits of amounts that come from outside. Sums over all runs and jobs of a cell must not
// overflow.
const (
	maxMilliCPU     = 1_000_000_000
	maxMemoryMB     = 1_000_000_000_000
	maxAccelerators = 1_000_000
	// maxSpan bounds durations that a job declares.
	maxSpan = 366 * 24 * time.Hour
	// maxUptime bounds the clock of a worker, which counts from its start. No process
	// reaches it, and differences of two clocks don't overflow.
	maxUptime = 100 * 366 * 24 * time.Hour
	// maxUnixMs is the end of the year 9999, in milliseconds since 1970.
	maxUnixMs = 253_402_300_799_999
	// maxAttempt bounds the number of an attempt.
	maxAttempt = math.MaxInt32
	// maxReading bounds a RunReport.Reading.
	maxReading = 1e12
	// maxName bounds a name that a worker reports, in bytes.
	maxName = 1024
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

// Check returns a *HeartbeatError if a field that every worker sends is missing, a number
// of the heartbeat is out of range or a text cannot be stored. Such a heartbeat must not
// reach the planner, where it would spoil sums and estimates that concern other workers or
// replace a worker that has the same address, and the log, which cannot hold it. Remaining
// and WarmUp take part in no decision: a worker whose time to leave has passed is not turned
// away.
func (hb *Heartbeat) Check() error {
	var fas faults
	hb.checkPresence(&fas)
	fas.rejectIf(!validSize(hb.Size), "size", "amounts from 0 to "+sizeLimits)
	fas.rejectIf(hb.Incarnation.startedAt < 0 || hb.Incarnation.startedAt > maxUnixMs, "startedAt", "a time from 1970 to 9999")
	fas.rejectIf(hb.Clock < 0 || hb.Clock > maxUptime, "clock", "0 to 36600 days")
	fas.rejectIf(!validName(string(hb.Incarnation.worker)), "worker", nameAllowed)
	fas.rejectIf(!validName(string(hb.Service)), "service", nameAllowed)
	fas.rejectIf(!validName(string(hb.Centre)), "centre", nameAllowed)
	fas.rejectIf(!validName(hb.Address), "address", nameAllowed)
	fas.rejectIf(!validName(hb.Rack), "rack", nameAllowed)
	for _, label := range hb.Labels {
		fas.rejectIf(!utf8.ValidString(label), "labels", textAllowed)
	}
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		name := "runs." + strconv.Itoa(i)
		fas.rejectIf(!utf8.ValidString(string(rr.Task.job)), name+".task", textAllowed)
		fas.rejectIf(!utf8.ValidString(rr.Checkpoint), name+".checkpoint", textAllowed)
		fas.rejectIf(rr.Attempt < 0 || rr.Attempt > maxAttempt, name+".attempt", "the number of an attempt")
		fas.rejectIf(rr.Percent < 0 || rr.Percent > fullPace, name+".percent", "0 to 100")
		fas.rejectIf(!(rr.Reading >= 0 && rr.Reading <= maxReading), name+".reading", "0 or more")
	}
	for i := range hb.Ended {
		er := &hb.Ended[i]
		name := "ended." + strconv.Itoa(i)
		fas.rejectIf(!utf8.ValidString(string(er.Task.job)), name+".task", textAllowed)
		fas.rejectIf(!utf8.ValidString(er.Checkpoint), name+".checkpoint", textAllowed)
		fas.rejectIf(er.Attempt < 0 || er.Attempt > maxAttempt, name+".attempt", "the number of an attempt")
	}
	if len(fas) > 0 {
		return &HeartbeatError{faults: fas}
	}
	return nil
}

// checkPresence adds a fault for each missing field that every worker sends. Labels may be
// empty.
func (hb *Heartbeat) checkPresence(fas *faults) {
	fas.rejectIf(hb.Incarnation.worker == "", "worker", presentAllowed)
	fas.rejectIf(hb.Incarnation.startedAt == 0, "startedAt", presentAllowed)
	fas.rejectIf(hb.Service == "", "service", presentAllowed)
	fas.rejectIf(hb.Centre == "", "centre", presentAllowed)
	fas.rejectIf(hb.Address == "", "address", presentAllowed)
	fas.rejectIf(hb.Version == "", "version", presentAllowed)
	fas.rejectIf(hb.Labels == nil, "labels", presentAllowed)
	fas.rejectIf(hb.Size.MilliCPU() == 0 || hb.Size.MemoryMB() == 0, "size", "processors and memory above 0")
}

// Descriptions of the limits in errors.
const (
	sizeLimits  = "1000000 processors, 1000000000000 MB and 1000000 accelerators"
	spanAllowed = "0 to 366 days"
	textAllowed = "UTF-8"
	// presentAllowed is that of a missing field.
	presentAllowed = "a value, the field is missing"
	nameAllowed    = "UTF-8 of at most 1024 bytes"
)

// validName reports whether the log can hold a name.
func validName(name string) bool { return len(name) <= maxName && utf8.ValidString(name) }

// validSize reports whether no dimension is negative or beyond the limits.
func validSize(size model.Resources) bool {
	return size.Valid() && size.FitsIn(model.NewResources(maxMilliCPU, maxMemoryMB, maxAccelerators))
}

// validSpan reports whether a duration is in the limits.
func validSpan(dur time.Duration) bool { return dur >= 0 && dur <= maxSpan }
