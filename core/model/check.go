package model

import (
	"strconv"
	"strings"
	"time"
)

const (
	maxNameLength = 63
	minDeadline   = 10 * time.Millisecond
	maxDeadline   = 10 * time.Minute
	maxQueue      = 100
)

// Fault names one field with a value that is not allowed.
type Fault struct {
	field   string
	allowed string
}

// NewFault returns a fault of field; allowed says what would be accepted.
func NewFault(field, allowed string) Fault { return Fault{field: field, allowed: allowed} }

// Field returns the name of the field.
func (fa Fault) Field() string { return fa.field }

// Allowed says what the field accepts.
func (fa Fault) Allowed() string { return fa.allowed }

// PresetError reports all faults of a preset.
type PresetError struct {
	faults []Fault
}

// Faults returns the faults in field order.
func (err *PresetError) Faults() []Fault { return append([]Fault(nil), err.faults...) }

// Error lists every fault.
func (err *PresetError) Error() string {
	out := make([]string, 0, len(err.faults))
	for _, fa := range err.faults {
		out = append(out, fa.field+": use "+fa.allowed)
	}
	return "preset not accepted: " + strings.Join(out, "; ")
}

func checkPreset(spec PresetSpec) []Fault {
	var fas []Fault
	fail := func(bad bool, field, allowed string) {
		if bad {
			fas = append(fas, NewFault(field, allowed))
		}
	}
	fail(!ValidName(spec.Name), "name", NameAllowed)
	fail(outside(spec.Deadline), "deadlineMs", "10 to 600000")
	fail(outside(spec.MaxRequest), "maxRequestMs", "10 to 600000")
	deadline, longest := orDefault(spec.Deadline, DefaultDeadline), orDefault(spec.MaxRequest, DefaultMaxRequest)
	fail(deadline > longest, "deadlineMs", "at most maxRequestMs ("+strconv.FormatInt(longest.Milliseconds(), 10)+")")
	fail(spec.QueuePerSlot < 0 || spec.QueuePerSlot > maxQueue, "queuePerSlot", "1 to 100")
	fail(spec.BatchSharePercent < 0 || spec.BatchSharePercent > maxBatchSharePercent, "batchSharePercent", "1 to 100")
	fail(spec.Drain > DrainCheckpoint, "drain", "finish or checkpoint")
	sers := map[ServiceID]bool{}
	for _, sp := range spec.Services {
		name := "services." + string(sp.service)
		fail(!ValidName(string(sp.service)), name, NameAllowed)
		fail(sers[sp.service], name, "each service once")
		fail(outside(sp.tailTarget), name+".tailTargetMs", "10 to 600000")
		fail(sp.weight < 0, name+".weight", "1 or more")
		sers[sp.service] = true
	}
	teams := map[TeamID]bool{}
	for _, qu := range spec.Quotas {
		name := "quotas." + string(qu.team)
		fail(!ValidName(string(qu.team)), name, NameAllowed)
		fail(teams[qu.team], name, "each team once")
		fail(!qu.limit.Valid(), name+".limit", "amounts of 0 or more")
		fail(qu.weight < 0, name+".weight", "1 or more")
		teams[qu.team] = true
	}
	return fas
}

// outside reports whether a duration that was given lies outside the range
// that deadlines and targets may have.
func outside(dur time.Duration) bool {
	return dur != 0 && (dur < minDeadline || dur > maxDeadline)
}

// NameAllowed says what ValidName accepts, for faults that name a field.
const NameAllowed = "1 to 63 lower-case letters, digits and dashes"

// ValidName reports whether name is made of 1 to 63 lower-case letters, digits
// and dashes.
func ValidName(name string) bool {
	if name == "" || len(name) > maxNameLength {
		return false
	}
	for _, ch := range name {
		if (ch < 'a' || ch > 'z') && (ch < '0' || ch > '9') && ch != '-' {
			return false
		}
	}
	return true
}
