package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// report takes in a poll. The poll is answered at once when there are orders,
// else after pollHold.
func (pl *Planner[P]) report(now model.Instant, rep ReportSpec) {
	if !pl.leads(now) {
		// The tag stays, so that the leader sees that a worker restarted.
		pl.out = append(pl.out, Answer{worker: rep.Worker, poll: rep.Poll, tag: rep.Tag})
		return
	}
	pl.tag = max(pl.tag, rep.Tag) + 1
	pol := poll{id: rep.Poll, worker: rep.Worker, received: now, open: true}
	wk, slot, ok := pl.st.worker(rep.Worker)
	if !ok {
		pl.welcome(pol, rep)
		return
	}
	cr := pl.ensure(slot)
	if rep.Tag != 0 && rep.Tag < cr.lastTag {
		// A late report is older than one that was taken in.
		pl.out = append(pl.out, Answer{worker: rep.Worker, poll: rep.Poll, tag: pl.tag})
		return
	}
	cr.lastTag = rep.Tag
	if rep.Tag == 0 {
		spendOrdered(cr.lives)
	}
	pl.answer(now, slot, true)
	cr.poll = pol
	pl.resized(cr, wk, rep)
	pl.takeIn(now, cr, rep.Attempts)
	back := !cr.heard
	cr.seen, cr.heard = now, true
	if back {
		pl.refresh(slot)
		pl.note("workerReports", event.Subject{Worker: rep.Worker})
	}
	pl.answer(now, slot, false)
}

// spendOrdered marks the starts that were sent before the worker restarted.
func spendOrdered(lvs []live) {
	for i := range lvs {
		lvs[i].spent = lvs[i].spent || lvs[i].ordered != 0
	}
}

// welcome proposes to make an unknown worker known and keeps its poll.
func (pl *Planner[P]) welcome(pol poll, rep ReportSpec) {
	for i := range pl.guests {
		if pl.guests[i].worker == rep.Worker {
			pl.out = append(pl.out, Answer{worker: rep.Worker, poll: pl.guests[i].id, tag: pl.tag})
			pl.guests[i] = pol
			return
		}
	}
	pl.guests = append(pl.guests, pol)
	pl.facts = append(pl.facts, Worker(rep.Worker, rep.Rack, rep.Size))
}

// resized proposes a changed size or rack. A worker that has less than is
// committed gets no tasks until enough has ended.
func (pl *Planner[P]) resized(cr *crew, wk *worker, rep ReportSpec) {
	if wk.size == rep.Size && wk.rack == rep.Rack {
		if cr.shrunk {
			cr.shrunk, cr.heard = false, false
		}
		return
	}
	cr.shrunk = !wk.committed.FitsIn(rep.Size)
	if cr.shrunk {
		pl.index.Close(pl.st.slots[wk.id])
		return
	}
	pl.facts = append(pl.facts, Worker(rep.Worker, rep.Rack, rep.Size))
}

func (pl *Planner[P]) takeIn(now model.Instant, cr *crew, atts []AttemptReport) {
	for i := range cr.lives {
		cr.lives[i].listed = false
	}
	cr.strays = cr.strays[:0]
	for i := range atts {
		spec := &atts[i].spec
		lv := pl.findLive(cr, spec)
		if lv == nil {
			cr.strays = append(cr.strays, strayOrder(spec))
			continue
		}
		pl.learn(now, cr, lv, spec)
	}
}

func (pl *Planner[P]) findLive(cr *crew, spec *AttemptSpec) *live {
	re, ok := pl.st.find(spec.Task)
	if !ok {
		return nil
	}
	for i := range cr.lives {
		if lv := &cr.lives[i]; lv.ref == re && lv.attempt == spec.Attempt {
			return lv
		}
	}
	return nil
}

// strayOrder ends an attempt that the state does not have on the worker.
func strayOrder(spec *AttemptSpec) Order {
	kind := OrderStop
	if _, ended := spec.State.outcome(); ended {
		kind = OrderForget
	}
	return Order{kind: kind, task: spec.Task, attempt: spec.Attempt}
}

