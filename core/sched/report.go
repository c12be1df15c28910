package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// handleReport handles a poll. The poll is answered at once if there are
// orders, if the report was overtaken or if this VM holds no leader lease, else
// after pollTimeout. An earlier open poll of the worker is answered first.
func (pl *Planner[P]) handleReport(now model.Instant, rep ReportSpec) {
	if !pl.holdsLeaderLease(now) {
		// The tag is returned unchanged, so that the next leader can detect a
		// restart of the worker.
		pl.effects = append(pl.effects, Answer{worker: rep.Worker, poll: rep.Poll, tag: rep.Tag})
		return
	}
	pl.tag = max(pl.tag, rep.Tag) + 1
	pol := poll{id: rep.Poll, worker: rep.Worker, received: now, open: true}
	wk, idx, ok := pl.st.worker(rep.Worker)
	if !ok {
		pl.registerWorker(pol, rep)
		return
	}
	wst := pl.ensureStatus(idx)
	if rep.Tag != 0 && rep.Tag < wst.lastTag {
		// A later report has been handled already.
		pl.effects = append(pl.effects, Answer{worker: rep.Worker, poll: rep.Poll, tag: pl.tag})
		return
	}
	wst.lastTag = rep.Tag
	if rep.Tag == 0 {
		markMayHaveRun(wst.attempts)
	}
	pl.answerPoll(now, idx, true)
	wst.poll = pol
	pl.checkWorkerSize(wst, wk, rep)
	pl.handleAttemptReports(now, wst, rep.Attempts)
	resumed := !wst.reporting
	wst.lastReport, wst.reporting = now, true
	if resumed {
		pl.updateIndex(idx)
		pl.emit("workerReports", event.Subject{Worker: rep.Worker})
	}
	pl.answerPoll(now, idx, false)
}

// markMayHaveRun marks the attempts whose start order was sent before the
// worker restarted.
func markMayHaveRun(las []liveAttempt) {
	for i := range las {
		las[i].mayHaveRun = las[i].mayHaveRun || las[i].orderedAt != 0
	}
}

// registerWorker queues the registration of a new worker and keeps its poll
// open. An earlier poll of the worker is answered.
func (pl *Planner[P]) registerWorker(pol poll, rep ReportSpec) {
	for i := range pl.unregistered {
		if pl.unregistered[i].worker == rep.Worker {
			pl.effects = append(pl.effects, Answer{worker: rep.Worker, poll: pl.unregistered[i].id, tag: pl.tag})
			pl.unregistered[i] = pol
			return
		}
	}
	pl.unregistered = append(pl.unregistered, pol)
	pl.reportOps = append(pl.reportOps, RegisterWorker(rep.Worker, rep.Rack, rep.Size))
}

// checkWorkerSize queues a registration with a changed size or rack. A worker
// smaller than its commitments gets no tasks until enough attempts have ended.
func (pl *Planner[P]) checkWorkerSize(wst *workerStatus, wk *worker, rep ReportSpec) {
	if wk.size == rep.Size && wk.rack == rep.Rack {
		if wst.shrunk {
			// reporting is cleared so that handleReport updates the index.
			wst.shrunk, wst.reporting = false, false
		}
		return
	}
	wst.shrunk = !wk.committed.FitsIn(rep.Size)
	if wst.shrunk {
		pl.index.Remove(pl.st.workerIndexes[wk.id])
		return
	}
	pl.reportOps = append(pl.reportOps, RegisterWorker(rep.Worker, rep.Rack, rep.Size))
}

// handleAttemptReports handles the reports of all attempts on the worker.
func (pl *Planner[P]) handleAttemptReports(now model.Instant, wst *workerStatus, atts []AttemptReport) {
	for i := range wst.attempts {
		wst.attempts[i].reportedRunning = false
	}
	wst.unrecordedOrders = wst.unrecordedOrders[:0]
	for i := range atts {
		spec := &atts[i].spec
		la := pl.findAttempt(wst, spec)
		if la == nil {
			wst.unrecordedOrders = append(wst.unrecordedOrders, unrecordedOrder(spec))
			continue
		}
		pl.handleAttemptReport(now, wst, la, spec)
	}
}

// findAttempt returns the live attempt that the report is about, nil if the
// state does not have it on the worker.
func (pl *Planner[P]) findAttempt(wst *workerStatus, spec *AttemptSpec) *liveAttempt {
	re, ok := pl.st.find(spec.Task)
	if !ok {
		return nil
	}
	for i := range wst.attempts {
		if la := &wst.attempts[i]; la.ref == re && la.attempt == spec.Attempt {
			return la
		}
	}
	return nil
}

// unrecordedOrder returns the order for an attempt that the state does not have
// on the worker: a stop while it runs, else the acknowledgement of its end.
func unrecordedOrder(spec *AttemptSpec) Order {
	kind := OrderStop
	if _, ended := spec.State.outcome(); ended {
		kind = OrderForget
	}
	return Order{kind: kind, task: spec.Task, attempt: spec.Attempt}
}

