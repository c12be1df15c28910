package disk

import (
	"strconv"

	"guavarail/core/quorum"
)

// recoveredLog is the result of applying the records of a stored log in order.
type recoveredLog struct {
	hardState quorum.HardState
	entries   []quorum.Entry
}

// add applies one record. An entry replaces the entries with the same and higher
// indexes. It returns a GapError if entries are missing between the log and an entry.
func (rec *recoveredLog) add(hs quorum.HardState, ents []quorum.Entry) error {
	rec.hardState = hs
	for _, ent := range ents {
		if len(rec.entries) > 0 {
			first := rec.entries[0].Index()
			last := first + uint64(len(rec.entries)) - 1
			if ent.Index() > last+1 {
				return &GapError{before: last, after: ent.Index()}
			}
			if numKept := max(ent.Index(), first) - first; ent.Index() <= last {
				rec.entries = rec.entries[:numKept:numKept]
			}
		}
		rec.entries = append(rec.entries, ent)
	}
	return nil
}

// withSnapshot returns the stored state that consists of the newest snapshot and of the
// log's entries after it. A log whose entry at the snapshot's index has another term is
// dropped: the process ended after it had received the snapshot and before it had
// replaced the log. A hard state of a term before that of the snapshot is replaced by one
// with the snapshot's term and no vote. If entries are missing after the snapshot, the
// error is a GapError.
func (rec *recoveredLog) withSnapshot(snap quorum.Snapshot) (quorum.StoredState, error) {
	hs, ents := rec.hardState, rec.entries
	if snap.Term() > hs.Term() {
		hs = quorum.NewHardState(snap.Term(), "")
	}
	for len(ents) > 0 && ents[0].Index() <= snap.Index() {
		if ents[0].Index() == snap.Index() && ents[0].Term() != snap.Term() {
			ents = nil
			break
		}
		ents = ents[1:]
	}
	if len(ents) > 0 && ents[0].Index() != snap.Index()+1 {
		return quorum.StoredState{}, &GapError{before: snap.Index(), after: ents[0].Index()}
	}
	return quorum.NewStoredState(hs, snap, ents), nil
}

// GapError reports that entries are missing from a stored log.
type GapError struct {
	// before and after are the indexes of the entries on either side of the gap.
	before uint64
	after  uint64
}

// Error describes the failure.
func (err *GapError) Error() string {
	return "log has no entries between " + strconv.FormatUint(err.before, 10) + " and " +
		strconv.FormatUint(err.after, 10) + ", replace the voter"
}
