package event

import (
	"slices"

	"guavarail/core/model"
)

// Follower puts the pages of several VMs in causal order as they arrive. It
// holds a record back until every VM that answers has settled beyond it.
type Follower struct {
	// curs has an entry for each VM that is followed.
	curs map[model.VMID]*cursor
	// held is in causal order.
	held []Record
}

type cursor struct {
	pos     Position
	settled Stamp
	// absent VMs hold no records back.
	absent bool
}

// NewFollower returns a follower of the given VMs.
func NewFollower(vms ...model.VMID) *Follower {
	fol := &Follower{curs: map[model.VMID]*cursor{}}
	for _, vm := range vms {
		fol.curs[vm] = &cursor{}
	}
	return fol
}

// Position returns where the next page of vm starts.
func (fol *Follower) Position(vm model.VMID) Position {
	if cur := fol.curs[vm]; cur != nil {
		return cur.pos
	}
	return Position{}
}

// Absent notes that vm did not answer. Its records are shown out of order if
// they arrive after later ones of other VMs.
func (fol *Follower) Absent(vm model.VMID) {
	if cur := fol.curs[vm]; cur != nil {
		cur.absent = true
	}
}

// Add takes a page and returns the records that are now in order. Pages of VMs
// that are not followed and repeated pages are ignored.
func (fol *Follower) Add(pa Page) []Record {
	cur := fol.curs[pa.vm]
	if cur == nil || pa.next.before(cur.pos) {
		return fol.ready()
	}
	for _, rec := range pa.records {
		if pa.next.epoch != cur.pos.epoch || rec.seq > cur.pos.seq {
			fol.held = append(fol.held, rec)
		}
	}
	slices.SortFunc(fol.held, Record.Compare)
	cur.pos, cur.absent = pa.next, false
	switch {
	case !pa.more:
		cur.settled = max(cur.settled, pa.settled)
	case len(pa.records) > 0:
		// Records of a ring arrive nearly in the order of their stamps, so the
		// rest of the ring settles from the last one of the page on.
		last := pa.records[len(pa.records)-1].stamp
		cur.settled = max(cur.settled, min(pa.settled, last.Less(settle)))
	}
	return fol.ready()
}

// Rest returns all records that are held back, in causal order.
func (fol *Follower) Rest() []Record {
	out := fol.held
	fol.held = nil
	return out
}

// ready takes the records up to the lowest settled stamp.
func (fol *Follower) ready() []Record {
	low := ^Stamp(0)
	for _, cur := range fol.curs {
		if !cur.absent {
			low = min(low, cur.settled)
		}
	}
	num := 0
	for num < len(fol.held) && fol.held[num].stamp <= low {
		num++
	}
	out := fol.held[:num:num]
	fol.held = fol.held[num:]
	return out
}
