package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// handleReport takes in a poll. The poll is answered at once when there are orders,
// else after pollHold.
func (pl *Planner[P]) handleReport(now model.Instant, rep ReportSpec) {
	if !pl.holdsLeaderLease(now) {
		// The tag stays, so that the leader sees that a worker restarted.
		pl.effects = append(pl.effects, Answer{worker: rep.Worker, poll: rep.Poll, tag: rep.Tag})
		return
	}
	pl.tag = max(pl.tag, rep.Tag) + 1
	pol := poll{id: rep.Poll, worker: rep.Worker, received: now, open: true}
	wk, slot, ok := pl.st.worker(rep.Worker)
	if !ok {
		pl.registerWorker(pol, rep)
		return
	}
	wst := pl.ensureStatus(slot)
	if rep.Tag != 0 && rep.Tag < wst.lastTag {
		// A late report is older than one that was taken in.
		pl.effects = append(pl.effects, Answer{worker: rep.Worker, poll: rep.Poll, tag: pl.tag})
		return
	}
	wst.lastTag = rep.Tag
	if rep.Tag == 0 {
		markMayHaveRun(wst.attempts)
	}
	pl.answerPoll(now, slot, true)
	wst.poll = pol
	pl.checkWorkerSize(wst, wk, rep)
	pl.handleAttemptReports(now, wst, rep.Attempts)
	resumed := !wst.reporting
	wst.lastReport, wst.reporting = now, true
	if resumed {
		pl.updateIndex(slot)
		pl.emit("workerReports", event.Subject{Worker: rep.Worker})
	}
	pl.answerPoll(now, slot, false)
}

// markMayHaveRun marks the starts that were sent before the worker restarted.
func markMayHaveRun(lvs []liveAttempt) {
	for i := range lvs {
		lvs[i].mayHaveRun = lvs[i].mayHaveRun || lvs[i].orderedAt != 0
	}
}

// registerWorker proposes to make an unknown worker known and keeps its poll.
func (pl *Planner[P]) registerWorker(pol poll, rep ReportSpec) {
	for i := range pl.unregistered {
		if pl.unregistered[i].worker == rep.Worker {
			pl.effects = append(pl.effects, Answer{worker: rep.Worker, poll: pl.unregistered[i].id, tag: pl.tag})
			pl.unregistered[i] = pol
			return
		}
	}
	pl.unregistered = append(pl.unregistered, pol)
	pl.reportOps = append(pl.reportOps, Worker(rep.Worker, rep.Rack, rep.Size))
}

// checkWorkerSize proposes a changed size or rack. A worker that has less than is
// committed gets no tasks until enough has ended.
func (pl *Planner[P]) checkWorkerSize(wst *workerStatus, wk *worker, rep ReportSpec) {
	if wk.size == rep.Size && wk.rack == rep.Rack {
		if wst.shrunk {
			wst.shrunk, wst.reporting = false, false
		}
		return
	}
	wst.shrunk = !wk.committed.FitsIn(rep.Size)
	if wst.shrunk {
		pl.index.Close(pl.st.slots[wk.id])
		return
	}
	pl.reportOps = append(pl.reportOps, Worker(rep.Worker, rep.Rack, rep.Size))
}

func (pl *Planner[P]) handleAttemptReports(now model.Instant, wst *workerStatus, atts []AttemptReport) {
	for i := range wst.attempts {
		wst.attempts[i].reportedRunning = false
	}
	wst.orphanOrders = wst.orphanOrders[:0]
	for i := range atts {
		spec := &atts[i].spec
		lv := pl.findAttempt(wst, spec)
		if lv == nil {
			wst.orphanOrders = append(wst.orphanOrders, orphanOrder(spec))
			continue
		}
		pl.handleAttemptReport(now, wst, lv, spec)
	}
}

func (pl *Planner[P]) findAttempt(wst *workerStatus, spec *AttemptSpec) *liveAttempt {
	re, ok := pl.st.find(spec.Task)
	if !ok {
		return nil
	}
	for i := range wst.attempts {
		if lv := &wst.attempts[i]; lv.ref == re && lv.attempt == spec.Attempt {
			return lv
		}
	}
	return nil
}

// orphanOrder ends an attempt that the state does not have on the worker.
func orphanOrder(spec *AttemptSpec) Order {
	kind := OrderStop
	if _, ended := spec.State.outcome(); ended {
		kind = OrderForget
	}
	return Order{kind: kind, task: spec.Task, attempt: spec.Attempt}
}

