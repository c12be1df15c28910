package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// lastRecordedEnd returns the highest EndReport.Number up to which all ends in
// the last heartbeat have been applied to the state, 0 if there is none.
func (pl *Planner) lastRecordedEnd(wk *worker) uint64 {
	acked := uint64(0)
	for i := range wk.reportedEnds {
		er := &wk.reportedEnds[i]
		if wk.find(er.Task, er.Attempt) != nil || pl.st.hasRun(er.Task, er.Attempt, wk.incarnation) || wk.lateSuccesses && pl.isLateSuccess(er) {
			break
		}
		acked = er.Number
	}
	return acked
}

// answerAllDue answers all open heartbeats that are due.
func (pl *Planner) answerAllDue(now model.Instant) {
	pl.recheckAnswers, pl.answersCheckedAt = false, now
	open := pl.openHeartbeats[:0]
	for _, wk := range pl.openHeartbeats {
		if wk.answerPending && pl.answerDue(now, wk) {
			pl.answer(now, wk)
		}
		wk.listedOpen = wk.answerPending
		if wk.listedOpen {
			open = append(open, wk)
		}
	}
	clear(pl.openHeartbeats[len(open):])
	pl.openHeartbeats = open
}

// answerDue reports whether the open heartbeat of the worker should be answered
// now. An answer is delayed until reported ends are applied, and otherwise while
// the proposal in progress may add orders to it, within the bounds at
// busyAnswerDelay, idleAnswerDelay and endCommitTimeout.
func (pl *Planner) answerDue(now model.Instant, wk *worker) bool {
	age := now.Sub(wk.answerPendingSince)
	if wk.silent {
		return !wk.heardProposed || age >= endCommitTimeout
	}
	if len(wk.reportedEnds) > 0 && pl.lastRecordedEnd(wk) < wk.reportedEnds[len(wk.reportedEnds)-1].Number {
		return age >= endCommitTimeout
	}
	if len(wk.reportedEnds) > 0 {
		// What the ends have freed may be given to a new run at once.
		return age >= refillTimeout || !pl.startsPending(wk)
	}
	if len(wk.unknownRuns) > 0 {
		return age >= busyAnswerDelay || !pl.proposing
	}
	// waiting is set if a start on the worker is not applied yet, and ready if
	// the answer could carry a start or stop order.
	waiting, ready := false, false
	for _, pr := range wk.runs {
		waiting = waiting || pr.planned
		ready = ready || !pr.planned && (!pr.startSent && !pr.reported || pl.needsStop(pr))
	}
	if ready {
		// The starts of one proposal are applied one after the other; the answer
		// waits until it can carry all of them.
		return age >= busyAnswerDelay || !waiting
	}
	if len(wk.runs) == 0 && !wk.closed() {
		return age >= idleAnswerDelay
	}
	return age >= busyAnswerDelay || !waiting && !pl.proposing
}

// startsPending reports whether starts on the worker are decided and not applied
// yet, or no plan has been made since the heartbeat arrived.
func (pl *Planner) startsPending(wk *worker) bool {
	return pl.plans == wk.plansBefore || slices.ContainsFunc(wk.runs, func(pr *placedRun) bool { return pr.planned })
}

// needsStop reports whether a stop order for the run has yet to be sent.
func (pl *Planner) needsStop(pr *placedRun) bool {
	if pr.ending || pr.stopping || pr.planned {
		return false
	}
	return pl.unwanted(pr)
}

// unwanted reports whether the run is no longer needed: it is being evicted,
// its job has ended, or its task is done.
func (pl *Planner) unwanted(pr *placedRun) bool {
	return pr.evicting || pr.job.status.Final() || pr.state.done
}

