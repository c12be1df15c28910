package quorum

import (
	"fmt"
	"slices"
)

// simDisk is what one data directory holds after a crash.
type simDisk struct {
	id      DiskID
	hard    Hard
	entries []Entry
	snap    Snapshot
	data    []byte
	piece   []byte
	// logQueue and snapQueue hold what is not on disk yet.
	logQueue  []diskOp
	snapQueue []diskOp
}

type diskOp struct {
	write  func()
	answer func()
}

// saved recovers as a store does: a log that contradicts the snapshot is older
// than it.
func (d *simDisk) saved() Saved {
	ents := slices.Clone(d.entries)
	for len(ents) > 0 && ents[0].index <= d.snap.index {
		if ents[0].index == d.snap.index && ents[0].term != d.snap.term {
			ents = nil
			break
		}
		ents = ents[1:]
	}
	d.entries = slices.Clone(ents)
	hard := d.hard
	if d.snap.term > hard.term {
		hard = Hard{term: d.snap.term}
	}
	return NewSaved(hard, d.snap, ents)
}

func (d *simDisk) append(hard Hard, ents []Entry) {
	d.hard = hard
	for _, ent := range ents {
		d.entries = slices.DeleteFunc(d.entries, func(old Entry) bool { return old.index >= ent.index })
		if cnt := len(d.entries); cnt > 0 && d.entries[cnt-1].index+1 != ent.index {
			panic(fmt.Sprintf("gap in log: %d after %d", ent.index, d.entries[cnt-1].index))
		}
		d.entries = append(d.entries, ent)
	}
}

func (d *simDisk) save(snap Snapshot, data []byte) {
	if snap.index >= d.snap.index {
		d.snap, d.data = snap, data
	}
}

func (d *simDisk) receive(eff StorePiece) {
	if uint64(len(d.piece)) < eff.offset {
		panic(fmt.Sprintf("piece at %d, have %d", eff.offset, len(d.piece)))
	}
	d.piece = append(d.piece[:eff.offset:eff.offset], eff.data...)
	if eff.Last() {
		d.save(eff.snap, d.piece)
		d.piece = nil
	}
}
