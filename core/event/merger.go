package event

import (
	"slices"

	"guavarail/core/model"
)

// Merger merges the pages of several VMs into one stream of records in causal
// order. It holds a record back until the watermark of every reachable VM has
// reached its stamp.
type Merger struct {
	// cursors has an entry for each VM that is read.
	cursors map[model.VMID]*cursor
	// pending has the records held back, in the order of Record.Compare.
	pending []Record
}

// cursor is the progress of reading one VM.
type cursor struct {
	pos Position
	// watermark is a stamp below those of all records of the VM that were not read yet.
	watermark Stamp
	// unreachable is true if the last read failed. The watermark is then ignored.
	unreachable bool
}

// NewMerger returns a merger of the pages of the given VMs.
func NewMerger(vms ...model.VMID) *Merger {
	mer := &Merger{cursors: map[model.VMID]*cursor{}}
	for _, vm := range vms {
		mer.cursors[vm] = &cursor{}
	}
	return mer
}

// Position returns the position from which to read the next page of vm.
func (mer *Merger) Position(vm model.VMID) Position {
	if cur := mer.cursors[vm]; cur != nil {
		return cur.pos
	}
	return Position{}
}

// SetUnreachable marks vm as unreachable until its next page, so that it does not
// hold records back. Its records are returned out of order if they arrive after
// later ones of other VMs.
func (mer *Merger) SetUnreachable(vm model.VMID) {
	if cur := mer.cursors[vm]; cur != nil {
		cur.unreachable = true
	}
}

// Add adds a page and returns the records that are no longer held back, in causal
// order. Pages of unknown VMs and records that were added before are ignored.
func (mer *Merger) Add(pa Page) []Record {
	cur := mer.cursors[pa.vm]
	if cur == nil || pa.next.before(cur.pos) {
		return mer.popReady()
	}
	for _, rec := range pa.records {
		if pa.next.epoch != cur.pos.epoch || rec.seq > cur.pos.seq {
			mer.pending = append(mer.pending, rec)
		}
	}
	slices.SortFunc(mer.pending, Record.Compare)
	cur.pos, cur.unreachable = pa.next, false
	switch {
	case !pa.more:
		cur.watermark = max(cur.watermark, pa.watermark)
	case len(pa.records) > 0:
		// The records of a ring are nearly in the order of their stamps, so
		// those after this page can be at most maxRecordDelay earlier than its
		// last record.
		last := pa.records[len(pa.records)-1].stamp
		cur.watermark = max(cur.watermark, min(pa.watermark, last.Sub(maxRecordDelay)))
	}
	return mer.popReady()
}

// Flush returns and removes all records held back, in causal order.
func (mer *Merger) Flush() []Record {
	out := mer.pending
	mer.pending = nil
	return out
}

// popReady removes and returns the records up to the lowest watermark of the
// reachable VMs.
func (mer *Merger) popReady() []Record {
	low := ^Stamp(0)
	for _, cur := range mer.cursors {
		if !cur.unreachable {
			low = min(low, cur.watermark)
		}
	}
	num := 0
	for num < len(mer.pending) && mer.pending[num].stamp <= low {
		num++
	}
	out := mer.pending[:num:num]
	mer.pending = mer.pending[num:]
	return out
}
