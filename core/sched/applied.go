package sched

import (
	"slices"
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

// handleApplied updates the times of changes and the leader-only state after the
// group applied a command.
func (pl *Planner[P]) handleApplied(now model.Instant, cmd Command, res Result) {
	pl.trackChanges(now, cmd, res)
	if !pl.leading {
		return
	}
	for i := range min(len(cmd.ops), len(res.verdicts)) {
		op := &cmd.ops[i]
		if res.verdicts[i] == Accepted {
			pl.opAccepted(now, op)
			continue
		}
		if re, ok := pl.st.find(op.task); ok && re.task().workerNumber > 0 {
			pl.clearRecordPending(re, re.task().workerNumber-1)
		}
	}
	pl.emitJobsEnded(cmd, res)
	if pl.inFlight.active && cmd.serial == pl.inFlight.serial {
		pl.proposalApplied()
	}
	pl.answerOrdered(now, cmd)
}

// emitJobsEnded emits one event for each job whose last task ended in the
// command, also when several of its tasks ended in it.
func (pl *Planner[P]) emitJobsEnded(cmd Command, res Result) {
	last := lastEnds(cmd)
	for i := range min(len(cmd.ops), len(res.verdicts)) {
		if cmd.ops[i].kind != OpEnd || res.verdicts[i] != Accepted || last[cmd.ops[i].task.Job()] != i {
			continue
		}
		if jb, ok := pl.st.jobs[cmd.ops[i].task.Job()]; ok && jb.open == 0 {
			pl.emit("jobEnded", event.Subject{Job: jb.spec.ID}, event.NewField("state", jb.view().State().String()))
		}
	}
}

// proposalApplied ends the proposal in flight and requeues the tasks whose
// start was rejected.
func (pl *Planner[P]) proposalApplied() {
	placements := pl.inFlight.placements
	pl.inFlight = proposal{}
	pl.requeue(placements)
}

// requeue returns the tasks that still wait to the queue, and restores the free
// resources of all the chosen workers in the index.
func (pl *Planner[P]) requeue(placements []placement) {
	for _, plc := range placements {
		if jb := plc.bl.job; jb.closeReason == NoReason && jb.tasks[plc.wt.index].state == Waiting {
			pl.queue.push(ref{job: jb, index: plc.wt.index}, plc.wt.since)
		}
		pl.updateIndex(plc.workerIndex)
	}
}

func (pl *Planner[P]) opAccepted(now model.Instant, op *Op) {
	switch op.kind {
	case OpSubmit:
		pl.jobSubmitted(now, op)
	case OpCancel, OpFail:
		pl.jobsClosed(now, op)
	case OpRegisterWorker:
		pl.workerRegistered(op)
	case OpRemoveWorker:
		pl.workerRemoved(now, op)
	case OpMarkSilent, OpClearSilent:
		pl.silenceChanged(op)
	case OpStart, OpConfirm, OpEnd, OpCheckpoint, OpEvict, OpResize:
		pl.attemptChanged(now, op)
	}
}

func (pl *Planner[P]) jobSubmitted(now model.Instant, op *Op) {
	spec := op.job.spec
	if jb, ok := pl.st.jobs[spec.ID]; ok {
		pl.queue.submit(jb, now)
	}
	pl.emit("jobSubmitted", event.Subject{Job: spec.ID},
		event.NewField("tasks", strconv.Itoa(spec.Tasks)), event.NewField("team", string(spec.Team)))
}

// jobsClosed emits the events of cancelled or failed jobs and sends stop
// orders for their live attempts.
func (pl *Planner[P]) jobsClosed(now model.Instant, op *Op) {
	kind, reason := event.Kind("jobCancelled"), ReasonCancelled
	if op.kind == OpFail {
		kind, reason = "jobFailed", op.reason
	}
	for _, id := range op.jobs {
		jb, ok := pl.st.jobs[id]
		if !ok || jb.closeReason != reason {
			continue
		}
		pl.emit(kind, event.Subject{Job: id}, event.NewField("reason", reason.String()))
		for i := range jb.tasks {
			if tk := &jb.tasks[i]; tk.state == Stopping {
				pl.stopRequested(now, ref{job: jb, index: int32(i)}, tk.workerNumber-1)
			}
		}
		if jb.open == 0 {
			pl.discardJob(jb)
		}
	}
}

// stopRequested records the time of the stop request for the attempt of re and
// sends the stop order at once if the worker has an open poll.
func (pl *Planner[P]) stopRequested(now model.Instant, re ref, idx int32) {
	wst := &pl.statuses[idx]
	for i := range wst.attempts {
		if la := &wst.attempts[i]; la.ref == re {
			la.recordedAt, la.orderedAt, la.stopping = stampOf(now), 0, true
		}
	}
	pl.answerPoll(now, idx, false)
}

func (pl *Planner[P]) workerRegistered(op *Op) {
	idx := pl.st.workerIndexes[op.worker]
	wst := pl.ensureStatus(idx)
	pl.recomputeTotals()
	for i, pol := range pl.unregistered {
		if pol.worker == op.worker {
			// The poll that registered the worker is its first report.
			wst.lastReport, wst.reporting, wst.poll = pol.received, true, pol
			pl.unregistered = append(pl.unregistered[:i], pl.unregistered[i+1:]...)
			break
		}
	}
	pl.updateIndex(idx)
	// The event "workerKnown" means that the worker is registered.
	pl.emit("workerKnown", event.Subject{Worker: op.worker}, event.NewField("rack", op.rack))
}

func (pl *Planner[P]) workerRemoved(now model.Instant, op *Op) {
	idx := pl.st.workerIndexes[op.worker]
	if res := pl.statuses[idx].reservation; res != nil {
		pl.endReservation(now, res, outcomeUnusable)
	}
	pl.statuses[idx] = workerStatus{}
	pl.failures.RemoveWorker(op.worker)
	pl.guard.ResetWorker(op.worker)
	pl.index.Remove(idx)
	pl.recomputeTotals()
	pl.emit("workerRemoved", event.Subject{Worker: op.worker})
}

// recomputeTotals recomputes the total capacity and the distinct sizes of the
// registered workers.
func (pl *Planner[P]) recomputeTotals() {
	pl.accounts.total, pl.workerSizes, pl.registeredWorkers = model.Resources{}, nil, 0
	for _, wk := range pl.st.workers {
		if !wk.registered {
			continue
		}
		pl.registeredWorkers++
		pl.accounts.total = pl.accounts.total.Add(wk.size)
		if !slices.Contains(pl.workerSizes, wk.size) {
			pl.workerSizes = append(pl.workerSizes, wk.size)
		}
	}
}

// fitsAnyWorker reports whether a registered worker is large enough for need
// when empty.
func (pl *Planner[P]) fitsAnyWorker(need model.Resources) bool {
	for _, size := range pl.workerSizes {
		if need.FitsIn(size) {
			return true
		}
	}
	return false
}

// attemptChanged updates the leader-only state after an operation on an
// attempt.
func (pl *Planner[P]) attemptChanged(now model.Instant, op *Op) {
	re, ok := pl.st.find(op.task)
	if op.kind == OpEnd {
		pl.attemptEnded(now, op)
		return
	}
	if !ok {
		return
	}
	tk := re.task()
	sub := event.Subject{Job: op.task.Job(), Task: op.task.String(), Worker: pl.st.workerName(tk.workerNumber)}
	att := event.NewField("attempt", strconv.Itoa(int(op.attempt)))
	idx := tk.workerNumber - 1
	if idx < 0 {
		// A later operation of the same command ended the attempt.
		return
	}
	switch op.kind {
	case OpStart:
		pl.addAttempt(now, idx, re)
		pl.updateIndex(idx)
		pl.emit("taskStarted", sub, att)
	case OpConfirm:
		pl.clearRecordPending(re, idx)
		pl.emit("taskRunning", sub, att)
	case OpEvict:
		pl.emit("taskStopAsked", sub, att, event.NewField("reason", op.reason.String()))
		pl.stopRequested(now, re, idx)
	case OpResize:
		pl.attemptResized(re, idx, op.size)
	}
}

// clearRecordPending allows the next report to queue a confirmation or an end
// of the attempt, after the earlier one was applied or rejected.
func (pl *Planner[P]) clearRecordPending(re ref, idx int32) {
	wst := &pl.statuses[idx]
	for i := range wst.attempts {
		if wst.attempts[i].ref == re {
			wst.attempts[i].recordPending = false
		}
	}
}

// attemptEnded removes the attempt from the leader-only state and requeues its
// task if another attempt is needed. The state may have deleted the job already
// if its last task ended in this command.
func (pl *Planner[P]) attemptEnded(now model.Instant, op *Op) {
	idx, la, ok := pl.removeAttempt(op)
	if !ok {
		return
	}
	jb := la.ref.job
	pl.accounts.sub(jb.spec, la.size.resources(), la.borrowed)
	if jb.spec.Priority == model.Batch {
		pl.batchAttempts--
	}
	pl.recordOutcome(now, idx, &la, op.outcome)
	pl.queue.addToRack(jb, pl.index.RackOf(pl.st.workers[idx].rack), -1)
	pl.updateIndex(idx)
	sub := event.Subject{Job: jb.spec.ID, Task: op.task.String(), Worker: pl.st.workers[idx].id}
	pl.emit("taskEnded", sub, event.NewField("attempt", strconv.Itoa(int(op.attempt))),
		event.NewField("outcome", op.outcome.String()))
	if la.task().state == Waiting {
		pl.queue.push(la.ref, now)
	}
	if jb.open == 0 {
		pl.discardJob(jb)
	}
}

// removeAttempt removes and returns the leader's entry of the attempt that op
// names, with the index of its worker.
func (pl *Planner[P]) removeAttempt(op *Op) (int32, liveAttempt, bool) {
	idx, ok := pl.st.workerIndexes[op.worker]
	if !ok {
		return 0, liveAttempt{}, false
	}
	wst := pl.ensureStatus(idx)
	for i := range wst.attempts {
		if la := wst.attempts[i]; la.attempt == op.attempt && la.ref.id() == op.task {
			last := len(wst.attempts) - 1
			wst.attempts[i] = wst.attempts[last]
			wst.attempts[last] = liveAttempt{}
			wst.attempts = wst.attempts[:last]
			return idx, la, true
		}
	}
	return 0, liveAttempt{}, false
}

// answerOrdered answers the open polls of workers on which the command started
// or confirmed attempts, if there are orders for them.
func (pl *Planner[P]) answerOrdered(now model.Instant, cmd Command) {
	for i := range cmd.ops {
		op := &cmd.ops[i]
		if op.kind != OpStart && op.kind != OpConfirm {
			continue
		}
		if re, ok := pl.st.find(op.task); ok && re.task().workerNumber > 0 {
			pl.answerPoll(now, re.task().workerNumber-1, false)
		}
	}
}
