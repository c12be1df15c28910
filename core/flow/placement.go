package flow

import "guavarail/core/model"

// plan places the tasks that can start now and adds their starts to pendingOps.
func (pl *Planner) plan(now model.Instant) {
	pl.bound.begin()
	pl.claimPace.begin(now)
	pl.claimsLeft = pl.maxClaims()
	pl.openLeft = pl.claimsLeft / openDivisor
	pl.misses, pl.claimMisses = pl.misses[:0], pl.claimMisses[:0]
	pl.indexRoom()
	pl.beginRound()
	pl.renewKept(now)
	pl.measureWorkers()
	pl.measurePools()
	steps := pl.readySteps(now)
	pl.measureRoom(steps)
	for i := range steps {
		rs := &steps[i]
		rs.position = i
		if i == 0 || steps[i-1].job.spec.Priority != rs.job.spec.Priority {
			pl.holdQuotaTurns(rs.job.spec.Priority)
		}
		next := i + 1
		if !pl.bound.skips(i, rs) && !pl.startStep(now, rs) {
			next = i
		}
		if pl.bound.over(i) {
			pl.dirty = pl.bound.end(next, len(steps))
			return
		}
		last := i+1 == len(steps) || steps[i+1].job.spec.Priority != rs.job.spec.Priority
		if last && len(pl.postponed) > 0 && !pl.startPostponed(now) {
			pl.dirty = pl.bound.end(i+1, len(steps))
			return
		}
	}
}

// startStep places the waiting tasks of a step. It returns false if the plan must end before.
func (pl *Planner) startStep(now model.Instant, rs *readyStep) bool {
	if rs.spec.Gang {
		pl.startGang(now, *rs)
		return true
	}
	return pl.startTasks(now, *rs)
}

// indexRoom drops the claims of the plan before, or carries them on, and indexes the workers
// that may get tasks.
func (pl *Planner) indexRoom() {
	pl.room.reset()
	clear(pl.suitable)
	carried := map[*step]int{}
	for _, wk := range pl.workers.sorted {
		if pl.claimPace.open {
			wk.claims.reset()
		} else {
			wk.claims.carry(carried)
		}
		if pl.unavailable(wk) == notRejected {
			pl.room.add(wk)
		}
	}
	pl.room.build()
}

// startTasks places the waiting tasks of a step one by one until no worker is
// eligible for the next. It returns false if the plan must end before.
func (pl *Planner) startTasks(now model.Instant, rs readyStep) bool {
	sp := &rs.occ.steps[rs.step]
	started := 0
	defer func() { pl.recordStarts(now, rs, started) }()
	cho := pl.newChooser(now, rs, nil)
	for i := range sp.tasks {
		tk := &sp.tasks[i]
		if !rs.wants(tk) {
			continue
		}
		if pl.bound.reached() {
			return false
		}
		id := NewTaskID(rs.job.ID(), rs.occurrenceIndex, rs.step, i)
		if !pl.withinQuota(&rs) {
			pl.waitForQuota(now, &rs, id)
			return true
		}
		if pl.postpone(&rs) {
			return true
		}
		if !pl.leavesRoom(&rs, 1) {
			pl.recordHeldBack(now, &rs, id)
			return true
		}
		if spares := pl.sparesPlaces(&rs); spares != cho.spares {
			cho = pl.newChooser(now, rs, nil)
			cho.spares = spares
		}
		wk := cho.next(id)
		switch {
		case wk == nil && cho.spares != spared{}:
			pl.recordHeldBack(now, &rs, id)
			return true
		case wk == nil:
			pl.waitForRoom(now, &rs, id)
			return true
		}
		pl.takeRoom(&rs, wk)
		started++
		sp.waitingSince = now
		pl.proposeStart(now, rs, tk, id, tk.attempt+1, wk)
		pl.releaseKept(&rs, wk)
		// The placed run ends the starvation of the job.
		rs.starved = false
		rs.job.idleSince = 0
	}
	return true
}

