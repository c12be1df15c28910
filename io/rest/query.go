package rest

import (
	"net/url"
	"strconv"

	"guavarail/core/event"
)

// EventQuery selects events. An event is selected if it matches all fields that
// are not empty.
type EventQuery struct {
	// After is the sequence number of the last event that the caller has received; 0
	// for none. Epoch is the EventList.Epoch with which it was received; empty means
	// the current one.
	After uint64
	Epoch string
	// Limit bounds the number of events; 0 means DefaultEvents.
	Limit   int
	Job     string
	Task    string
	Request string
	// VM matches the VM that an event is about, or that recorded it.
	VM     string
	Centre string
}

// DefaultEvents and MaxEvents are the default and the maximum of the number of
// events in one answer.
const (
	DefaultEvents = 1000
	MaxEvents     = event.MaxPageRecords
)

// Values returns the query parameters. It leaves out the empty fields.
func (que EventQuery) Values() url.Values {
	out := url.Values{}
	set := func(key, val string) {
		if val != "" {
			out.Set(key, val)
		}
	}
	if que.After > 0 {
		set("after", strconv.FormatUint(que.After, 10))
	}
	set("epoch", que.Epoch)
	if que.Limit > 0 {
		set("limit", strconv.Itoa(que.Limit))
	}
	set("job", que.Job)
	set("task", que.Task)
	set("request", que.Request)
	set("vm", que.VM)
	set("centre", que.Centre)
	return out
}

// QueryError reports invalid query parameters.
type QueryError struct{ faults []Fault }

// Faults returns the invalid parameters.
func (err *QueryError) Faults() []Fault { return append([]Fault(nil), err.faults...) }

// Error lists the invalid parameters and their valid values.
func (err *QueryError) Error() string {
	out := "query not accepted"
	for _, fa := range err.faults {
		out += "; " + fa.Field + ": use " + fa.Allowed
	}
	return out
}

// ParseEventQuery parses query parameters. Unknown parameters are invalid, so that a
// misspelt parameter does not select all events. The error is a *QueryError.
func ParseEventQuery(vals url.Values) (EventQuery, error) {
	que := EventQuery{Limit: DefaultEvents}
	textFields := map[string]*string{
		"epoch": &que.Epoch, "job": &que.Job, "task": &que.Task, "request": &que.Request, "vm": &que.VM, "centre": &que.Centre,
	}
	var faults []Fault
	for key := range vals {
		val := vals.Get(key)
		var err error
		switch dst := textFields[key]; {
		case dst != nil:
			*dst = val
		case key == "after":
			que.After, err = strconv.ParseUint(val, 10, 64)
		case key == "limit":
			que.Limit, err = strconv.Atoi(val)
			if que.Limit < 1 || que.Limit > MaxEvents {
				err = strconv.ErrRange
			}
		default:
			faults = append(faults, Fault{Field: key, Allowed: "after, epoch, limit, job, task, request, vm or centre"})
		}
		if err != nil {
			faults = append(faults, Fault{Field: key, Allowed: "a number; limit is 1 to " + strconv.Itoa(MaxEvents)})
		}
	}
	if len(faults) > 0 {
		return EventQuery{}, &QueryError{faults: faults}
	}
	return que, nil
}
