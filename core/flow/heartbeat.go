package flow

import (
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

// ensureWorker returns the record of an incarnation, which may be one that has
// exited, and creates it if needed, for runs that an earlier leader has started. If the
// current record of the worker is that of another incarnation, the new record is added to
// formerWorkers.
func (pl *Planner) ensureWorker(now model.Instant, inc Incarnation) *worker {
	current, ok := pl.workers.get(inc.worker)
	if ok && current.incarnation == inc {
		return current
	}
	if pos := pl.findFormer(inc); pos >= 0 {
		return pl.formerWorkers[pos]
	}
	wk := pl.newWorker(now, inc)
	wk.unproven = true
	if ok {
		pl.formerWorkers = append(pl.formerWorkers, wk)
		return wk
	}
	pl.workers.add(wk)
	return wk
}

// findFormer returns the index of an incarnation in formerWorkers, or -1.
func (pl *Planner) findFormer(inc Incarnation) int {
	return slices.IndexFunc(pl.formerWorkers, func(wk *worker) bool { return wk.incarnation == inc })
}

// takeFormer removes the record of an incarnation, with its runs, from
// formerWorkers and returns it, or a new one if there is none.
func (pl *Planner) takeFormer(now model.Instant, inc Incarnation) *worker {
	pos := pl.findFormer(inc)
	if pos < 0 {
		return pl.newWorker(now, inc)
	}
	wk := pl.formerWorkers[pos]
	pl.formerWorkers = slices.Delete(pl.formerWorkers, pos, pos+1)
	return wk
}

// handleHeartbeat updates the records of the worker; advance answers the
// heartbeat when the answer is due. If this VM does not hold the leader lease,
// the answer is Refused at once.
func (pl *Planner) handleHeartbeat(now model.Instant, hb *Heartbeat) {
	pl.heardUntil = max(pl.heardUntil, timeOr(hb.ReadUntil, timeOr(hb.Arrived, now)))
	if !pl.hasLeaderLease(now) {
		pl.effects = append(pl.effects, Answer{HeartbeatID: hb.HeartbeatID, Refused: true})
		return
	}
	pl.delays.queued.add(now.Sub(timeOr(hb.Arrived, now)))
	wk, ok := pl.registerIncarnation(now, hb)
	if !ok {
		// The heartbeat is from an earlier incarnation, arrived after a later one or
		// names no service; its answer carries no orders and no lease.
		if pl.isService(hb.Service) {
			for i := range hb.Ended {
				pl.proposeLateSuccess(&hb.Ended[i])
			}
		}
		pl.effects = append(pl.effects, Answer{HeartbeatID: hb.HeartbeatID})
		return
	}
	if wk.answerPending {
		pl.effects = append(pl.effects, Answer{HeartbeatID: wk.heartbeatID})
	}
	wk.heartbeatID, wk.answerPending, wk.answerPendingSince = hb.HeartbeatID, true, timeOr(hb.Arrived, now)
	if !wk.listedOpen {
		wk.listedOpen = true
		pl.openHeartbeats = append(pl.openHeartbeats, wk)
	}
	pl.touched = wk
	before := pl.capacityOf(wk)
	sentAt := now
	if late := wk.fastest.lateness(timeOr(hb.Arrived, now), hb.Clock); late > callTimeout {
		sentAt = now.Add(-late)
		pl.answerLate(wk, late)
	} else {
		pl.hear(wk, hb)
	}
	pl.updateWorker(sentAt, wk, hb)
	pl.reconcileRuns(now, wk, hb)
	pl.proposeReportedEnds(wk, hb)
	pl.controlPaces(now, wk, hb)
	pl.evictStalled(now, wk)
	pl.stopBeforeExit(now, wk)
	pl.measureSpeed(now, wk)
	// Other news are taken up by the plan of the next sweep: the leader gets too
	// many heartbeats to plan for each.
	pl.dirty = pl.dirty || len(hb.Ended) > 0 || pl.capacityOf(wk) != before
}

// workerCapacity is what a heartbeat may change of the capacity for new runs on a
// worker.
type workerCapacity struct {
	unavailable rejection
	size, free  model.Resources
}

func (pl *Planner) capacityOf(wk *worker) workerCapacity {
	return workerCapacity{unavailable: pl.unavailable(wk), size: wk.size, free: wk.free()}
}

// answerLate answers the open heartbeat, which is late, at once and without a
// lease, since the worker no longer waits for the answer and may have exited.
func (pl *Planner) answerLate(wk *worker, late time.Duration) {
	wk.answerPending = false
	pl.effects = append(pl.effects, Answer{HeartbeatID: wk.heartbeatID})
	pl.recordEvent("heartbeatLate", "", "", wk.incarnation.String(), "lateMs", strconv.FormatInt(late.Milliseconds(), 10))
}

// isService reports whether workers may belong to a service.
func (pl *Planner) isService(name model.ServiceID) bool {
	return len(pl.services) == 0 || pl.services[name]
}

// belongsTo reports whether a service is that of the worker, or of a run that an earlier
// leader has started on it. A worker stays in a service that a configuration has removed, or
// from which it has moved the run's job.
func (wk *worker) belongsTo(name model.ServiceID) bool {
	if wk.reported {
		return wk.service == name
	}
	return slices.ContainsFunc(wk.runs, func(pr *placedRun) bool {
		return pr.job.spec.Service == name || pr.job.formerService == name
	})
}

// registerIncarnation returns the record of the incarnation that sent a
// heartbeat, or false if the heartbeat is outdated, because the incarnation has exited
// or has sent a later one, or if it is the first and names an unknown service. It
// creates the record of a new incarnation and ends what that replaces: the earlier
// incarnation of the worker and, at the first heartbeat, workers of other names that had
// its address.
func (pl *Planner) registerIncarnation(now model.Instant, hb *Heartbeat) (*worker, bool) {
	wk, ok := pl.workers.get(hb.Incarnation.worker)
	if !pl.isService(hb.Service) && (!ok || wk.incarnation != hb.Incarnation || !wk.belongsTo(hb.Service)) {
		return nil, false
	}
	if ok && wk.incarnation != hb.Incarnation {
		if hb.Incarnation.startedAt < wk.incarnation.startedAt {
			return nil, false
		}
		pl.endWorker(wk, "restarted")
		pl.workers.remove(wk)
		ok = false
	}
	if !ok && (pl.exits.has(hb.Incarnation) || pl.addressTaken(hb)) {
		return nil, false
	}
	if !ok {
		wk = pl.takeFormer(now, hb.Incarnation)
		if !wk.unproven {
			wk.lastHeartbeat, wk.leaseEnd = now, pl.config.leaseEnd(now)
		}
		pl.workers.add(wk)
	}
	if wk.reported && hb.Sequence <= wk.sequence {
		return nil, false
	}
	if !wk.reported {
		pl.replaceAtAddress(hb)
	}
	return wk, true
}

// updateWorker copies what a heartbeat, sent at sentAt, reports about the worker
// itself.
func (pl *Planner) updateWorker(sentAt model.Instant, wk *worker, hb *Heartbeat) {
	if !wk.reported {
		pl.recordEvent("workerKnown", "", "", wk.incarnation.String(), "service", string(hb.Service), "centre", string(hb.Centre),
			"address", hb.Address, "milliCpu", strconv.FormatInt(hb.Size.MilliCPU(), 10))
	}
	if hb.Draining && !wk.draining {
		pl.recordEvent("workerDraining", "", "", wk.incarnation.String(), "remainingMs", strconv.FormatInt(hb.Remaining.Milliseconds(), 10),
			"runs", strconv.Itoa(len(wk.runs)))
	}
	wk.reported, wk.sequence, wk.lastHeartbeat, wk.excused = true, hb.Sequence, max(wk.lastHeartbeat, sentAt), 0
	wk.service, wk.centre, wk.address = hb.Service, hb.Centre, hb.Address
	wk.size, wk.labels, wk.rack = hb.Size, hb.Labels, hb.Rack
	wk.drained = pl.drains.has(wk)
	wk.noteDraining(sentAt, hb)
}

// reconcileRuns compares the runs in a heartbeat with those that the leader has
// recorded for the worker. Runs that only the worker has become unknownRuns,
// and the answer orders the worker to stop them.
func (pl *Planner) reconcileRuns(now model.Instant, wk *worker, hb *Heartbeat) {
	wk.unknownRuns = wk.unknownRuns[:0]
	listed := make(map[*placedRun]bool, len(hb.Runs))
	for i := range hb.Runs {
		rr := &hb.Runs[i]
		pr := pl.ensureRun(now, wk, rr.Task, rr.Attempt)
		if pr == nil {
			wk.unknownRuns = append(wk.unknownRuns, StopOrder{Task: rr.Task, Attempt: rr.Attempt})
			continue
		}
		listed[pr] = true
		if !pr.reported && pr.startSent {
			wk.health.recordStart()
		}
		// A long-running task at 100 percent is serving, which counts as progress.
		if !pr.reported || rr.Percent != pr.percent || pr.spec.LongRunning && rr.Percent >= fullPace {
			pr.progressedAt = now
		}
		// The worker still has the run, so a stop order that was sent is repeated.
		pr.reported, pr.stopping, pr.inherited, pr.percent = true, false, false, rr.Percent
		if pr.servesLong(now) {
			pr.step.work.Ran()
		}
		if rr.Checkpoint != "" && len(rr.Checkpoint) <= maxCheckpoint {
			pr.checkpoint = rr.Checkpoint
		}
	}
	// For runs that have ended, proposeReportedEnds proposes the ends.
	for i := range hb.Ended {
		if pr := pl.ensureRun(now, wk, hb.Ended[i].Task, hb.Ended[i].Attempt); pr != nil {
			listed[pr] = true
		}
	}
	for _, pr := range wk.runs {
		switch {
		case listed[pr] || pr.planned:
		case hb.EndsTruncated:
			// The run may have ended, so that it shows no progress.
			pr.progressedAt = now
		default:
			pl.handleUnlistedRun(now, pr, hb.Sequence)
		}
	}
}

// handleUnlistedRun handles a run that the latest heartbeat, which lists all runs and
// ends of the worker, does not list. If
// the heartbeat was sent after the start order, the worker did not execute the
// order. For an inherited run this is uncertain, because a delayed heartbeat
// may have been sent before the order. The order is therefore repeated to the
// same worker until a lease that was granted before the run was recorded here
// has certainly ended. Then its end is proposed as NotStarted.
func (pl *Planner) handleUnlistedRun(now model.Instant, pr *placedRun, sequence uint64) {
	switch {
	case pr.inherited && now.Before(pl.config.leaseEnd(pr.placedAt)):
		pr.startSent = false
	case pr.inherited || pr.startSent && sequence > pr.startSequence:
		pl.withdraw(pr)
	}
}

// proposeReportedEnds proposes the ends that a heartbeat reports and frees what
// the runs have reserved.
func (pl *Planner) proposeReportedEnds(wk *worker, hb *Heartbeat) {
	wk.plansBefore = pl.plans
	wk.reportedEnds = append(wk.reportedEnds[:0], hb.Ended...)
	slices.SortFunc(wk.reportedEnds, func(a, b EndReport) int {
		switch {
		case a.Number < b.Number:
			return -1
		case a.Number > b.Number:
			return 1
		}
		return 0
	})
	wk.lateSuccesses = false
	for i := range wk.reportedEnds {
		er := &wk.reportedEnds[i]
		pr := wk.find(er.Task, er.Attempt)
		if pr == nil || pr.ending {
			wk.lateSuccesses = pl.proposeLateSuccess(er) || wk.lateSuccesses
		}
		if pr != nil {
			checkpoint := er.Checkpoint
			if checkpoint == "" || len(checkpoint) > maxCheckpoint {
				checkpoint = pr.checkpoint
			}
			if !pr.planned {
				pr.reportedOutcome, pr.checkpoint = er.Outcome, checkpoint
			}
			pl.proposeEnd(pr, er.Outcome, checkpoint)
			if pr.ending {
				// The starts that take its place are in the log behind the end.
				wk.release(pr)
			}
		}
	}
}
