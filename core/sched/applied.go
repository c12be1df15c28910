package sched

import (
	"slices"
	"strconv"

	"guavarail/core/event"
	"guavarail/core/model"
)

// applied follows the state after a command.
func (pl *Planner[P]) applied(now model.Instant, cmd Command, res Result) {
	if !pl.leading {
		return
	}
	for i := range min(len(cmd.ops), len(res.verdicts)) {
		op := &cmd.ops[i]
		if res.verdicts[i] == Accepted {
			pl.accepted(now, op)
			continue
		}
		if re, ok := pl.st.find(op.task); ok && re.task().worker > 0 {
			pl.untold(re, re.task().worker-1)
		}
	}
	pl.noteEnded(cmd, res)
	if pl.flight.active && cmd.serial == pl.flight.serial {
		pl.landed()
	}
	pl.answerTouched(now, cmd)
}

// noteEnded reports each job that ended with the command once, also when its
// last tasks ended together.
func (pl *Planner[P]) noteEnded(cmd Command, res Result) {
	for i := range min(len(cmd.ops), len(res.verdicts)) {
		if cmd.ops[i].kind != OpEnd || res.verdicts[i] != Accepted || !endsJob(cmd, i) {
			continue
		}
		if jb, ok := pl.st.jobs[cmd.ops[i].task.Job()]; ok && jb.open == 0 {
			pl.note("jobEnded", event.Subject{Job: jb.spec.ID}, event.NewField("state", jb.view().State().String()))
		}
	}
}

// landed ends the proposal under way; tasks whose start was rejected wait
// again.
func (pl *Planner[P]) landed() {
	picks := pl.flight.picks
	pl.flight = flight{}
	pl.requeue(picks)
}

func (pl *Planner[P]) requeue(picks []pick) {
	for _, pk := range picks {
		if jb := pk.bl.job; jb.closed == NoReason && jb.tasks[pk.wt.index].state == Waiting {
			pl.queue.push(ref{job: jb, index: pk.wt.index}, pk.wt.since)
		}
		pl.refresh(pk.slot)
	}
}

func (pl *Planner[P]) accepted(now model.Instant, op *Op) {
	switch op.kind {
	case OpSubmit:
		pl.submitted(now, op)
	case OpCancel, OpFail:
		pl.closedJobs(now, op)
	case OpWorker:
		pl.workerKnown(op)
	case OpRemove:
		pl.workerRemoved(op)
	case OpStart, OpConfirm, OpEnd, OpCheckpoint, OpEvict, OpResize:
		pl.progressed(now, op)
	}
}

func (pl *Planner[P]) submitted(now model.Instant, op *Op) {
	spec := op.job.spec
	if jb, ok := pl.st.jobs[spec.ID]; ok {
		pl.queue.submit(jb, now)
	}
	pl.note("jobSubmitted", event.Subject{Job: spec.ID},
		event.NewField("tasks", strconv.Itoa(spec.Tasks)), event.NewField("team", string(spec.Team)))
}

// closedJobs lets the workers know about the attempts to stop.
func (pl *Planner[P]) closedJobs(now model.Instant, op *Op) {
	kind, why := event.Kind("jobCancelled"), ReasonCancelled
	if op.kind == OpFail {
		kind, why = "jobFailed", op.reason
	}
	for _, id := range op.jobs {
		jb, ok := pl.st.jobs[id]
		if !ok || jb.closed != why {
			continue
		}
		pl.note(kind, event.Subject{Job: id}, event.NewField("reason", why.String()))
		for i := range jb.tasks {
			if tk := &jb.tasks[i]; tk.state == Stopping {
				pl.stopAsked(now, ref{job: jb, index: int32(i)}, tk.worker-1)
			}
		}
		if jb.open == 0 {
			pl.forget(jb)
		}
	}
}

func (pl *Planner[P]) stopAsked(now model.Instant, re ref, slot int32) {
	wst := &pl.statuses[slot]
	for i := range wst.lives {
		if lv := &wst.lives[i]; lv.ref == re {
			lv.since, lv.ordered = stampOf(now), 0
		}
	}
	pl.answer(now, slot, false)
}

func (pl *Planner[P]) workerKnown(op *Op) {
	slot := pl.st.slots[op.worker]
	wst := pl.ensure(slot)
	pl.recount()
	for i, pol := range pl.newcomers {
		if pol.worker == op.worker {
			// The worker has just reported.
			wst.seen, wst.heard, wst.poll = pol.received, true, pol
			pl.newcomers = append(pl.newcomers[:i], pl.newcomers[i+1:]...)
			break
		}
	}
	pl.refresh(slot)
	pl.note("workerKnown", event.Subject{Worker: op.worker}, event.NewField("rack", op.rack))
}

