package sched

import "guavarail/core/model"

// A worker that sends no reports is marked as silent in the State. While it is
// marked, no leader renews a task lease on the worker or sends it a start order.
// The leader applies the mark before any other VM, so a lease on a marked worker
// began before this VM learned of the mark. As a new leader, it counts the lease
// from that time and not from the time at which it became the leader.

// silenceNote is when this VM learned of a mark, by its own clock.
type silenceNote struct {
	// serial is that of the mark in State.silent.
	serial uint64
	since  model.Instant
}

// markSilent marks a worker that sends no reports.
func (st *State) markSilent(op *Op) Verdict {
	_, idx, ok := st.worker(op.worker)
	if !ok {
		return UnknownWorker
	}
	if st.isSilent(idx) {
		return Repeated
	}
	st.addSilent(idx)
	return Accepted
}

// clearSilent removes the mark of a worker that reports again.
func (st *State) clearSilent(op *Op) Verdict {
	_, idx, ok := st.worker(op.worker)
	if !ok {
		return UnknownWorker
	}
	if !st.isSilent(idx) {
		return Repeated
	}
	delete(st.silent, idx)
	return Accepted
}

func (st *State) addSilent(idx int32) {
	if st.silent == nil {
		st.silent = map[int32]uint64{}
	}
	st.silentMarks++
	st.silent[idx] = st.silentMarks
}

func (st *State) isSilent(idx int32) bool {
	_, ok := st.silent[idx]
	return ok
}

// noteSilence notes the time for marks that are new since the last call. Every
// VM does so at each tick, because any may be the next leader.
func (pl *Planner[P]) noteSilence(now model.Instant) {
	for idx := range pl.silences {
		if !pl.st.isSilent(idx) {
			delete(pl.silences, idx)
		}
	}
	for idx, serial := range pl.st.silent {
		if pl.silences[idx].serial == serial {
			continue
		}
		if pl.silences == nil {
			pl.silences = map[int32]silenceNote{}
		}
		pl.silences[idx] = silenceNote{serial: serial, since: now}
	}
}

// leasedSince returns a time after which no lease on the worker was renewed by
// an earlier leader; now if the worker is not marked as silent.
func (pl *Planner[P]) leasedSince(now model.Instant, idx int32) model.Instant {
	if note, ok := pl.silences[idx]; ok && pl.st.isSilent(idx) {
		return note.since
	}
	return now
}

// planSilence returns the operations that mark workers with attempts that send
// no reports, and that remove the marks of workers that report again. The
// operations must be part of the next proposal.
func (pl *Planner[P]) planSilence(now model.Instant) []Op {
	var ops []Op
	for idx := range pl.statuses {
		wst, wk := &pl.statuses[idx], pl.st.workers[idx]
		silent := pl.st.isSilent(int32(idx))
		switch {
		case silent && wst.reporting:
			ops = append(ops, ClearSilent(wk.id))
		case !silent && len(wst.attempts) > 0 && now.Sub(max(wst.lastReport, pl.leadingSince)) > reportTimeout:
			ops = append(ops, MarkSilent(wk.id))
		}
	}
	return ops
}

// silenceChanged updates the placement index after a mark was set or removed.
func (pl *Planner[P]) silenceChanged(op *Op) {
	if idx, ok := pl.st.workerIndexes[op.worker]; ok {
		pl.ensureStatus(idx)
		pl.updateIndex(idx)
	}
}
