package event

import (
	"strings"

	"guavarail/core/model"
)

// Filter selects the records that match all of its fields that are set. The zero
// value selects all records.
type Filter struct {
	Kind Kind
	// Job selects the events about the job and those about its tasks.
	Job     model.JobID
	Task    string
	Request string
	// VM selects the events about the VM and the events that it recorded.
	VM      model.VMID
	Centre  model.CentreID
	Worker  model.WorkerID
	Backend model.BackendID
	// Since excludes records with a lower stamp; 0 excludes none.
	Since Stamp
}

// Matches reports whether the filter selects rec.
func (fil Filter) Matches(rec Record) bool {
	sub := rec.ev.subject
	return rec.stamp >= fil.Since &&
		matches(fil.Kind, rec.ev.kind) &&
		(matches(fil.Job, sub.Job) || strings.HasPrefix(sub.Task, string(fil.Job)+"/")) &&
		matches(fil.Task, sub.Task) &&
		matches(fil.Request, sub.Request) &&
		(matches(fil.VM, sub.VM) || fil.VM == rec.vm) &&
		matches(fil.Centre, sub.Centre) &&
		matches(fil.Worker, sub.Worker) &&
		matches(fil.Backend, sub.Backend)
}

// matches reports whether want, a field of a filter, is empty or equal to got.
func matches[T ~string](want, got T) bool { return want == "" || want == got }
