package flow

import (
	"strconv"

	"guavarail/core/model"
)

// clearPlanned sets plannedStarts of all tasks of the job to 0.
func (jb *job) clearPlanned() {
	for _, occ := range jb.occurrences {
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				occ.steps[s].tasks[i].plannedStarts = 0
			}
		}
	}
}

// applied updates the waiting times and the leader's records after an operation
// was applied to the state, whichever leader proposed it.
func (pl *Planner) applied(now model.Instant, msg Applied) {
	pl.trackWaits(now, msg)
	pl.st.dateMarks(now)
	if msg.Op.kind == OpLeft {
		pl.appliedLeft(now, msg.Op.incarnation)
	}
	if !pl.leading {
		pl.followDemand(now)
		return
	}
	op := msg.Op
	switch op.kind {
	case OpSubmit:
		pl.appliedSubmit(msg)
	case OpCancel:
		pl.appliedCancel(msg)
	case OpStart:
		pl.appliedStart(now, msg)
	case OpEnd:
		pl.appliedEnd(now, msg)
	case OpHeard:
		pl.appliedHeard(op)
	}
}

// appliedLeft notes an announced exit. An earlier leader may have decided it, and this one may
// have a record of the worker.
func (pl *Planner) appliedLeft(now model.Instant, inc Incarnation) {
	pl.exits.note(now, inc)
	if wk, ok := pl.workers.get(inc.worker); ok && pl.leading && wk.incarnation == inc && !wk.left {
		pl.markLeft(wk)
	}
}

func (pl *Planner) appliedSubmit(msg Applied) {
	spec := &msg.Op.job.spec
	pl.recordEvent("jobSubmitted", spec.ID, "", "", "verdict", msg.Verdict.String(), "queue", spec.Queue, "workspace", string(spec.Workspace),
		"priority", strconv.Itoa(spec.Priority), "steps", strconv.Itoa(len(spec.Steps)),
		"objectiveMs", strconv.FormatInt(msg.Op.job.Objective().Milliseconds(), 10))
	if msg.Verdict == Accepted {
		pl.openJobs = append(pl.openJobs, pl.st.jobs[msg.Op.id])
		pl.dirty = true
	}
}

// appliedCancel records the cancellation of a known job. That of an unknown one is recorded by
// the owner, which bounds the number of such events.
func (pl *Planner) appliedCancel(msg Applied) {
	if msg.Verdict == UnknownJob {
		return
	}
	pl.recordEvent("jobCancelled", msg.Op.id, "", "", "verdict", msg.Verdict.String())
	pl.dirty = true
}

func (pl *Planner) appliedStart(now model.Instant, msg Applied) {
	op := msg.Op
	wk := pl.ensureWorker(now, op.incarnation)
	pl.touched = wk
	pr := wk.find(op.task, op.attempt)
	if pr != nil && pr.planned {
		pr.planned = false
		if _, _, tk, ok := pl.st.find(op.task); ok && tk.plannedStarts > 0 {
			tk.plannedStarts--
		}
	}
	if msg.Verdict == Accepted {
		// A start without a record was proposed by an earlier leader, or by this
		// one in a proposal that ended with an unknown outcome.
		if pr == nil {
			pl.inheritRun(now, wk, op.task, op.attempt)
		}
		return
	}
	// A start that was proposed twice is rejected the second time, and its run goes
	// on.
	if pr != nil && !pl.st.hasRun(op.task, op.attempt, op.incarnation) {
		pl.removeRun(wk, pr)
	}
	pl.dirty = true
	pl.recordEvent("startRejected", op.id, op.task.String(), op.incarnation.String(), "verdict", msg.Verdict.String())
}

func (pl *Planner) appliedEnd(now model.Instant, msg Applied) {
	op := msg.Op
	pl.dirty = true
	if msg.Verdict != Accepted {
		return
	}
	wk, pr := pl.findRun(op.task, op.attempt)
	if pr == nil {
		return
	}
	pl.removeRun(wk, pr)
	if _, _, tk, ok := pl.st.find(op.task); ok {
		switch {
		case pr.reported && op.outcome == NotStarted:
			// The worker had the run and has lost it.
			tk.ran, tk.idleSince = true, now
		case op.outcome == Lost:
			// The worker may have exited right after its last heartbeat.
			tk.idleSince = min(now, wk.lastHeartbeat)
		}
	}
	if op.outcome == Succeeded {
		pl.measureRunTime(now, pr)
	}
	pl.recordFillerEnd(now, wk, pr)
	pl.recordOutcome(now, wk, pr, op.outcome)
	jb := pl.st.jobs[op.id]
	if op.outcome != Succeeded && op.outcome != Stopped {
		pl.recordEvent("runEnded", op.id, op.task.String(), wk.incarnation.String(), "attempt", strconv.Itoa(op.attempt),
			"outcome", op.outcome.String())
	}
	if jb != nil && jb.status.Final() && jb.liveRuns == 0 {
		pl.recordEvent("jobEnded", op.id, "", "", "state", jb.status.String())
	}
}

// proposalEnded permits the next proposal. If the outcome of the last one is
// unknown, it discards the records of its operations, so that they can be
// planned again. An operation that is applied later is handled like one of
// another leader.
func (pl *Planner) proposalEnded(now model.Instant, msg ProposalEnded) {
	if msg.Term != pl.term {
		return
	}
	pl.delays.commits.add(now.Sub(pl.delays.proposedAt))
	pl.proposing, pl.dirty, pl.recheckAnswers = false, true, true
	for _, op := range msg.Dropped {
		pl.handleDropped(op)
	}
	if msg.Applied {
		return
	}
	for _, wk := range pl.workers.sorted {
		pl.discardProposed(wk)
	}
	for _, wk := range pl.formerWorkers {
		pl.discardProposed(wk)
	}
}

// handleDropped handles an operation that the log cannot hold. A worker on which no start can
// be stored gets no more tasks. The end of a run is proposed again without its checkpoint,
// since its other values are in the log already.
func (pl *Planner) handleDropped(op Op) {
	pl.recordEvent("operationDropped", op.id, op.task.String(), op.incarnation.String())
	switch op.kind {
	case OpStart:
		if wk, ok := pl.workers.get(op.incarnation.worker); ok {
			wk.unstorable = true
		}
		if wk, pr := pl.findRun(op.task, op.attempt); pr != nil && pr.planned {
			pl.stopGang(pr)
			pl.discardPlanned(wk, pr)
		}
	case OpEnd:
		if op.checkpoint != "" {
			pl.pendingOps = append(pl.pendingOps, End(op.task, op.attempt, op.outcome, ""))
		}
	}
}

// discardProposed removes those runs from a worker whose starts are not applied
// yet, and permits further proposals to end the others.
func (pl *Planner) discardProposed(wk *worker) {
	wk.heardProposed = false
	for i := len(wk.runs) - 1; i >= 0; i-- {
		pr := wk.runs[i]
		pr.ending, pr.mayHaveEnded = false, pr.mayHaveEnded || pr.ending
		if pr.planned {
			pl.discardPlanned(wk, pr)
		}
	}
}

// discardPlanned removes a run whose start is not applied yet.
func (pl *Planner) discardPlanned(wk *worker, pr *placedRun) {
	if _, _, tk, ok := pl.st.find(pr.task); ok && tk.plannedStarts > 0 {
		tk.plannedStarts--
	}
	pl.removeRun(wk, pr)
}