// handleAttemptReport handles the report of a live attempt: it queues
// confirmations, checkpoints and ends, and renews the lease.
func (pl *Planner[P]) handleAttemptReport(now model.Instant, wst *workerStatus, la *liveAttempt, spec *AttemptSpec) {
	tk := la.task()
	oc, ended := spec.State.outcome()
	la.reportedRunning = !ended
	la.throttled = spec.Throttled
	pl.recordUsage(wst, la, spec.Usage)
	if la.recordPending {
		if !ended && !la.leaseExpired {
			la.leaseFrom = now
		}
		return
	}
	if tk.state == Starting && oc != NotStarted {
		la.recordPending = true
		pl.reportOps = append(pl.reportOps, Confirm(la.ref.id(), la.attempt, spec.ResumedFrom))
	}
	if cp := spec.Checkpoint; cp.attempt == la.attempt && tk.newest.Before(cp) {
		pl.reportOps = append(pl.reportOps, RecordCheckpoint(la.ref.id(), cp))
	}
	switch {
	case ended:
		la.recordPending = true
		pl.reportOps = append(pl.reportOps, End(la.ref.id(), la.attempt, wst.poll.worker, oc))
	case la.leaseExpired:
	case tk.state == Stopping && la.recordedAt.age(now) > stopRenewalTime:
		la.reportedRunning = false
	default:
		la.leaseFrom = now
	}
}

// answerExpired completes the polls that have been open for pollTimeout.
func (pl *Planner[P]) answerExpired(now model.Instant) {
	for idx := range pl.statuses {
		if wst := &pl.statuses[idx]; wst.poll.open && now.Sub(wst.poll.received) >= pollTimeout {
			pl.answerPoll(now, int32(idx), true)
		}
	}
	remaining := pl.unregistered[:0]
	for _, pol := range pl.unregistered {
		if now.Sub(pol.received) >= pollTimeout {
			pl.effects = append(pl.effects, Answer{worker: pol.worker, poll: pol.id, tag: pl.tag})
			continue
		}
		remaining = append(remaining, pol)
	}
	pl.unregistered = remaining
}

// answerPoll completes the open poll of the worker, if there is one, when there
// are orders or force is set.
func (pl *Planner[P]) answerPoll(now model.Instant, idx int32, force bool) {
	wst := &pl.statuses[idx]
	if !wst.poll.open {
		return
	}
	an := Answer{worker: wst.poll.worker, poll: wst.poll.id, tag: pl.tag}
	if pl.holdsLeaderLease(now) {
		an.orders = pl.orders(now, idx)
		sendUnrecorded := len(wst.unrecordedOrders) > 0 && (force || now.Sub(wst.unrecordedOrdersSentAt) >= orderRetryInterval || wst.unrecordedOrdersSentAt == 0)
		if sendUnrecorded {
			wst.unrecordedOrdersSentAt = now
			an.orders = append(an.orders, wst.unrecordedOrders...)
			wst.unrecordedOrders = nil
		}
		if len(an.orders) == 0 && !force {
			return
		}
		mayLease := !pl.st.isSilent(idx)
		for i := range wst.attempts {
			if la := &wst.attempts[i]; mayLease && la.reportedRunning && !la.leaseExpired {
				an.leases = append(an.leases, Lease{task: la.ref.id(), attempt: la.attempt})
			}
		}
	} else if !force {
		return
	}
	wst.poll.open = false
	pl.effects = append(pl.effects, an)
}

// orders derives the orders for a worker from the state, so that lost answers
// and leader changes need no separate bookkeeping.
func (pl *Planner[P]) orders(now model.Instant, idx int32) []Order {
	var out []Order
	wst, mayStart := &pl.statuses[idx], pl.mayStart(now) && !pl.st.isSilent(idx)
	for i := range wst.attempts {
		la := &wst.attempts[i]
		if la.leaseExpired || la.recordPending || (la.orderedAt != 0 && la.orderedAt.age(now) < orderRetryInterval) {
			continue
		}
		tk, spec := la.task(), &la.ref.job.spec
		switch {
		case tk.state == Starting && !la.reportedRunning && !la.mayHaveRun && mayStart:
			out = append(out, Order{
				kind: OrderStart, task: la.ref.id(), attempt: la.attempt, taskKind: spec.Kind,
				priority: spec.Priority, size: tk.size.resources(), resume: tk.newest, fallback: tk.previous,
				issuedAfter: now.Sub(wst.poll.received),
			})
			// The worker counts its lease from the time it sent this poll,
			// which is earlier.
			la.orderedAt, la.leaseFrom = stampOf(now), now
		case tk.state == Stopping:
			out = append(out, Order{kind: OrderStop, task: la.ref.id(), attempt: la.attempt, grace: grace(tk.reason)})
			la.orderedAt = stampOf(now)
		case tk.state == Running && la.reportedRunning && la.throttled != (la.throttleForGrowth || la.throttleForService):
			or := Order{kind: OrderThrottle, task: la.ref.id(), attempt: la.attempt}
			if !la.throttled {
				or.size = tk.size.resources()
			}
			out = append(out, or)
			la.orderedAt = stampOf(now)
		case tk.state == Running && la.reportedRunning && spec.Priority == model.Batch && la.orderedAt.age(now) >= checkpointInterval:
			out = append(out, Order{kind: OrderCheckpoint, task: la.ref.id(), attempt: la.attempt})
			la.orderedAt = stampOf(now)
		}
	}
	return out
}

// grace returns how long an attempt may take to write a checkpoint before it is
// stopped; 0 for a job that was closed. For urgent tasks, grace and
// urgentDelay, 2 s each, stay within the bound of 7.7 s from submission to
// start.
func grace(reason Reason) time.Duration {
	switch reason {
	case ReasonCancelled, ReasonTooLarge, ReasonKeepsFailing:
		return 0
	case ReasonUrgent:
		return 2 * time.Second
	}
	return 20 * time.Second
}
