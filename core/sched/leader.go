package sched

import (
	"guavarail/core/event"
	"guavarail/core/model"
)

// becomeLeader rebuilds all leader-only state from the replicated state. A task
// lease counts as renewed now, because the previous leader may have renewed it
// until its own leader lease ended, except on a worker that is marked as silent.
func (pl *Planner[P]) becomeLeader(now model.Instant) {
	pl.stepDown()
	pl.noteSilence(now)
	pl.leading, pl.outSince, pl.leadingSince = true, now, now
	pl.recomputeTotals()
	for idx, wk := range pl.st.workers {
		pl.ensureStatus(int32(idx))
		for _, re := range wk.refs {
			pl.addAttempt(now, int32(idx), re)
		}
		// The previous leader may have sent the start orders, and they must not
		// be sent twice.
		for i := range pl.statuses[idx].attempts {
			pl.statuses[idx].attempts[i].mayHaveRun = true
		}
	}
	pl.queue.rebuild(pl.st, now)
}

// stepDown completes the open polls without leases or orders and discards all
// leader-only state.
func (pl *Planner[P]) stepDown() {
	for i := range pl.statuses {
		if pol := pl.statuses[i].poll; pol.open {
			pl.effects = append(pl.effects, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
		}
	}
	for _, pol := range pl.unregistered {
		pl.effects = append(pl.effects, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
	}
	*pl = Planner[P]{st: pl.st, policy: pl.policy, lastTick: pl.lastTick, serial: pl.serial, tag: pl.tag, silences: pl.silences, effects: pl.effects}
}

// expireLeases removes workers whose reports are overdue from the index and
// queues the end, as Lost, of attempts whose lease has expired.
func (pl *Planner[P]) expireLeases(now model.Instant) {
	for idx := range pl.statuses {
		wst := &pl.statuses[idx]
		if wst.reporting && now.Sub(wst.lastReport) > reportTimeout {
			wst.reporting = false
			pl.updateIndex(int32(idx))
			pl.emit("workerSilent", event.Subject{Worker: pl.st.workers[idx].id})
		}
		if now.Before(wst.nextExpiry) || len(wst.attempts) == 0 {
			continue
		}
		wst.nextExpiry = now.Add(model.WithDrift(TaskLease))
		for i := range wst.attempts {
			la := &wst.attempts[i]
			end := la.leaseFrom.Add(model.WithDrift(TaskLease))
			if now.Before(end) && !la.leaseExpired {
				wst.nextExpiry = min(wst.nextExpiry, end)
				continue
			}
			la.leaseExpired = true
			if !la.recordPending {
				la.recordPending = true
				pl.reportOps = append(pl.reportOps, End(la.ref.id(), la.attempt, pl.st.workers[idx].id, Lost))
			}
		}
	}
}
