package event

import (
	"cmp"
	"time"

	"guavarail/core/model"
)

// Bounds of the records of one page.
const (
	DefaultPage = 500
	MaxPage     = 2000
)

const (
	// maxPageSize keeps a page far below the largest frame between VMs.
	maxPageSize = 1 << 20
	// settle is how long a record may be on its way to the ring after it was
	// stamped. Readers that follow the ring wait for it before they put records
	// of several VMs in order.
	settle = 100 * time.Millisecond
)

// Position is a place in the ring of a VM from which reading continues. The
// zero value is the beginning.
type Position struct {
	epoch Stamp
	seq   uint64
}

// NewPosition returns the position after record seq of the ring that was
// started at epoch.
func NewPosition(epoch Stamp, seq uint64) Position { return Position{epoch: epoch, seq: seq} }

// Epoch returns the start of the ring; a restarted VM has another one.
func (pos Position) Epoch() Stamp { return pos.epoch }

// Seq returns the number of the last record that was read.
func (pos Position) Seq() uint64 { return pos.seq }

// before reports whether pos lies before other in the history of one VM.
func (pos Position) before(other Position) bool {
	return cmp.Or(cmp.Compare(pos.epoch, other.epoch), cmp.Compare(pos.seq, other.seq)) < 0
}

// Page is a part of the ring of one VM.
type Page struct {
	vm      model.VMID
	records []Record
	next    Position
	lost    uint64
	settled Stamp
	more    bool
}

// NewPage returns a page; see the accessors for its parts.
func NewPage(vm model.VMID, recs []Record, next Position, lost uint64, settled Stamp, more bool) Page {
	return Page{vm: vm, records: recs, next: next, lost: lost, settled: settled, more: more}
}

// VM returns the VM whose ring it is.
func (pa Page) VM() model.VMID { return pa.vm }

// Records returns the selected records in the order of the ring.
func (pa Page) Records() []Record { return append([]Record(nil), pa.records...) }

// Next returns the position to continue from.
func (pa Page) Next() Position { return pa.next }

// Lost returns the number of records that were displaced before they were read.
func (pa Page) Lost() uint64 { return pa.lost }

// Settled returns the stamp up to which later pages bring no records.
func (pa Page) Settled() Stamp { return pa.settled }

// More reports whether the ring has records beyond the page.
func (pa Page) More() bool { return pa.more }

// Note asks a Log to record an event.
type Note struct {
	// Stamp was taken when the event happened.
	Stamp Stamp
	Event Event
}

// Log is the time line of one VM. It implements model.Machine; each input has
// its record as effect. The zero value works.
type Log struct {
	vm    model.VMID
	epoch Stamp
	ring  Ring[Record]
}

// NewLog returns an empty log. epoch is the stamp at the start of the VM.
func NewLog(vm model.VMID, epoch Stamp, capacity int) *Log {
	return &Log{vm: vm, epoch: epoch, ring: NewRing[Record](capacity)}
}

// Step implements model.Machine.
func (lo *Log) Step(_ model.Instant, in Note) []Record {
	rec := Record{stamp: in.Stamp, vm: lo.vm, seq: lo.ring.Last() + 1, ev: bounded(in.Event)}
	lo.ring.Add(rec)
	return []Record{rec}
}

// Page returns the records after pos that fil selects, at most limit of them.
// clock is the stamp of the VM now. A position of an earlier start of the VM
// means the beginning of the ring.
func (lo *Log) Page(pos Position, fil Filter, limit int, clock Stamp) Page {
	if limit < 1 {
		limit = DefaultPage
	}
	limit = min(limit, MaxPage)
	seq, known := pos.seq, pos.epoch == lo.epoch
	if !known || seq > lo.ring.Last() {
		seq = 0
	}
	pa := Page{vm: lo.vm, settled: clock.Less(settle)}
	if first := lo.ring.First(); seq+1 < first {
		// A reader without a position asks for what there is and lost nothing.
		if pos != (Position{}) {
			pa.lost = first - 1 - seq
		}
		seq = first - 1
	}
	var size int
	for seq < lo.ring.Last() && len(pa.records) < limit && size < maxPageSize {
		seq++
		if rec, _ := lo.ring.At(seq); fil.Matches(rec) {
			pa.records = append(pa.records, rec)
			size += rec.size()
		}
	}
	pa.next, pa.more = Position{epoch: lo.epoch, seq: seq}, seq < lo.ring.Last()
	return pa
}
