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
		pl.register(pol, rep)
		return
	}
	wst := pl.ensure(slot)
	if rep.Tag != 0 && rep.Tag < wst.lastTag {
		// A late report is older than one that was taken in.
		pl.out = append(pl.out, Answer{worker: rep.Worker, poll: rep.Poll, tag: pl.tag})
		return
	}
	wst.lastTag = rep.Tag
	if rep.Tag == 0 {
		spendOrdered(wst.lives)
	}
	pl.answer(now, slot, true)
	wst.poll = pol
	pl.resized(wst, wk, rep)
	pl.takeIn(now, wst, rep.Attempts)
	back := !wst.heard
	wst.seen, wst.heard = now, true
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

// register proposes to make an unknown worker known and keeps its poll.
func (pl *Planner[P]) register(pol poll, rep ReportSpec) {
	for i := range pl.newcomers {
		if pl.newcomers[i].worker == rep.Worker {
			pl.out = append(pl.out, Answer{worker: rep.Worker, poll: pl.newcomers[i].id, tag: pl.tag})
			pl.newcomers[i] = pol
			return
		}
	}
	pl.newcomers = append(pl.newcomers, pol)
	pl.facts = append(pl.facts, Worker(rep.Worker, rep.Rack, rep.Size))
}

// resized proposes a changed size or rack. A worker that has less than is
// committed gets no tasks until enough has ended.
func (pl *Planner[P]) resized(wst *workerStatus, wk *worker, rep ReportSpec) {
	if wk.size == rep.Size && wk.rack == rep.Rack {
		if wst.shrunk {
			wst.shrunk, wst.heard = false, false
		}
		return
	}
	wst.shrunk = !wk.committed.FitsIn(rep.Size)
	if wst.shrunk {
		pl.index.Close(pl.st.slots[wk.id])
		return
	}
	pl.facts = append(pl.facts, Worker(rep.Worker, rep.Rack, rep.Size))
}

func (pl *Planner[P]) takeIn(now model.Instant, wst *workerStatus, atts []AttemptReport) {
	for i := range wst.lives {
		wst.lives[i].listed = false
	}
	wst.strays = wst.strays[:0]
	for i := range atts {
		spec := &atts[i].spec
		lv := pl.findLive(wst, spec)
		if lv == nil {
			wst.strays = append(wst.strays, strayOrder(spec))
			continue
		}
		pl.learn(now, wst, lv, spec)
	}
}

func (pl *Planner[P]) findLive(wst *workerStatus, spec *AttemptSpec) *live {
	re, ok := pl.st.find(spec.Task)
	if !ok {
		return nil
	}
	for i := range wst.lives {
		if lv := &wst.lives[i]; lv.ref == re && lv.attempt == spec.Attempt {
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
func (pl *Planner[P]) learn(now model.Instant, wst *workerStatus, lv *live, spec *AttemptSpec) {
	tk := lv.task()
	oc, ended := spec.State.outcome()
	lv.listed = !ended
	lv.throttled = spec.Throttled
	pl.measure(wst, lv, spec.Usage)
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
		pl.facts = append(pl.facts, End(lv.ref.id(), lv.attempt, wst.poll.worker, oc))
	case lv.lost:
	case tk.state == Stopping && lv.since.age(now) > stopRenewal:
		lv.listed = false
	default:
		lv.seen = now
	}
}

// answerOld completes the polls that have waited long enough.
func (pl *Planner[P]) answerOld(now model.Instant) {
	for slot := range pl.statuses {
		if wst := &pl.statuses[slot]; wst.poll.open && now.Sub(wst.poll.received) >= pollHold {
			pl.answer(now, int32(slot), true)
		}
	}
	kept := pl.newcomers[:0]
	for _, pol := range pl.newcomers {
		if now.Sub(pol.received) >= pollHold {
			pl.out = append(pl.out, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
			continue
		}
		kept = append(kept, pol)
	}
	pl.newcomers = kept
}

// answer completes the open poll of the worker if there are orders or force
// is set.
func (pl *Planner[P]) answer(now model.Instant, slot int32, force bool) {
	wst := &pl.statuses[slot]
	if !wst.poll.open {
		return
	}
	an := Answer{worker: wst.poll.worker, poll: wst.poll.id, tag: pl.tag}
	if pl.leads(now) {
		an.orders = pl.orders(now, wst)
		strays := len(wst.strays) > 0 && (force || now.Sub(wst.strayed) >= repeatAfter || wst.strayed == 0)
		if strays {
			wst.strayed = now
			an.orders = append(an.orders, wst.strays...)
			wst.strays = nil
		}
		if len(an.orders) == 0 && !force {
			return
		}
		for i := range wst.lives {
			if lv := &wst.lives[i]; lv.listed && !lv.lost {
				an.leases = append(an.leases, Lease{task: lv.ref.id(), attempt: lv.attempt})
			}
		}
	} else if !force {
		return
	}
	wst.poll.open = false
	pl.out = append(pl.out, an)
}

// orders derives the orders for a worker from the state, so that lost answers
// and new leaders need no bookkeeping of their own.
func (pl *Planner[P]) orders(now model.Instant, wst *workerStatus) []Order {
	var out []Order
	for i := range wst.lives {
		lv := &wst.lives[i]
		if lv.lost || lv.told || (lv.ordered != 0 && lv.ordered.age(now) < repeatAfter) {
			continue
		}
		tk, spec := lv.task(), &lv.ref.job.spec
		switch {
		case tk.state == Starting && !lv.listed && !lv.spent && pl.mayStart(now):
			out = append(out, Order{
				kind: OrderStart, task: lv.ref.id(), attempt: lv.attempt, taskKind: spec.Kind,
				priority: spec.Priority, size: tk.size.resources(), resume: tk.newest, fallback: tk.previous,
				issuedAfter: now.Sub(wst.poll.received),
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
