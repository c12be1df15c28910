package flow

import (
	"guavarail/core/model"
	"guavarail/core/share"
)

// poolCustomer identifies a workspace on the workers of a service.
type poolCustomer struct {
	service   model.ServiceID
	workspace model.WorkspaceID
}

// seat is the seat of a workspace among the workers of a service in a plan.
type seat = share.Seat

// countUse adds a run of a step to what the workspace of its job has in use, or removes it:
// by is 1 or -1.
func (st *State) countUse(jb *job, spec *StepSpec, by int) {
	if jb.spec.Workspace != "" {
		st.used.Add(jb.spec.Workspace, sumOf(spec.Size, by), false)
	}
	st.reserved.Add(poolCustomer{service: jb.spec.Service, workspace: jb.spec.Workspace}, sumOf(spec.reservation(), by), false)
}

// countRuns is as countUse for all runs of a job.
func (st *State) countRuns(jb *job, by int) {
	for _, occ := range jb.occurrences {
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				if num := len(occ.steps[s].tasks[i].runs); num > 0 {
					st.countUse(jb, &jb.spec.Steps[s], by*num)
				}
			}
		}
	}
}

// overQuota reports whether the start of a task would exceed the quota of its job's
// workspace. The first start of a gang is refused unless the quota holds all members that
// have no run, so that either all starts of a gang in a log entry are refused or none.
func (st *State) overQuota(jb *job, spec *StepSpec, sp *step) bool {
	te, ok := st.terms[jb.spec.Workspace]
	if !ok || jb.spec.Workspace == "" {
		return false
	}
	limit, limited := te.Limit()
	need := spec.Size
	if spec.Gang {
		need = sumOf(spec.Size, max(1, sp.idleTasks))
	}
	return limited && !share.Fits(st.used.Use(jb.spec.Workspace).Owned(), need, limit)
}

// beginRound begins the plan's round of starts, unless there are no terms.
func (pl *Planner) beginRound() {
	pl.postponed = pl.postponed[:0]
	clear(pl.heldSteps)
	clear(pl.quotaTurns)
	pl.sharing = len(pl.st.terms) > 0
	if !pl.sharing {
		return
	}
	if pl.round == nil || pl.roundTerms != pl.st.termsSet {
		pl.round, pl.roundTerms = share.NewRound[model.ServiceID](pl.st.terms, &pl.st.used), pl.st.termsSet
	}
	pl.round.Begin()
	pl.st.reserved.Each(func(pc poolCustomer, us share.Use) {
		pl.round.Seat(pc.service, pc.workspace).Record(us.Total())
	})
	// No proposal is under way, so that these ends are applied before the starts of the
	// plan.
	for i := range pl.pendingOps {
		op := &pl.pendingOps[i]
		if op.kind != OpEnd {
			continue
		}
		if jb, _, tk, ok := pl.st.find(op.task); ok && tk.find(op.attempt) >= 0 {
			pl.round.Customer(jb.spec.Workspace).Release(jb.spec.Steps[op.task.step].Size)
		}
	}
}

// measurePools sets the capacity of the services in the round.
func (pl *Planner) measurePools() {
	if !pl.sharing {
		return
	}
	for service, ro := range pl.rooms {
		pl.round.Pool(service, ro.total)
	}
}

// postpone reports whether the next start of a step has to wait until the other steps of its
// priority have been placed, because its workspace has its fair share of the workers of the
// service, and if so remembers the step. Restarts of long-running tasks and steps that have
// an overdue turn don't wait.
func (pl *Planner) postpone(rs *readyStep) bool {
	if rs.seat == nil || rs.beyondShare || rs.restart || rs.overdue || rs.seat.BelowShare(rs.job.spec.Priority) {
		return false
	}
	pl.postponed = append(pl.postponed, *rs)
	pl.heldStepsOf(rs).share++
	return true
}

