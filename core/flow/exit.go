package flow

import (
	"slices"
	"strconv"

	"guavarail/core/model"
)

// addressTaken reports whether a worker of another name, which started later and
// has sent heartbeats until now, has the address of an incarnation, so that the
// incarnation has exited.
func (pl *Planner) addressTaken(hb *Heartbeat) bool {
	return slices.ContainsFunc(pl.workers.sorted, func(wk *worker) bool {
		return wk.incarnation.worker != hb.Incarnation.worker && wk.address == hb.Address && wk.incarnation.startedAt > hb.Incarnation.startedAt &&
			wk.reported && pl.silence(wk) <= maxHeartbeatAge
	})
}

// replaceAtAddress ends the workers with other names that had the address of a
// new incarnation and started before it.
func (pl *Planner) replaceAtAddress(hb *Heartbeat) {
	for _, wk := range pl.workers.removeFunc(func(wk *worker) bool {
		return wk.incarnation.worker != hb.Incarnation.worker && wk.address != "" && wk.address == hb.Address && wk.incarnation.startedAt < hb.Incarnation.startedAt
	}) {
		pl.endWorker(wk, "addressReused")
	}
}

// endWorker proposes the ends of the runs of an incarnation that has exited,
// answers its open heartbeat without orders, and adds it to formerWorkers until
// the ends are applied. The caller removes it from the set of workers.
func (pl *Planner) endWorker(wk *worker, why string) {
	pl.recordEvent("workerGone", "", "", wk.incarnation.String(), "reason", why, "runs", strconv.Itoa(len(wk.runs)))
	if wk.answerPending {
		wk.answerPending = false
		pl.effects = append(pl.effects, Answer{HeartbeatID: wk.heartbeatID})
	}
	pl.proposeAllEnds(wk, Lost)
	if len(wk.runs) > 0 {
		// The past lease end lets expireLease propose the ends that this call
		// could not propose, and those whose proposal is lost.
		wk.leaseEnd = 0
		pl.formerWorkers = append(pl.formerWorkers, wk)
	}
}

// leave handles the announcement of a worker that is about to exit. The worker gets no further
// tasks and no lease from now on, and its runs are stopped. The announcement proves no end: the
// worker goes on until it has the answer, and lists may still be on their way. The
// announcement of another incarnation is ignored. If it doesn't tell which incarnation exits, it
// is ignored unless the worker is draining: a worker that exits was draining before, though
// perhaps under an earlier leader.
func (pl *Planner) leave(now model.Instant, msg Leave) {
	wk, ok := pl.workers.get(msg.Worker)
	if !ok || !pl.leading || !msg.isOf(wk) {
		pl.effects = append(pl.effects, LeaveAnswer{LeaveID: msg.LeaveID, Refused: !pl.leading})
		return
	}
	pl.openLeaves = append(pl.openLeaves, openLeave{id: msg.LeaveID, worker: wk})
	if wk.left {
		return
	}
	pl.exits.note(now, wk.incarnation)
	pl.pendingOps = append(pl.pendingOps, Left(wk.incarnation))
	pl.recordEvent("workerLeaves", "", "", wk.incarnation.String(), "runs", strconv.Itoa(len(wk.runs)),
		"leaseLeftMs", strconv.FormatInt(max(0, wk.leaseEnd.Sub(now)).Milliseconds(), 10))
	pl.markLeft(wk)
}

// openLeave is an announcement that waits for its answer.
type openLeave struct {
	id     uint64
	worker *worker
}

// answerLeaves answers the announcements of workers without runs, since a worker can list no more
// ends once it has exited, and those that have waited for leaveAnswerTimeout.
func (pl *Planner) answerLeaves(now model.Instant) {
	pl.openLeaves = slices.DeleteFunc(pl.openLeaves, func(ol openLeave) bool {
		done := len(ol.worker.runs) == 0 || pl.exits.since(now, ol.worker.incarnation) >= leaveAnswerTimeout
		if done {
			pl.effects = append(pl.effects, LeaveAnswer{LeaveID: ol.id})
		}
		return done
	})
}

// refuseLeaves answers the open announcements when another VM leads.
func (pl *Planner) refuseLeaves() {
	for _, ol := range pl.openLeaves {
		pl.effects = append(pl.effects, LeaveAnswer{LeaveID: ol.id, Refused: true})
	}
}

// markLeft closes a worker that has announced its exit and stops its runs.
func (pl *Planner) markLeft(wk *worker) {
	wk.left, pl.dirty, pl.recheckAnswers = true, true, true
	for _, pr := range wk.runs {
		if !pr.planned && !pr.ending && !pr.evicting {
			pl.evictFrom(wk, pr)
		}
	}
}

// reopenWorkers lets workers get tasks again that have announced their exit longer than
// exitRetention ago and are still there.
func (pl *Planner) reopenWorkers(now model.Instant) {
	pl.exits.dropOld(now)
	for _, wk := range pl.workers.sorted {
		wk.left = wk.left && pl.exits.has(wk.incarnation)
	}
}

// isOf reports whether it is the incarnation of wk that is about to exit.
func (msg Leave) isOf(wk *worker) bool {
	if msg.StartedAt == 0 {
		return wk.draining
	}
	return msg.StartedAt == wk.incarnation.startedAt
}
