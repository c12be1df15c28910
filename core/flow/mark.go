package flow

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

// host is what the state knows of an incarnation of a worker that has runs.
type host struct {
	// runs counts the runs that may still be on the incarnation. It is above 0: the
	// host is dropped with the last run.
	runs int
	// silentTerm is the term of the leader that has marked the incarnation as silent,
	// 0 without a mark. That leader grants the incarnation no lease from before it
	// proposes the mark until it has applied the removal of the mark.
	silentTerm uint64
	// leaseLeft is how long the lease of a silent incarnation may have lasted, at
	// most, after the mark was proposed.
	leaseLeft time.Duration
	// leaseEnd is when the lease of a silent incarnation has certainly ended, unless
	// it was renewed since: leaseLeft after this VM got the mark. 0 means that this
	// VM does not know when it did. It is not replicated.
	leaseEnd model.Instant
}

// countRun adds by, 1 or -1, to the runs of an incarnation.
func (st *State) countRun(inc Incarnation, by int) {
	if st.hosts == nil {
		st.hosts = map[Incarnation]*host{}
	}
	ho, ok := st.hosts[inc]
	if !ok {
		ho = &host{}
		st.hosts[inc] = ho
	}
	ho.runs += by
	if ho.runs == 0 {
		delete(st.hosts, inc)
	}
}

// markSilent marks an incarnation that has runs as silent. The mark of a later
// leader stays.
func (st *State) markSilent(op Op) Verdict {
	ho, ok := st.hosts[op.incarnation]
	if !ok || op.term < ho.silentTerm {
		return Stale
	}
	ho.silentTerm, ho.leaseLeft, ho.leaseEnd = op.term, op.leaseLeft, 0
	st.undated = true
	return Accepted
}

// markHeard removes the mark of a silent incarnation.
func (st *State) markHeard(inc Incarnation) Verdict {
	ho, ok := st.hosts[inc]
	if !ok || ho.silentTerm == 0 {
		return Stale
	}
	ho.silentTerm, ho.leaseLeft, ho.leaseEnd = 0, 0, 0
	return Accepted
}

// dateMarks sets the ends of the leases of silent incarnations that this VM does
// not know yet, as if it got the marks now.
func (st *State) dateMarks(now model.Instant) {
	if !st.undated {
		return
	}
	st.undated = false
	for _, ho := range st.hosts {
		if ho.silentTerm > 0 && ho.leaseEnd == 0 {
			ho.leaseEnd = now.Add(ho.leaseLeft)
		}
	}
}

// SilenceRecord is the mark of a silent incarnation in a snapshot.
type SilenceRecord struct {
	Incarnation Incarnation
	// Term is that of the leader that set the mark, and LeaseLeft how long the lease
	// may have lasted, at most, after the mark was proposed.
	Term      uint64
	LeaseLeft time.Duration
}

// silences returns the marks of the silent incarnations, ordered by name.
func (st *State) silences() []SilenceRecord {
	var recs []SilenceRecord
	for inc, ho := range st.hosts {
		if ho.silentTerm > 0 {
			recs = append(recs, SilenceRecord{Incarnation: inc, Term: ho.silentTerm, LeaseLeft: ho.leaseLeft})
		}
	}
	slices.SortFunc(recs, func(a, b SilenceRecord) int {
		return cmp.Or(cmp.Compare(a.Incarnation.worker, b.Incarnation.worker), cmp.Compare(a.Incarnation.startedAt, b.Incarnation.startedAt))
	})
	return recs
}

// restoreSilence restores a mark from a snapshot.
func (st *State) restoreSilence(rec SilenceRecord) {
	st.markSilent(Silence(rec.Incarnation, rec.Term, rec.LeaseLeft))
}
