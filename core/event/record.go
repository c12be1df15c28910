package event

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

const (
	maxFields = 32
	// maxText bounds keys, values and subjects, so that one event cannot fill
	// a frame.
	maxText = 1024
	// baseSize is the assumed size of a record on the wire without its texts.
	baseSize = 64
)

// Record is one event with its place on the time line.
type Record struct {
	stamp Stamp
	vm    model.VMID
	// seq numbers the records of one ring from 1.
	seq uint64
	ev  Event
}

// NewRecord returns the record with number seq of the ring of vm.
func NewRecord(stamp Stamp, vm model.VMID, seq uint64, ev Event) Record {
	return Record{stamp: stamp, vm: vm, seq: seq, ev: ev}
}

// Stamp returns the hybrid clock of the VM when the event happened.
func (rec Record) Stamp() Stamp { return rec.stamp }

// VM returns the VM that recorded the event.
func (rec Record) VM() model.VMID { return rec.vm }

// Seq returns the number of the record in the ring of its VM.
func (rec Record) Seq() uint64 { return rec.seq }

// Event returns the event.
func (rec Record) Event() Event { return rec.ev }

// Compare orders records by stamp, which puts causes before effects, and then
// by VM and number, so that all VMs show the same order.
func (rec Record) Compare(other Record) int {
	return cmp.Or(cmp.Compare(rec.stamp, other.stamp), cmp.Compare(rec.vm, other.vm), cmp.Compare(rec.seq, other.seq))
}

// size estimates the bytes of the record on the wire.
func (rec Record) size() int {
	sub := rec.ev.subject
	num := baseSize + len(rec.vm) + len(rec.ev.kind) + len(sub.Centre) + len(sub.VM) + len(sub.Job) +
		len(sub.Task) + len(sub.Request) + len(sub.Worker) + len(sub.Backend)
	for _, fi := range rec.ev.fields {
		num += 4 + len(fi.key) + len(fi.value)
	}
	return num
}

// Merge returns the records of several rings in causal order, each once.
func Merge(lists ...[]Record) []Record {
	all := slices.Concat(lists...)
	slices.SortFunc(all, Record.Compare)
	return slices.CompactFunc(all, func(one, two Record) bool { return one.Compare(two) == 0 })
}

// bounded returns ev with its texts cut to the bounds.
func bounded(ev Event) Event {
	sub := &ev.subject
	sub.Centre, sub.VM, sub.Job = cut(sub.Centre), cut(sub.VM), cut(sub.Job)
	sub.Task, sub.Request, sub.Worker, sub.Backend = cut(sub.Task), cut(sub.Request), cut(sub.Worker), cut(sub.Backend)
	ev.kind = cut(ev.kind)
	fis := make([]Field, 0, min(len(ev.fields), maxFields))
	for _, fi := range ev.fields[:min(len(ev.fields), maxFields)] {
		fis = append(fis, Field{key: cut(fi.key), value: cut(fi.value)})
	}
	ev.fields = fis
	return ev
}

// cut shortens text to maxText bytes without a partial character at its end.
func cut[T ~string](text T) T {
	if len(text) <= maxText {
		return text
	}
	end := maxText
	for end > 0 && text[end]&0xC0 == 0x80 {
		end--
	}
	return text[:end]
}
