package sched

import (
	"guavarail/core/event"
	"guavarail/core/model"
)

// takeOver builds all leader-only state anew. Every lease counts as renewed
// now, because the previous leader may have renewed it until its own lease
// ended.
func (pl *Planner[P]) takeOver(now model.Instant) {
	pl.stepDown()
	pl.leading, pl.outSince, pl.started = true, now, now
	pl.recomputeTotals()
	for slot, wk := range pl.st.workers {
		pl.ensureStatus(int32(slot))
		for _, re := range wk.refs {
			pl.addAttempt(now, int32(slot), re)
		}
		// The previous leader may have sent the start orders.
		for i := range pl.statuses[slot].attempts {
			pl.statuses[slot].attempts[i].mayHaveRun = true
		}
	}
	pl.queue.rebuild(pl.st, now)
}

// stepDown forgets all leader-only state and lets the polls go.
func (pl *Planner[P]) stepDown() {
	for i := range pl.statuses {
		if pol := pl.statuses[i].poll; pol.open {
			pl.effects = append(pl.effects, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
		}
	}
	for _, pol := range pl.unregistered {
		pl.effects = append(pl.effects, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
	}
	*pl = Planner[P]{st: pl.st, policy: pl.policy, env: pl.env, serial: pl.serial, tag: pl.tag, effects: pl.effects}
}

// expireLeases closes silent workers and records the end of attempts whose lease
// has passed.
func (pl *Planner[P]) expireLeases(now model.Instant) {
	for slot := range pl.statuses {
		wst := &pl.statuses[slot]
		if wst.reporting && now.Sub(wst.lastReport) > reportTimeout {
			wst.reporting = false
			pl.updateIndex(int32(slot))
			pl.emit("workerSilent", event.Subject{Worker: pl.st.workers[slot].id})
		}
		if now.Before(wst.nextExpiry) || len(wst.attempts) == 0 {
			continue
		}
		wst.nextExpiry = now.Add(model.WithDrift(TaskLease))
		for i := range wst.attempts {
			lv := &wst.attempts[i]
			end := lv.leaseFrom.Add(model.WithDrift(TaskLease))
			if now.Before(end) && !lv.leaseExpired {
				wst.nextExpiry = min(wst.nextExpiry, end)
				continue
			}
			lv.leaseExpired = true
			if !lv.recordPending {
				lv.recordPending = true
				pl.reportOps = append(pl.reportOps, End(lv.ref.id(), lv.attempt, pl.st.workers[slot].id, Lost))
			}
		}
	}
}