// waitForRoom handles tasks for which no worker is eligible now. Long-running
// tasks that have lost their runs claim capacity and may preempt runs for it. So
// does a task of an overdue step, but it preempts nothing. A gang does so as a
// whole. id is one of the tasks.
func (pl *Planner) waitForRoom(now model.Instant, rs *readyStep, id TaskID) {
	rs.state().quotaSince = 0
	rs.holdQuota()
	claimed := 0
	switch {
	case !pl.claimPace.open:
		claimed = rs.carryClaims()
	case rs.spec.Gang && (rs.restart || rs.overdue):
		claimed = pl.claimForGang(now, rs, id)
	case rs.restart:
		claimed = pl.claimForRestart(now, rs, id)
	case rs.overdue:
		claimed = pl.claimForOverdue(now, rs, id)
	}
	if own := rs.state().turn; own != nil && pl.claimPace.open {
		own.tried = true
	}
	rs.state().claims = claimed
	if !rs.spec.Filler {
		pl.recordCapacity(now)
	}
	pl.recordWait(now, *rs, id, claimed)
}

// startGang places all tasks of a gang or none. All of them get the same
// attempt number, higher than any earlier one.
func (pl *Planner) startGang(now model.Instant, rs readyStep) {
	sp := &rs.occ.steps[rs.step]
	attempt := 0
	for i := range sp.tasks {
		if !sp.tasks[i].waiting() {
			return
		}
		attempt = max(attempt, sp.tasks[i].attempt+1)
	}
	if !pl.withinQuota(&rs) {
		pl.waitForQuota(now, &rs, NewTaskID(rs.job.ID(), rs.occurrenceIndex, rs.step, 0))
		return
	}
	if pl.postpone(&rs) {
		return
	}
	spares := pl.sparesPlaces(&rs)
	if !pl.leavesRoom(&rs, len(sp.tasks)) || spares.endangered {
		pl.recordHeldBack(now, &rs, NewTaskID(rs.job.ID(), rs.occurrenceIndex, rs.step, 0))
		return
	}
	cho := pl.newChooser(now, rs, nil)
	cho.spares = spares
	room := pl.roomOf(rs.job.spec.Service)
	before := room.clone()
	placed := make([]*worker, 0, len(sp.tasks))
	for i := range sp.tasks {
		id := NewTaskID(rs.job.ID(), rs.occurrenceIndex, rs.step, i)
		wk := cho.next(id)
		if wk == nil {
			for j, reserved := range placed {
				pl.unreserve(reserved, NewTaskID(rs.job.ID(), rs.occurrenceIndex, rs.step, j), attempt, &sp.tasks[j])
				rs.refund()
			}
			*room = before
			if cho.spares != (spared{}) {
				pl.recordHeldBack(now, &rs, id)
				return
			}
			pl.waitForRoom(now, &rs, id)
			return
		}
		if i == 0 {
			cho = pl.newChooser(now, rs, wk)
			cho.spares = spares
		}
		placed = append(placed, wk)
		pl.takeRoom(&rs, wk)
		pl.reserve(now, rs, &sp.tasks[i], id, attempt, wk)
	}
	sp.waitingSince = now
	pl.recordStarts(now, rs, len(placed))
	for i, wk := range placed {
		pl.releaseKept(&rs, wk)
		id := NewTaskID(rs.job.ID(), rs.occurrenceIndex, rs.step, i)
		pl.pendingOps = append(pl.pendingOps, Start(id, attempt, wk.incarnation))
	}
}

// proposeStart reserves resources for one task on a worker and adds its start to
// pendingOps.
func (pl *Planner) proposeStart(now model.Instant, rs readyStep, tk *task, id TaskID, attempt int, wk *worker) {
	pl.reserve(now, rs, tk, id, attempt, wk)
	pl.pendingOps = append(pl.pendingOps, Start(id, attempt, wk.incarnation))
}

// reserve adds a planned run to a worker and so reserves the worker's resources
// for it. The caller adds the start to pendingOps or calls unreserve.
func (pl *Planner) reserve(now model.Instant, rs readyStep, tk *task, id TaskID, attempt int, wk *worker) {
	tk.plannedStarts++
	rs.charge()
	pr := newPlacedRun(rs.job, id, attempt, now)
	pr.planned, pr.checkpoint = true, tk.checkpoint
	pl.addRun(wk, pr)
	pl.room.update(wk)
	if rs.spec.Filler || rs.spec.serves() {
		wk.updateServingJobs(pl)
	}
}

// unreserve removes a run whose start was not added to pendingOps.
func (pl *Planner) unreserve(wk *worker, id TaskID, attempt int, tk *task) {
	if pr := wk.find(id, attempt); pr != nil {
		pl.removeRun(wk, pr)
		pl.room.update(wk)
		tk.plannedStarts--
	}
}