// learn takes in the report of a live attempt.
func (pl *Planner[P]) learn(now model.Instant, cr *crew, lv *live, spec *AttemptSpec) {
	tk := lv.task()
	oc, ended := spec.State.outcome()
	lv.listed = !ended
	lv.throttled = spec.Throttled
	pl.measure(cr, lv, spec.Usage)
	if lv.told {
		if !ended && !lv.lost {
			lv.seen = now
		}
		return
	}
	if tk.state == Starting && oc != NotStarted {
		lv.told = true
		pl.facts = append(pl.facts, Confirm(lv.ref.id(), lv.attempt, spec.Resumed))
	}
	if cp := spec.Checkpoint; cp.attempt == lv.attempt && tk.newest.Before(cp) {
		pl.facts = append(pl.facts, TakeCheckpoint(lv.ref.id(), cp))
	}
	switch {
	case ended:
		lv.told = true
		pl.facts = append(pl.facts, End(lv.ref.id(), lv.attempt, cr.poll.worker, oc))
	case lv.lost:
	case tk.state == Stopping && lv.since.age(now) > stopRenewal:
		lv.listed = false
	default:
		lv.seen = now
	}
}

// answerOld completes the polls that have waited long enough.
func (pl *Planner[P]) answerOld(now model.Instant) {
	for slot := range pl.crews {
		if cr := &pl.crews[slot]; cr.poll.open && now.Sub(cr.poll.received) >= pollHold {
			pl.answer(now, int32(slot), true)
		}
	}
	kept := pl.guests[:0]
	for _, pol := range pl.guests {
		if now.Sub(pol.received) >= pollHold {
			pl.out = append(pl.out, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
			continue
		}
		kept = append(kept, pol)
	}
	pl.guests = kept
}

// answer completes the open poll of the worker if there are orders or force
// is set.
func (pl *Planner[P]) answer(now model.Instant, slot int32, force bool) {
	cr := &pl.crews[slot]
	if !cr.poll.open {
		return
	}
	an := Answer{worker: cr.poll.worker, poll: cr.poll.id, tag: pl.tag}
	if pl.leads(now) {
		an.orders = pl.orders(now, cr)
		strays := len(cr.strays) > 0 && (force || now.Sub(cr.strayed) >= repeatAfter || cr.strayed == 0)
		if strays {
			cr.strayed = now
			an.orders = append(an.orders, cr.strays...)
			cr.strays = nil
		}
		if len(an.orders) == 0 && !force {
			return
		}
		for i := range cr.lives {
			if lv := &cr.lives[i]; lv.listed && !lv.lost {
				an.leases = append(an.leases, Lease{task: lv.ref.id(), attempt: lv.attempt})
			}
		}
	} else if !force {
		return
	}
	cr.poll.open = false
	pl.out = append(pl.out, an)
}

// orders derives the orders for a worker from the state, so that lost answers
// and new leaders need no bookkeeping of their own.
func (pl *Planner[P]) orders(now model.Instant, cr *crew) []Order {
	var out []Order
	for i := range cr.lives {
		lv := &cr.lives[i]
		if lv.lost || lv.told || (lv.ordered != 0 && lv.ordered.age(now) < repeatAfter) {
			continue
		}
		tk, spec := lv.task(), &lv.ref.job.spec
		switch {
		case tk.state == Starting && !lv.listed && !lv.spent && pl.mayStart(now):
			out = append(out, Order{
				kind: OrderStart, task: lv.ref.id(), attempt: lv.attempt, taskKind: spec.Kind,
				priority: spec.Priority, size: tk.size.resources(), resume: tk.newest, fallback: tk.previous,
				issuedAfter: now.Sub(cr.poll.received),
			})
			// The worker counts its lease from the send time of this poll.
			lv.ordered, lv.seen = stampOf(now), now
		case tk.state == Stopping:
			out = append(out, Order{kind: OrderStop, task: lv.ref.id(), attempt: lv.attempt, grace: grace(tk.reason)})
			lv.ordered = stampOf(now)
		case tk.state == Running && lv.listed && lv.throttled != (lv.throttle || lv.slow):
			or := Order{kind: OrderThrottle, task: lv.ref.id(), attempt: lv.attempt}
			if !lv.throttled {
				or.size = tk.size.resources()
			}
			out = append(out, or)
			lv.ordered = stampOf(now)
		case tk.state == Running && lv.listed && spec.Priority == model.Batch && lv.ordered.age(now) >= checkpointEvery:
			out = append(out, Order{kind: OrderCheckpoint, task: lv.ref.id(), attempt: lv.attempt})
			lv.ordered = stampOf(now)
		}
	}
	return out
}

// grace is how long a stop may take to write a checkpoint. For urgent work it
// fits in the bound of 7.7 s together with the wait of 2 s.
func grace(why Reason) time.Duration {
	switch why {
	case ReasonCancelled, ReasonTooLarge, ReasonKeepsFailing:
		return 0
	case ReasonUrgent:
		return 2 * time.Second
	}
	return 20 * time.Second
}
