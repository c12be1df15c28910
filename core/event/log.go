package event

import (
	"cmp"
	"time"

	"guavarail/core/model"
)

// Limits on the number of records of one page.
const (
	DefaultPageRecords = 500
	MaxPageRecords     = 2000
)

const (
	// maxPageBytes keeps the encoded page far below the largest message frame
	// between VMs. A page ends with the record with which it reaches this size.
	maxPageBytes = 1 << 20
	// maxRecordDelay is the longest time from the stamp of an event to the append of
	// its record to the log. The watermark of a page is earlier than the clock by
	// this much, so that records which are still to come sort after it.
	maxRecordDelay = 100 * time.Millisecond
)

// Position is the position of a reader in the log of a VM: directly after a record.
// The zero value is before the oldest record that the log still holds.
type Position struct {
	epoch Stamp
	// seq is the sequence number of the last record that was read; 0 if there is
	// none.
	seq uint64
}

// NewPosition returns the position after record seq of the log that was started at
// epoch.
func NewPosition(epoch Stamp, seq uint64) Position { return Position{epoch: epoch, seq: seq} }

// Epoch returns the stamp at which the log was started. It identifies the
// incarnation of the VM process, which loses its log when it ends.
func (pos Position) Epoch() Stamp { return pos.epoch }

// Seq returns the sequence number of the last record that was read; 0 if there is
// none.
func (pos Position) Seq() uint64 { return pos.seq }

// before reports whether pos is earlier than other among the records of one VM, also
// across restarts.
func (pos Position) before(other Position) bool {
	return cmp.Or(cmp.Compare(pos.epoch, other.epoch), cmp.Compare(pos.seq, other.seq)) < 0
}

// Page is the result of one read from the log of a VM.
type Page struct {
	vm        model.VMID
	records   []Record
	next      Position
	lost      uint64
	watermark Stamp
	more      bool
}

// NewPage returns a page; see the accessors for its parts.
func NewPage(vm model.VMID, recs []Record, next Position, lost uint64, watermark Stamp, more bool) Page {
	return Page{vm: vm, records: recs, next: next, lost: lost, watermark: watermark, more: more}
}

// VM returns the VM whose log was read.
func (pa Page) VM() model.VMID { return pa.vm }

// Records returns a copy of the records that the filter selected, oldest first.
func (pa Page) Records() []Record { return append([]Record(nil), pa.records...) }

// Next returns the position from which to read the next page.
func (pa Page) Next() Position { return pa.next }

// Lost returns the number of records after the position that were overwritten before
// this read, whether or not the filter would have selected them; 0 for a read from
// the zero position.
func (pa Page) Lost() uint64 { return pa.lost }

// Watermark returns a stamp that is lower than those of all records appended to the
// log after this read.
func (pa Page) Watermark() Stamp { return pa.watermark }

// More reports whether the log has records after the page, whether or not the filter
// selects them.
func (pa Page) More() bool { return pa.more }

// Append is the input that appends an event to a Log.
type Append struct {
	// Stamp is the value of the hybrid clock of the VM when the event happened.
	Stamp Stamp
	Event Event
}

// Log is the event log of one VM. It implements model.Machine: the effect of each
// input is the new record. The zero value is an empty log of DefaultCapacity for
// a VM without a name.
type Log struct {
	vm model.VMID
	// epoch distinguishes the log from those of earlier incarnations of the VM process.
	epoch Stamp
	ring  Ring[Record]
}

// NewLog returns an empty log that holds the newest capacity records, or
// DefaultCapacity if capacity is below 1. epoch is the stamp at the start of the VM
// process.
func NewLog(vm model.VMID, epoch Stamp, capacity int) *Log {
	return &Log{vm: vm, epoch: epoch, ring: NewRing[Record](capacity)}
}

// Step implements model.Machine.
func (lo *Log) Step(_ model.Instant, in Append) []Record {
	rec := Record{stamp: in.Stamp, vm: lo.vm, seq: lo.ring.Last() + 1, ev: truncateTexts(in.Event)}
	lo.ring.Add(rec)
	return []Record{rec}
}

// Page returns the records after pos that fil selects, at most limit of them; a
// limit below 1 means DefaultPageRecords. clock is the current value of the hybrid
// clock of the VM. A position with another epoch or beyond the last record stands
// before the first record of this log.
func (lo *Log) Page(pos Position, fil Filter, limit int, clock Stamp) Page {
	if limit < 1 {
		limit = DefaultPageRecords
	}
	limit = min(limit, MaxPageRecords)
	seq, sameEpoch := pos.seq, pos.epoch == lo.epoch
	if !sameEpoch || seq > lo.ring.Last() {
		seq = 0
	}
	pa := Page{vm: lo.vm, watermark: clock.Sub(maxRecordDelay)}
	if first := lo.ring.First(); seq+1 < first {
		// A reader that starts at the zero position has lost no records.
		if pos != (Position{}) {
			pa.lost = first - 1 - seq
		}
		seq = first - 1
	}
	var size int
	for seq < lo.ring.Last() && len(pa.records) < limit && size < maxPageBytes {
		seq++
		if rec, _ := lo.ring.At(seq); fil.Matches(rec) {
			pa.records = append(pa.records, rec)
			size += rec.size()
		}
	}
	pa.next, pa.more = Position{epoch: lo.epoch, seq: seq}, seq < lo.ring.Last()
	return pa
}