// answer replies to the open heartbeat of a worker with its orders and renews
// its lease, unless the worker is silent or unproven.
func (pl *Planner) answer(now model.Instant, wk *worker) {
	ans := Answer{
		HeartbeatID: wk.heartbeatID, Term: pl.term, LeaseDuration: pl.leaseOf(wk), Acknowledged: pl.lastRecordedEnd(wk),
		HeartbeatDelay: pl.delayBeforeExit(now, wk),
	}
	if wk.unproven {
		// The heartbeat may have been sent long ago. What is left of the lease that an
		// earlier leader has granted takes no longer to end than before.
		ans.LeaseDuration = min(ans.LeaseDuration, pl.config.leaseUntil(wk.answerPendingSince, wk.leaseEnd))
	}
	pl.delays.answered(now, wk, ans.Acknowledged)
	size := answerSize{}
	for _, ord := range wk.unknownRuns {
		if size.add(ord.size()) {
			ans.Stops = append(ans.Stops, ord)
		}
	}
	for _, pr := range wk.runs {
		pl.addOrder(now, wk, pr, &ans, &size)
	}
	switch {
	case wk.left:
		ans.LeaseDuration = 0
	case wk.silent:
		ans.LeaseDuration, ans.HeartbeatDelay = 0, idleHeartbeatDelay
	case len(wk.runs) == 0 && !wk.closed() || size.full:
		// After a full answer, the next one carries the orders that are left.
		ans.HeartbeatDelay = idleHeartbeatDelay
	case slices.ContainsFunc(wk.runs, func(pr *placedRun) bool { return pr.planned }):
		// Starts are decided that this answer cannot carry yet.
		ans.HeartbeatDelay = min(ans.HeartbeatDelay, busyHeartbeatDelay)
	}
	switch {
	case wk.unproven && ans.LeaseDuration < minStartLease:
		ans.HeartbeatDelay = idleHeartbeatDelay
	case wk.unproven:
		ans.HeartbeatDelay = min(ans.HeartbeatDelay, proofDelay)
	}
	wk.answerPending, wk.nextHeartbeat = false, now.Add(ans.HeartbeatDelay)
	pl.effects = append(pl.effects, ans)
	if wk.silent || wk.unproven || wk.left {
		return
	}
	wk.expired = false
	// The worker counts its lease from when it sent the heartbeat, which is
	// before the heartbeat arrived.
	wk.leaseEnd = max(wk.leaseEnd, leaseEndOf(wk.answerPendingSince, ans.LeaseDuration))
}

// heartbeatDelay returns the delay of the next heartbeat of a worker with tasks.
func (pl *Planner) heartbeatDelay() time.Duration {
	return min(maxHeartbeatDelay, max(busyHeartbeatDelay, time.Duration(len(pl.workers.sorted))*heartbeatDelayPerWorker))
}

// needsPace reports whether a pace order for the run is due. A pace takes
// effect a fixed delay after its order, and another order restarts that delay,
// so changes are spaced further apart than the delay. Orders are repeated
// because answers may be lost.
func (pl *Planner) needsPace(now model.Instant, pr *placedRun) bool {
	since := now.Sub(pr.sentPaceAt)
	switch {
	case pr.pace == fullPace && !pr.paceLimited:
		return false
	case pr.pace == pr.sentPace:
		return since >= paceResendInterval
	}
	return pr.sentPace == unknownPace || !pr.paceLimited || since >= pl.config.paceDelay()+paceMargin
}

// addOrder adds the order for one run to an answer, if the run needs one. If the
// start order has not been sent and the run should no longer start, its end is
// proposed instead. An order for which the answer has no room is left for the next one.
func (pl *Planner) addOrder(now model.Instant, wk *worker, pr *placedRun, ans *Answer, size *answerSize) {
	if pr.planned || pr.ending {
		return
	}
	switch {
	case pl.unwanted(pr):
		if !pr.startSent && !pr.reported && !pr.inherited {
			pl.proposeEnd(pr, NotStarted, pr.checkpoint)
			return
		}
		if ord := (StopOrder{Task: pr.task, Attempt: pr.attempt}); size.add(ord.size()) {
			pr.stopping = true
			ans.Stops = append(ans.Stops, ord)
		}
	case pr.startSent || pr.reported:
		if ord := (PaceOrder{Task: pr.task, Attempt: pr.attempt, Percent: pr.pace}); pl.needsPace(now, pr) && size.add(ord.size()) {
			pr.paceLimited, pr.sentPace, pr.sentPaceAt = true, pr.pace, now
			ans.Paces = append(ans.Paces, ord)
		}
	case pr.mayHaveEnded:
		// An inherited run may be on the worker; the next heartbeats show whether it is
		// or how it has ended.
		if !pr.inherited {
			pl.withdraw(pr)
		}
	case wk.closed() || pl.outage[wk.centre]:
		// An inherited run may be on the worker already; if no heartbeat lists
		// it, handleUnlistedRun proposes its end.
		if !pr.inherited {
			pl.withdraw(pr)
		}
	case !wk.silent && ans.LeaseDuration >= min(minStartLease, pl.config.leaseDuration()) && now.Sub(wk.answerPendingSince) <= maxAnswerAge:
		ord := StartOrder{Task: pr.task, Attempt: pr.attempt, Body: pr.job.spec.Body, Checkpoint: pr.checkpoint}
		if !size.add(ord.size()) {
			pr.postponedAt = now
			return
		}
		pr.startSent, pr.startSequence = true, wk.sequence
		pl.delays.starts.add(now.Sub(pr.placedAt))
		ans.Starts = append(ans.Starts, ord)
	}
}