// startPostponed places the postponed steps of a priority on what the other steps have left.
// It returns false if the plan must end.
func (pl *Planner) startPostponed(now model.Instant) bool {
	ended := false
	for i := range pl.postponed {
		rs := &pl.postponed[i]
		rs.beyondShare = true
		if !ended && !pl.bound.skips(rs.position, rs) {
			pl.startStep(now, rs)
			ended = pl.bound.over(rs.position)
		}
	}
	// The buffer must not keep ended jobs in memory.
	clear(pl.postponed)
	pl.postponed = pl.postponed[:0]
	return !ended
}

// seatOf returns the seat of a job in the plan, nil if there are no terms.
func (pl *Planner) seatOf(jb *job) *seat {
	if !pl.sharing {
		return nil
	}
	if jb.round != pl.round {
		jb.seat, jb.round = pl.round.Seat(jb.spec.Service, jb.spec.Workspace), pl.round
	}
	return jb.seat
}

// requestShare adds the waiting tasks of a step to what its workspace asks for, and sets
// whether the step waits for its quota.
func (pl *Planner) requestShare(now model.Instant, rs *readyStep) {
	if rs.seat == nil {
		return
	}
	rs.seat.Ask(rs.job.spec.Priority, sumOf(rs.spec.reservation(), rs.state().idleTasks))
	rs.overQuota = !rs.seat.FitsQuota(rs.quotaNeed())
	if rs.overQuota {
		rs.resetWaits(now)
	}
	pl.chooseQuotaTurn(now, rs)
}

// quotaNeed returns what the next start of the step needs of the quota: a gang starts as a
// whole.
func (rs *readyStep) quotaNeed() model.Resources {
	if rs.spec.Gang {
		return sumOf(rs.spec.Size, rs.spec.Tasks)
	}
	return rs.spec.Size
}

// resetWaits counts the waiting time of a step, and the idle time of its job, from now. Time
// spent waiting for quota must give no overdue turn, which would delay other workspaces.
func (rs *readyStep) resetWaits(now model.Instant) {
	if !rs.restart {
		rs.state().waitingSince, rs.waitingSince = now, now
	}
	if rs.job.idleSince > 0 {
		rs.job.idleSince, rs.starved = now, false
	}
}

// withinQuota reports whether the next start of a step keeps its workspace within its quota.
func (pl *Planner) withinQuota(rs *readyStep) bool {
	switch {
	case rs.seat == nil:
		return true
	case rs.restart || pl.hasQuotaTurn(rs):
		return rs.seat.FitsQuota(rs.quotaNeed())
	}
	return rs.seat.Allows(rs.quotaNeed())
}

// charge records the planned start of a task of the step in the round.
func (rs *readyStep) charge() {
	if rs.seat != nil {
		rs.state().quotaSince = 0
		rs.seat.Charge(rs.spec.Size, rs.spec.reservation())
	}
}

// refund takes back charge.
func (rs *readyStep) refund() {
	if rs.seat != nil {
		rs.seat.Refund(rs.spec.Size, rs.spec.reservation())
	}
}

// holdQuota keeps quota for the tasks of a restart that could not start, which had it
// before, from later steps of its workspace.
func (rs *readyStep) holdQuota() {
	if rs.seat != nil && rs.restart {
		rs.seat.Hold(sumOf(rs.spec.Size, rs.waitingTasks()))
	}
}

// waitForQuota handles a step whose next start would exceed the quota of its workspace. It
// claims nothing. id is one of its tasks.
func (pl *Planner) waitForQuota(now model.Instant, rs *readyStep, id TaskID) {
	rs.resetWaits(now)
	rs.holdQuota()
	pl.heldStepsOf(rs).quota++
	sp := rs.state()
	if sp.quotaSince == 0 {
		sp.quotaSince = now
	}
	if sp.claims > 0 {
		sp.claims = 0
		for _, wk := range pl.room.workers {
			wk.claims.drop(sp)
		}
	}
	pl.recordQuotaWait(now, rs, id)
}
