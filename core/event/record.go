package event

import (
	"cmp"
	"slices"
	"strings"

	"guavarail/core/model"
)

const (
	// maxFields limits the fields of one event.
	maxFields = 32
	// maxTextBytes limits the kind and each key, value and part of the subject, so
	// that one event cannot fill a message frame between VMs.
	maxTextBytes = 1024
	// recordOverheadBytes is the assumed size of an encoded record without its
	// texts.
	recordOverheadBytes = 64
)

// Record is an event with its stamp and its sequence number in the log of a VM.
type Record struct {
	stamp Stamp
	vm    model.VMID
	// seq numbers the records of one log from 1.
	seq uint64
	ev  Event
}

// NewRecord returns the record with sequence number seq of the log of vm.
func NewRecord(stamp Stamp, vm model.VMID, seq uint64, ev Event) Record {
	return Record{stamp: stamp, vm: vm, seq: seq, ev: ev}
}

// Stamp returns the value of the hybrid clock of the VM when the event happened.
func (rec Record) Stamp() Stamp { return rec.stamp }

// VM returns the VM that recorded the event.
func (rec Record) VM() model.VMID { return rec.vm }

// Seq returns the sequence number of the record in the log of its VM.
func (rec Record) Seq() uint64 { return rec.seq }

// Event returns the event.
func (rec Record) Event() Event { return rec.ev }

// Compare orders records by stamp, which puts causes before effects, and then by
// VM and sequence number, so that the order is the same on all VMs.
func (rec Record) Compare(other Record) int {
	return cmp.Or(cmp.Compare(rec.stamp, other.stamp), cmp.Compare(rec.vm, other.vm), cmp.Compare(rec.seq, other.seq))
}

// size returns an estimate of the encoded size of the record in bytes, with 4 bytes
// of overhead for each field.
func (rec Record) size() int {
	sub := rec.ev.subject
	total := recordOverheadBytes + len(rec.vm) + len(rec.ev.kind) + len(sub.Centre) + len(sub.VM) + len(sub.Job) +
		len(sub.Task) + len(sub.Request) + len(sub.Worker) + len(sub.Backend)
	for _, fi := range rec.ev.fields {
		total += 4 + len(fi.key) + len(fi.value)
	}
	return total
}

// Merge returns the records of several lists in causal order, without the duplicates:
// records with equal stamp, VM and sequence number.
func Merge(lists ...[]Record) []Record {
	all := slices.Concat(lists...)
	slices.SortFunc(all, Record.Compare)
	return slices.CompactFunc(all, func(one, two Record) bool { return one.Compare(two) == 0 })
}

// truncateTexts returns ev with its first maxFields fields and with all texts
// truncated to maxTextBytes.
func truncateTexts(ev Event) Event {
	sub := &ev.subject
	sub.Centre, sub.VM, sub.Job = truncate(sub.Centre), truncate(sub.VM), truncate(sub.Job)
	sub.Task, sub.Request, sub.Worker, sub.Backend = truncate(sub.Task), truncate(sub.Request), truncate(sub.Worker), truncate(sub.Backend)
	ev.kind = truncate(ev.kind)
	fis := make([]Field, 0, min(len(ev.fields), maxFields))
	for _, fi := range ev.fields[:min(len(ev.fields), maxFields)] {
		fis = append(fis, Field{key: truncate(fi.key), value: truncate(fi.value)})
	}
	ev.fields = fis
	return ev
}

// truncate shortens text to maxTextBytes without splitting a UTF-8 character. The result
// does not keep the rest in memory.
func truncate[T ~string](text T) T {
	if len(text) <= maxTextBytes {
		return text
	}
	end := maxTextBytes
	for end > 0 && text[end]&0xC0 == 0x80 {
		end--
	}
	return T(strings.Clone(string(text[:end])))
}
