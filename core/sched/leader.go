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
	pl.recount()
	for slot, wk := range pl.st.workers {
		pl.ensure(int32(slot))
		for _, re := range wk.refs {
			pl.addLive(now, int32(slot), re)
		}
		// The previous leader may have sent the start orders.
		for i := range pl.statuses[slot].lives {
			pl.statuses[slot].lives[i].spent = true
		}
	}
	pl.queue.rebuild(pl.st, now)
}

// stepDown forgets all leader-only state and lets the polls go.
func (pl *Planner[P]) stepDown() {
	for i := range pl.statuses {
		if pol := pl.statuses[i].poll; pol.open {
			pl.out = append(pl.out, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
		}
	}
	for _, pol := range pl.newcomers {
		pl.out = append(pl.out, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
	}
	*pl = Planner[P]{st: pl.st, policy: pl.policy, env: pl.env, serial: pl.serial, tag: pl.tag, out: pl.out}
}

// expire closes silent workers and records the end of attempts whose lease
// has passed.
func (pl *Planner[P]) expire(now model.Instant) {
	for slot := range pl.statuses {
		wst := &pl.statuses[slot]
		if wst.heard && now.Sub(wst.seen) > freshFor {
			wst.heard = false
			pl.refresh(int32(slot))
			pl.note("workerSilent", event.Subject{Worker: pl.st.workers[slot].id})
		}
		if now.Before(wst.expiry) || len(wst.lives) == 0 {
			continue
		}
		wst.expiry = now.Add(model.WithDrift(TaskLease))
		for i := range wst.lives {
			lv := &wst.lives[i]
			end := lv.seen.Add(model.WithDrift(TaskLease))
			if now.Before(end) && !lv.lost {
				wst.expiry = min(wst.expiry, end)
				continue
			}
			lv.lost = true
			if !lv.told {
				lv.told = true
				pl.facts = append(pl.facts, End(lv.ref.id(), lv.attempt, pl.st.workers[slot].id, Lost))
			}
		}
	}
}
