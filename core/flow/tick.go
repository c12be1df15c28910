package flow

import (
	"strconv"

	"guavarail/core/model"
)

// tick does the periodic work of the leader, at most once per sweepInterval: it
// updates estimates, compares records with the state, proposes the ends of runs and
// drops records of workers and jobs.
func (pl *Planner) tick(now model.Instant) {
	if !pl.hasLeaderLease(now) || now.Sub(pl.sweptAt) < sweepInterval {
		return
	}
	pl.sweptAt = now
	pl.recordDelays(now)
	pl.updateEstimates(now)
	// Occurrences become due, and heartbeats exceed maxHeartbeatAge, without any
	// other input.
	pl.dirty = true
	if len(pl.pendingOps) == 0 {
		pl.checkRecords(now)
	}
	for _, wk := range pl.workers.sorted {
		pl.withdrawUnsentStarts(wk)
		pl.expireLease(wk)
		pl.checkSilence(now, wk)
	}
	for _, wk := range pl.workers.removeFunc(func(wk *worker) bool {
		return len(wk.runs) == 0 && pl.silence(wk) > workerRetention
	}) {
		pl.recordEvent("workerForgotten", "", "", wk.incarnation.String())
	}
	pl.reopenWorkers(now)
	active := pl.formerWorkers[:0]
	for _, wk := range pl.formerWorkers {
		pl.expireLease(wk)
		pl.checkSilence(now, wk)
		if len(wk.runs) > 0 {
			active = append(active, wk)
		}
	}
	pl.formerWorkers = active
	pl.pruneJobs(now)
}

// updateEstimates updates the estimates of interference and of worker speeds.
func (pl *Planner) updateEstimates(now model.Instant) {
	if now.Sub(pl.estimatedAt) < estimateInterval {
		return
	}
	pl.estimatedAt = now
	pl.interference.solve()
	pl.pauseSlowWorkers(now)
	for _, wk := range pl.workers.sorted {
		wk.updateServingJobs(pl)
	}
}

// expireLease proposes the ends of all runs of a worker if its lease has expired
// and no heartbeat that renews it waits in the queue.
func (pl *Planner) expireLease(wk *worker) {
	if pl.heardUntil.Before(wk.leaseEnd) || len(wk.runs) == 0 {
		return
	}
	if !wk.expired {
		wk.expired = true
		pl.recordEvent("leaseExpired", "", "", wk.incarnation.String(), "runs", strconv.Itoa(len(wk.runs)),
			"silentMs", strconv.FormatInt(pl.silence(wk).Milliseconds(), 10))
	}
	pl.proposeAllEnds(wk, Lost)
}

// withdrawUnsentStarts proposes the ends of the runs whose start order could not
// be sent in time, because the worker sent no heartbeat whose answer could carry
// it.
func (pl *Planner) withdrawUnsentStarts(wk *worker) {
	timeout := max(minPickupTimeout, pl.heartbeatDelay()+pickupMargin)
	for _, pr := range wk.runs {
		if !pr.startSent && !pr.reported && !pr.inherited && pl.heardUntil.Sub(max(pr.placedAt, pr.postponedAt)) > timeout {
			pl.withdraw(pr)
		}
	}
}

// withdraw proposes the end of a run that its worker has not started. The other
// members of a gang, which would wait for it, are stopped.
func (pl *Planner) withdraw(pr *placedRun) {
	pl.proposeEnd(pr, NotStarted, pr.checkpoint)
	pl.stopGang(pr)
}

// stopGang stops the other members of the gang of a run, if it is in one.
func (pl *Planner) stopGang(pr *placedRun) {
	if !pr.spec.Gang {
		return
	}
	id := pr.task
	for id.index = range pr.spec.Tasks {
		if _, other := pl.findRun(id, pr.attempt); other != nil && other != pr {
			other.evicting = true
		}
	}
}

// proposeAllEnds proposes the end of every run on the worker.
func (pl *Planner) proposeAllEnds(wk *worker, oc Outcome) {
	for _, pr := range wk.runs {
		pl.proposeEnd(pr, oc, pr.checkpoint)
	}
}

// proposeEnd proposes the end of a run, unless its end is already proposed or
// its start is not applied yet. The outcome that its worker has reported goes before oc:
// that of an earlier proposal may be unknown, and the worker's success must not be
// acknowledged for a run that is recorded as lost or not started.
func (pl *Planner) proposeEnd(pr *placedRun, oc Outcome, checkpoint string) {
	if pr.ending || pr.planned {
		return
	}
	pr.ending = true
	if pr.reportedOutcome != 0 {
		oc = pr.reportedOutcome
	}
	pl.pendingOps = append(pl.pendingOps, End(pr.task, pr.attempt, oc, checkpoint))
}

// pruneJobs moves ended jobs from openJobs to endedJobs, and proposes to drop
// those that have no runs and ended longer ago than Config.JobRetention.
func (pl *Planner) pruneJobs(now model.Instant) {
	open := pl.openJobs[:0]
	for _, jb := range pl.openJobs {
		if jb.status.Final() {
			jb.endSeenAt = now
			pl.endedJobs = append(pl.endedJobs, jb)
			continue
		}
		open = append(open, jb)
	}
	clear(pl.openJobs[len(open):])
	pl.openJobs = open
	ended := pl.endedJobs[:0]
	for _, jb := range pl.endedJobs {
		if jb.liveRuns == 0 && now.Sub(jb.endSeenAt) > pl.config.jobRetention() {
			pl.pendingOps = append(pl.pendingOps, Forget(jb.ID()))
			continue
		}
		ended = append(ended, jb)
	}
	clear(pl.endedJobs[len(ended):])
	pl.endedJobs = ended
}