func (pl *Planner[P]) workerRemoved(op *Op) {
	slot := pl.st.slots[op.worker]
	pl.statuses[slot] = workerStatus{}
	pl.failures.Dismiss(op.worker)
	pl.guard.Dismiss(op.worker)
	pl.index.Close(slot)
	pl.recount()
	pl.note("workerRemoved", event.Subject{Worker: op.worker})
}

// recount sums up the sizes of the known workers.
func (pl *Planner[P]) recount() {
	pl.usage.total, pl.sizes = model.Resources{}, nil
	for _, wk := range pl.st.workers {
		if !wk.known {
			continue
		}
		pl.usage.total = pl.usage.total.Add(wk.size)
		if !slices.Contains(pl.sizes, wk.size) {
			pl.sizes = append(pl.sizes, wk.size)
		}
	}
}

// fitsSomewhere reports whether some known worker is large enough.
func (pl *Planner[P]) fitsSomewhere(need model.Resources) bool {
	for _, size := range pl.sizes {
		if need.FitsIn(size) {
			return true
		}
	}
	return false
}

// progressed follows an operation on an attempt.
func (pl *Planner[P]) progressed(now model.Instant, op *Op) {
	re, ok := pl.st.find(op.task)
	if op.kind == OpEnd {
		pl.ended(now, op)
		return
	}
	if !ok {
		return
	}
	tk := re.task()
	sub := event.Subject{Job: op.task.Job(), Task: op.task.String(), Worker: pl.st.name(tk.worker)}
	att := event.NewField("attempt", strconv.Itoa(int(op.attempt)))
	slot := tk.worker - 1
	if slot < 0 {
		// A later operation of the same command ended the attempt.
		return
	}
	switch op.kind {
	case OpStart:
		pl.addLive(now, slot, re)
		pl.refresh(slot)
		pl.note("taskStarted", sub, att)
	case OpConfirm:
		pl.untold(re, slot)
		pl.note("taskRunning", sub, att)
	case OpEvict:
		pl.note("taskStopAsked", sub, att, event.NewField("reason", op.reason.String()))
		pl.stopAsked(now, re, slot)
	case OpResize:
		pl.resizedLive(re, slot, op.size)
	}
}

func (pl *Planner[P]) untold(re ref, slot int32) {
	wst := &pl.statuses[slot]
	for i := range wst.lives {
		if wst.lives[i].ref == re {
			wst.lives[i].told = false
		}
	}
}

func (pl *Planner[P]) resizedLive(re ref, slot int32, size model.Resources) {
	wst := &pl.statuses[slot]
	for i := range wst.lives {
		if lv := &wst.lives[i]; lv.ref == re {
			pl.usage.sub(re.job.spec, lv.size.resources(), lv.borrowed)
			lv.size, lv.over, lv.throttle = pack(size), 0, false
			pl.usage.add(re.job.spec, size, lv.borrowed)
		}
	}
	pl.refresh(slot)
}

// ended drops what is known of an attempt. The job may be gone already when
// its last task ended in this command.
func (pl *Planner[P]) ended(now model.Instant, op *Op) {
	slot, lv, ok := pl.takeLive(op)
	if !ok {
		return
	}
	jb := lv.ref.job
	pl.usage.sub(jb.spec, lv.size.resources(), lv.borrowed)
	if jb.spec.Priority == model.Batch {
		pl.batch--
	}
	pl.attribute(now, slot, &lv, op.outcome)
	pl.queue.occupy(jb, pl.index.RackOf(pl.st.workers[slot].rack), -1)
	pl.refresh(slot)
	sub := event.Subject{Job: jb.spec.ID, Task: op.task.String(), Worker: pl.st.workers[slot].id}
	pl.note("taskEnded", sub, event.NewField("attempt", strconv.Itoa(int(op.attempt))),
		event.NewField("outcome", op.outcome.String()))
	if lv.task().state == Waiting {
		pl.queue.push(lv.ref, now)
	}
	if jb.open == 0 {
		pl.forget(jb)
	}
}

// takeLive removes and returns the live entry of an attempt.
func (pl *Planner[P]) takeLive(op *Op) (int32, live, bool) {
	slot, ok := pl.st.slots[op.worker]
	if !ok {
		return 0, live{}, false
	}
	wst := pl.ensure(slot)
	for i := range wst.lives {
		if lv := wst.lives[i]; lv.attempt == op.attempt && lv.ref.id() == op.task {
			last := len(wst.lives) - 1
			wst.lives[i] = wst.lives[last]
			wst.lives[last] = live{}
			wst.lives = wst.lives[:last]
			return slot, lv, true
		}
	}
	return 0, live{}, false
}

// answerTouched sends the orders of a command to the workers that poll.
func (pl *Planner[P]) answerTouched(now model.Instant, cmd Command) {
	for i := range cmd.ops {
		op := &cmd.ops[i]
		if op.kind != OpStart && op.kind != OpConfirm {
			continue
		}
		if re, ok := pl.st.find(op.task); ok && re.task().worker > 0 {
			pl.answer(now, re.task().worker-1, false)
		}
	}
}