// handleAttemptReport takes in the report of a live attempt.
func (pl *Planner[P]) handleAttemptReport(now model.Instant, wst *workerStatus, lv *liveAttempt, spec *AttemptSpec) {
	tk := lv.task()
	oc, ended := spec.State.outcome()
	lv.reportedRunning = !ended
	lv.throttled = spec.Throttled
	pl.recordUsage(wst, lv, spec.Usage)
	if lv.recordPending {
		if !ended && !lv.leaseExpired {
			lv.leaseFrom = now
		}
		return
	}
	if tk.state == Starting && oc != NotStarted {
		lv.recordPending = true
		pl.reportOps = append(pl.reportOps, Confirm(lv.ref.id(), lv.attempt, spec.Resumed))
	}
	if cp := spec.Checkpoint; cp.attempt == lv.attempt && tk.newest.Before(cp) {
		pl.reportOps = append(pl.reportOps, TakeCheckpoint(lv.ref.id(), cp))
	}
	switch {
	case ended:
		lv.recordPending = true
		pl.reportOps = append(pl.reportOps, End(lv.ref.id(), lv.attempt, wst.poll.worker, oc))
	case lv.leaseExpired:
	case tk.state == Stopping && lv.since.age(now) > stopRenewalTime:
		lv.reportedRunning = false
	default:
		lv.leaseFrom = now
	}
}

// answerExpired completes the polls that have waited long enough.
func (pl *Planner[P]) answerExpired(now model.Instant) {
	for slot := range pl.statuses {
		if wst := &pl.statuses[slot]; wst.poll.open && now.Sub(wst.poll.received) >= pollTimeout {
			pl.answerPoll(now, int32(slot), true)
		}
	}
	kept := pl.unregistered[:0]
	for _, pol := range pl.unregistered {
		if now.Sub(pol.received) >= pollTimeout {
			pl.effects = append(pl.effects, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
			continue
		}
		kept = append(kept, pol)
	}
	pl.unregistered = kept
}

// answerPoll completes the open poll of the worker if there are orders or force
// is set.
func (pl *Planner[P]) answerPoll(now model.Instant, slot int32, force bool) {
	wst := &pl.statuses[slot]
	if !wst.poll.open {
		return
	}
	an := Answer{worker: wst.poll.worker, poll: wst.poll.id, tag: pl.tag}
	if pl.holdsLeaderLease(now) {
		an.orders = pl.orders(now, wst)
		strays := len(wst.orphanOrders) > 0 && (force || now.Sub(wst.orphanOrdersSent) >= orderRetryInterval || wst.orphanOrdersSent == 0)
		if strays {
			wst.orphanOrdersSent = now
			an.orders = append(an.orders, wst.orphanOrders...)
			wst.orphanOrders = nil
		}
		if len(an.orders) == 0 && !force {
			return
		}
		for i := range wst.attempts {
			if lv := &wst.attempts[i]; lv.reportedRunning && !lv.leaseExpired {
				an.leases = append(an.leases, Lease{task: lv.ref.id(), attempt: lv.attempt})
			}
		}
	} else if !force {
		return
	}
	wst.poll.open = false
	pl.effects = append(pl.effects, an)
}

// orders derives the orders for a worker from the state, so that lost answers
// and new leaders need no bookkeeping of their own.
func (pl *Planner[P]) orders(now model.Instant, wst *workerStatus) []Order {
	var out []Order
	for i := range wst.attempts {
		lv := &wst.attempts[i]
		if lv.leaseExpired || lv.recordPending || (lv.orderedAt != 0 && lv.orderedAt.age(now) < orderRetryInterval) {
			continue
		}
		tk, spec := lv.task(), &lv.ref.job.spec
		switch {
		case tk.state == Starting && !lv.reportedRunning && !lv.mayHaveRun && pl.mayStart(now):
			out = append(out, Order{
				kind: OrderStart, task: lv.ref.id(), attempt: lv.attempt, taskKind: spec.Kind,
				priority: spec.Priority, size: tk.size.resources(), resume: tk.newest, fallback: tk.previous,
				issuedAfter: now.Sub(wst.poll.received),
			})
			// The worker counts its lease from the send time of this poll.
			lv.orderedAt, lv.leaseFrom = stampOf(now), now
		case tk.state == Stopping:
			out = append(out, Order{kind: OrderStop, task: lv.ref.id(), attempt: lv.attempt, grace: grace(tk.reason)})
			lv.orderedAt = stampOf(now)
		case tk.state == Running && lv.reportedRunning && lv.throttled != (lv.throttleForGrowth || lv.throttleForService):
			or := Order{kind: OrderThrottle, task: lv.ref.id(), attempt: lv.attempt}
			if !lv.throttled {
				or.size = tk.size.resources()
			}
			out = append(out, or)
			lv.orderedAt = stampOf(now)
		case tk.state == Running && lv.reportedRunning && spec.Priority == model.Batch && lv.orderedAt.age(now) >= checkpointInterval:
			out = append(out, Order{kind: OrderCheckpoint, task: lv.ref.id(), attempt: lv.attempt})
			lv.orderedAt = stampOf(now)
		}
	}
	return out
}

// grace is how long a stop may take to write a checkpoint. For urgent work it
// fits in the bound of 7.7 s together with the wait of 2 s.
func grace(reason Reason) time.Duration {
	switch reason {
	case ReasonCancelled, ReasonTooLarge, ReasonKeepsFailing:
		return 0
	case ReasonUrgent:
		return 2 * time.Second
	}
	return 20 * time.Second
}
