package event

import (
	"slices"

	"guavarail/core/model"
)

// Follower merges the pages of several VMs into one stream of records in causal
// order. It holds a record back until the watermark of every reachable VM has
// passed it.
type Follower struct {
	// cursors has an entry for each VM that is read.
	cursors map[model.VMID]*cursor
	// pending has the records held back, in causal order.
	pending []Record
}

// cursor is the progress of reading one VM.
type cursor struct {
	pos Position
	// settled is the watermark: all records up to this stamp were read.
	settled Stamp
	// unreachable is true if the last read failed. The watermark is then ignored.
	unreachable bool
}

// NewFollower returns a follower for the given VMs.
func NewFollower(vms ...model.VMID) *Follower {
	fol := &Follower{cursors: map[model.VMID]*cursor{}}
	for _, vm := range vms {
		fol.cursors[vm] = &cursor{}
	}
	return fol
}

// Position returns the position from which to read the next page of vm.
func (fol *Follower) Position(vm model.VMID) Position {
	if cur := fol.cursors[vm]; cur != nil {
		return cur.pos
	}
	return Position{}
}

// Absent marks vm as unreachable until its next page, so that it does not hold
// records back. Its records are returned out of order if they arrive after later
// ones of other VMs.
func (fol *Follower) Absent(vm model.VMID) {
	if cur := fol.cursors[vm]; cur != nil {
		cur.unreachable = true
	}
}

// Add adds a page and returns the records that are no longer held back, in causal
// order. Pages of other VMs and pages that were added before are ignored.
func (fol *Follower) Add(pa Page) []Record {
	cur := fol.cursors[pa.vm]
	if cur == nil || pa.next.before(cur.pos) {
		return fol.popReady()
	}
	for _, rec := range pa.records {
		if pa.next.epoch != cur.pos.epoch || rec.seq > cur.pos.seq {
			fol.pending = append(fol.pending, rec)
		}
	}
	slices.SortFunc(fol.pending, Record.Compare)
	cur.pos, cur.unreachable = pa.next, false
	switch {
	case !pa.more:
		cur.settled = max(cur.settled, pa.settled)
	case len(pa.records) > 0:
		// The records of a ring are nearly in the order of their stamps, so
		// those after this page can be at most maxRecordDelay earlier than its
		// last record.
		last := pa.records[len(pa.records)-1].stamp
		cur.settled = max(cur.settled, min(pa.settled, last.Less(maxRecordDelay)))
	}
	return fol.popReady()
}

// Rest returns and removes all records held back, in causal order.
func (fol *Follower) Rest() []Record {
	out := fol.pending
	fol.pending = nil
	return out
}

// popReady removes and returns the records up to the lowest watermark of the
// reachable VMs.
func (fol *Follower) popReady() []Record {
	low := ^Stamp(0)
	for _, cur := range fol.cursors {
		if !cur.unreachable {
			low = min(low, cur.settled)
		}
	}
	num := 0
	for num < len(fol.pending) && fol.pending[num].stamp <= low {
		num++
	}
	out := fol.pending[:num:num]
	fol.pending = fol.pending[num:]
	return out
}
