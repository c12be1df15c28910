// Package event holds the event log of each VM and merges the logs of all VMs in
// causal order: causes before their effects.
//
// A Stamp of a hybrid logical clock orders the events. A Record is an event with its
// stamp and its sequence number in the Log of the VM, a ring buffer that overwrites
// its oldest records. Readers read a log in pages, each from the Position at which the
// page before ended. The watermark of a Page is a stamp up to which no record of the
// VM is still to come, and Merger uses it to return records in causal order.
package event

import "guavarail/core/model"

// Kind is the name of a type of event in camel case, such as taskStarted.
type Kind string

// Subject identifies what an event is about. Fields that do not apply are empty.
type Subject struct {
	Centre  model.CentreID
	VM      model.VMID
	Job     model.JobID
	Task    string
	Request string
	Worker  model.WorkerID
	Backend model.BackendID
}

// Field is a detail of an event as a key and a value.
type Field struct {
	key   string
	value string
}

// NewField returns a field.
func NewField(key, value string) Field { return Field{key: key, value: value} }

// Key returns the key, in camel case.
func (fi Field) Key() string { return fi.key }

// Value returns the value.
func (fi Field) Value() string { return fi.value }

// Event describes something that happened on a VM, such as the start of a task.
type Event struct {
	kind    Kind
	subject Subject
	fields  []Field
}

// New returns an event of the given kind.
func New(kind Kind, sub Subject, fis ...Field) Event {
	return Event{kind: kind, subject: sub, fields: fis}
}

// Kind returns the name of the type of the event.
func (ev Event) Kind() Kind { return ev.kind }

// Subject returns what the event is about.
func (ev Event) Subject() Subject { return ev.subject }

// Fields returns a copy of the fields.
func (ev Event) Fields() []Field { return append([]Field(nil), ev.fields...) }
