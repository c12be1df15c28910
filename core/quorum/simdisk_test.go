package quorum

import (
	"fmt"
	"slices"
)

// simDisk is a simulated data directory and its store. A crash loses the queued
// operations, except for a random prefix, and the partly received snapshot.
type simDisk struct {
	id      DiskID
	hard    HardState
	entries []Entry
	snap    Snapshot
	// data is the encoded state of snap.
	data []byte
	// partial holds the chunks received so far of another snapshot.
	partial []byte
	// logQueue and snapQueue hold the operations that are not on disk yet.
	logQueue  []diskOp
	snapQueue []diskOp
}

// diskOp is a queued write. reply reports its completion to the node.
type diskOp struct {
	write func()
	reply func()
}

// storedState returns the state that the store recovers at a start. If the log has
// another term at the index of the snapshot, the log is older than the snapshot
// and is discarded.
func (d *simDisk) storedState() StoredState {
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
		hard = HardState{term: d.snap.term}
	}
	return NewStoredState(hard, d.snap, ents)
}

// append writes the hard state and entries of a Persist. It panics if the entries
// leave a gap in the log.
func (d *simDisk) append(hard HardState, ents []Entry) {
	d.hard = hard
	for _, ent := range ents {
		d.entries = slices.DeleteFunc(d.entries, func(old Entry) bool { return old.index >= ent.index })
		if cnt := len(d.entries); cnt > 0 && d.entries[cnt-1].index+1 != ent.index {
			panic(fmt.Sprintf("gap in log: %d after %d", ent.index, d.entries[cnt-1].index))
		}
		d.entries = append(d.entries, ent)
	}
}

// save stores a snapshot unless it is older than the stored one.
func (d *simDisk) save(snap Snapshot, data []byte) {
	if snap.index >= d.snap.index {
		d.snap, d.data = snap, data
	}
}

// receive writes a chunk of a received snapshot. It panics if an earlier chunk is
// missing.
func (d *simDisk) receive(eff StoreChunk) {
	if uint64(len(d.partial)) < eff.offset {
		panic(fmt.Sprintf("chunk at offset %d, but %d bytes received", eff.offset, len(d.partial)))
	}
	d.partial = append(d.partial[:eff.offset:eff.offset], eff.data...)
	if eff.Last() {
		d.save(eff.snap, d.partial)
		d.partial = nil
	}
}
