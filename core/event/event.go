// Package event keeps the event log of a VM, and orders the events of all VMs so
// that causes come before their effects.
package event

import "guavarail/core/model"

// Kind names a type of event in camel case, such as taskStarted.
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

// Key returns the camel case key.
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

// Kind returns the type of the event.
func (ev Event) Kind() Kind { return ev.kind }

// Subject returns what the event is about.
func (ev Event) Subject() Subject { return ev.subject }

// Fields returns a copy of the fields.
func (ev Event) Fields() []Field { return append([]Field(nil), ev.fields...) }
