package model

import (
	"strconv"
	"strings"
	"time"
)

const (
	// maxNameLength is in bytes.
	maxNameLength = 63
	// minDeadline and maxDeadline bound deadlines, maximum request times and latency
	// targets.
	minDeadline = 10 * time.Millisecond
	maxDeadline = 10 * time.Minute
	// maxQueuePerSlot is in requests.
	maxQueuePerSlot = 100
)

// Fault describes one field of a rejected preset, job or other document whose
// value is not allowed.
type Fault struct {
	field   string
	allowed string
}

// NewFault returns a fault of the named field; allowed describes the values that
// the field accepts.
func NewFault(field, allowed string) Fault { return Fault{field: field, allowed: allowed} }

// Field returns the name of the field.
func (fa Fault) Field() string { return fa.field }

// Allowed describes the values that the field accepts.
func (fa Fault) Allowed() string { return fa.allowed }

// PresetError reports all faults of a rejected preset.
type PresetError struct {
	faults []Fault
}

// Faults returns a copy of the faults, in a fixed order of the fields. A field may
// have several.
func (err *PresetError) Faults() []Fault { return append([]Fault(nil), err.faults...) }

// Error returns a message that lists all faults.
func (err *PresetError) Error() string {
	out := make([]string, 0, len(err.faults))
	for _, fa := range err.faults {
		out = append(out, fa.field+": use "+fa.allowed)
	}
	return "preset not accepted: " + strings.Join(out, "; ")
}

// checkPreset returns the faults of spec, with the field names of the API. It
// checks a zero value as the default that it means.
func checkPreset(spec PresetSpec) []Fault {
	var faults []Fault
	failIf := func(invalid bool, field, allowed string) {
		if invalid {
			faults = append(faults, NewFault(field, allowed))
		}
	}
	failIf(!ValidName(spec.Name), "name", NameAllowed)
	failIf(outOfRange(spec.Deadline), "deadlineMs", "10 to 600000")
	failIf(outOfRange(spec.MaxRequest), "maxRequestMs", "10 to 600000")
	deadline, maxRequest := orDefault(spec.Deadline, DefaultDeadline), orDefault(spec.MaxRequest, DefaultMaxRequest)
	failIf(deadline > maxRequest, "deadlineMs", "at most maxRequestMs ("+strconv.FormatInt(maxRequest.Milliseconds(), 10)+")")
	failIf(spec.QueuePerSlot < 0 || spec.QueuePerSlot > maxQueuePerSlot, "queuePerSlot", "1 to 100")
	failIf(spec.BatchSharePercent < 0 || spec.BatchSharePercent > maxBatchSharePercent, "batchSharePercent", "1 to 100")
	failIf(spec.Drain > DrainCheckpoint, "drain", "finish or checkpoint")
	seenServices := map[ServiceID]bool{}
	for _, sp := range spec.Services {
		name := "services." + string(sp.service)
		failIf(!ValidName(string(sp.service)), name, NameAllowed)
		failIf(seenServices[sp.service], name, "each service once")
		failIf(outOfRange(sp.tailTarget), name+".tailTargetMs", "10 to 600000")
		failIf(sp.weight < 0, name+".weight", "1 or more")
		seenServices[sp.service] = true
	}
	seenTeams := map[TeamID]bool{}
	for _, qu := range spec.Quotas {
		name := "quotas." + string(qu.team)
		failIf(!ValidName(string(qu.team)), name, NameAllowed)
		failIf(seenTeams[qu.team], name, "each team once")
		failIf(!qu.limit.Valid(), name+".limit", "amounts of 0 or more")
		failIf(qu.weight < 0, name+".weight", "1 or more")
		seenTeams[qu.team] = true
	}
	return faults
}

// outOfRange reports whether dur is set and outside the range from minDeadline to
// maxDeadline.
func outOfRange(dur time.Duration) bool {
	return dur != 0 && (dur < minDeadline || dur > maxDeadline)
}

// NameAllowed describes what ValidName accepts, for the Allowed text of a Fault.
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
