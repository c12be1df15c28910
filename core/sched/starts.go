package sched

import (
	"container/heap"

	"guavarail/core/health"
	"guavarail/core/model"
	"guavarail/core/place"
	"guavarail/core/share"
)

const (
	// maxStarts bounds the starts of one command; a tick of 100 ms needs 580
	// at the peak of 5,800 a second.
	maxStarts = 4096
	// maxJobsPerTeam bounds how many jobs of one team are tried in a call of
	// startByShare, so that jobs that cannot start do not prolong it. jobsInOrder
	// of them are the first in the order; the others take turns, so that jobs that
	// cannot start hold up none that can.
	maxJobsPerTeam = 64
	jobsInOrder    = maxJobsPerTeam / 2
)

// placement is a task that the proposal in flight starts on a worker.
type placement struct {
	bl          *backlog
	wt          waitingTask
	workerIndex int32
}

// tentativeCharge is a commitment, or an increase of one, that the plan being
// made adds to the accounts until it is complete.
type tentativeCharge struct {
	spec     *JobSpec
	size     model.Resources
	borrowed bool
}

// chargeTentatively adds a commitment to the accounts while a plan is made, so
// that later decisions of the plan include it. revertCharges removes it again;
// the accounts change permanently when the command is applied.
func (pl *Planner[P]) chargeTentatively(spec *JobSpec, size model.Resources, borrowed bool) {
	pl.accounts.add(*spec, size, borrowed)
	pl.charges = append(pl.charges, tentativeCharge{spec: spec, size: size, borrowed: borrowed})
}

// revertCharges removes the tentative charges of a plan.
func (pl *Planner[P]) revertCharges() {
	for _, ch := range pl.charges {
		pl.accounts.sub(*ch.spec, ch.size, ch.borrowed)
	}
	pl.charges = pl.charges[:0]
}

// round collects the starts of one plan.
type round struct {
	ops        []Op
	placements []placement
	// unplaceable holds, by priority, the sizes for which the policy found no
	// worker in this round.
	unplaceable [model.Urgent + 1][]model.Resources
	// claimant is the job to make a claim for, its bl is nil for none.
	claimant claimant
}

// planStarts chooses workers for waiting tasks: first tasks within the quota of
// their team, by priority, then batch tasks that borrow. Among equals, the team
// with the lowest weighted share comes first.
func (pl *Planner[P]) planStarts(now model.Instant) ([]Op, []placement) {
	rnd := &round{}
	for _, tq := range pl.queue.teamOrder {
		tq.quotaHolder = nil
	}
	for pri := model.Urgent; ; pri-- {
		pl.startByShare(now, rnd, pri, false)
		if pri == model.Batch {
			break
		}
	}
	pl.startByShare(now, rnd, model.Batch, true)
	for _, tq := range pl.queue.teamOrder {
		tq.nextTurn()
	}
	pl.claimRoom(now, rnd)
	return rnd.ops, rnd.placements
}

// startByShare starts waiting tasks of one priority, each from the team with
// the lowest weighted share at that point. With borrow, tasks may exceed their
// team's quota.
func (pl *Planner[P]) startByShare(now model.Instant, rnd *round, pri model.Priority, borrow bool) {
	var teams shareHeap
	for _, tq := range pl.queue.teamOrder {
		if len(tq.compact(pri)) > 0 {
			tq.cursor, tq.share = 0, pl.share(tq.team)
			teams = append(teams, tq)
		}
	}
	heap.Init(&teams)
	for len(teams) > 0 && len(rnd.ops) < maxStarts {
		tq := teams[0]
		if !pl.startNext(now, rnd, tq, pri, borrow) {
			heap.Pop(&teams)
			continue
		}
		tq.share = pl.share(tq.team)
		heap.Fix(&teams, 0)
	}
}

// share returns the team's weighted dominant share, see share.Use.
func (pl *Planner[P]) share(id model.TeamID) float64 {
	return pl.accounts.teams.Use(id).Share(pl.accounts.total, float64(pl.quotas[id].Weight()))
}

// startNext starts a task of the first job of the team that can start one, and
// reports whether there was one.
func (pl *Planner[P]) startNext(now model.Instant, rnd *round, tq *teamQueue, pri model.Priority, borrow bool) bool {
	for ; tq.cursor < min(len(tq.backlogs[pri]), maxJobsPerTeam); tq.cursor++ {
		bl := tq.tried(pri, tq.cursor)
		wt, ok := bl.peek()
		if !ok {
			continue
		}
		bl.reason = pl.startTask(now, rnd, bl, wt, borrow)
		if bl.reason == NoReason {
			bl.head++
			bl.progressAt = now
			return true
		}
		if bl.reason.lacksRoom() {
			rnd.passOver(now, bl, borrow)
		}
	}
	return false
}

// startTask chooses a worker for one task and adds the start to the round. It
// returns why the task cannot start, else NoReason.
func (pl *Planner[P]) startTask(now model.Instant, rnd *round, bl *backlog, wt waitingTask, borrow bool) Reason {
	spec := &bl.job.spec
	need := pl.commitment(spec)
	if reason := pl.checkLimits(bl, need, borrow); reason != NoReason {
		return reason
	}
	idx, ok := pl.chooseWorker(now, rnd, bl, need, borrow)
	if !ok {
		return ReasonNoCapacity
	}
	borrow = borrow && !pl.withinQuota(bl, need)
	tk := &bl.job.tasks[wt.index]
	id := model.NewTaskID(spec.ID, int(wt.index))
	rnd.ops = append(rnd.ops, Start(id, tk.attempt+1, pl.st.workers[idx].id, need, tk.newest, borrow))
	rnd.placements = append(rnd.placements, placement{bl: bl, wt: wt, workerIndex: idx})
	pl.chargeTentatively(spec, need, borrow)
	return NoReason
}

// checkLimits checks the limits that do not depend on a worker, and returns the
// reason if one is exceeded. borrow lifts the quota; planStarts sets it only
// for batch tasks, because only batch tasks are evicted to return quota.
func (pl *Planner[P]) checkLimits(bl *backlog, need model.Resources, borrow bool) Reason {
	spec := &bl.job.spec
	if !borrow && !pl.withinQuota(bl, need) {
		pl.holdQuota(bl, need)
		return ReasonQuota
	}
	total := pl.accounts.total.MilliCPU()
	if admission := pl.lastTick.Admission; admission > 0 && admission < 100 &&
		pl.accounts.committed.MilliCPU()+need.MilliCPU() > total*int64(admission)/100 {
		return ReasonAdmission
	}
	if spec.Priority == model.Batch &&
		pl.accounts.batch.MilliCPU()+pl.withheldShare(bl, rankOf(spec.Priority, borrow))+need.MilliCPU() > total*int64(pl.lastTick.Preset.BatchShare())/100 {
		return ReasonBatchShare
	}
	return NoReason
}

// withinQuota reports whether need fits in the unused quota of the team, without
// the quota that is held for another job. A preset without quotas sets no
// limits; in a preset with quotas, a team without one has a quota of zero.
func (pl *Planner[P]) withinQuota(bl *backlog, need model.Resources) bool {
	if len(pl.quotas) == 0 {
		return true
	}
	tq := bl.team
	used := pl.accounts.teams.Use(tq.team).Owned()
	if tq.quotaHolder != nil && tq.quotaHolder != bl {
		used = used.Add(tq.heldQuota)
	}
	return share.Fits(used, need, pl.quotaLimit(tq.team))
}

// quotaLimit returns the quota of the team in this data centre.
func (pl *Planner[P]) quotaLimit(id model.TeamID) model.Resources {
	lim := pl.quotas[id].Limit()
	if pl.lastTick.QuotaPercent > 0 {
		lim = share.Percent(lim, pl.lastTick.QuotaPercent)
	}
	return lim
}

// holdQuota holds quota for a task that waits for it, if it is the first of its
// team and can ever have it. Otherwise smaller tasks that come later in the
// order would use each part of the quota that becomes free. A batch task may
// borrow instead, and needs the quota only if the last plan found no room for it.
func (pl *Planner[P]) holdQuota(bl *backlog, need model.Resources) {
	if bl.job.spec.Priority == model.Batch && !bl.reason.lacksRoom() {
		return
	}
	if tq := bl.team; tq.quotaHolder == nil && need.FitsIn(pl.quotaLimit(tq.team)) {
		tq.quotaHolder, tq.heldQuota = bl, need
	}
}

func quotasOf(pre model.Preset) map[model.TeamID]model.Quota {
	out := map[model.TeamID]model.Quota{}
	for _, quo := range pre.Quotas() {
		out[quo.Team()] = quo
	}
	return out
}

// commitment returns the resources that an attempt of the job gets: the
// declared size, or the larger of it and the measured usage of its kind in each
// dimension, unless that is too large for every worker.
func (pl *Planner[P]) commitment(spec *JobSpec) model.Resources {
	if learned, ok := pl.kinds.size(spec.Kind); ok {
		if need := spec.Size.Max(learned); pl.fitsAnyWorker(need) {
			return need
		}
	}
	return spec.Size
}

// chooseWorker chooses a worker for a task of the job, reserves need on it in
// the placement index and returns the worker's index, or false if there is
// none. A worker reserved for the job comes first, then the choice of the
// policy, then a worker on which another job has a claim that yields.
func (pl *Planner[P]) chooseWorker(now model.Instant, rnd *round, bl *backlog, need model.Resources, borrow bool) (int32, bool) {
	if idx, ok := pl.useReservation(now, bl, need); ok {
		return idx, true
	}
	if idx, ok := pl.chooseUnreserved(rnd, bl, need); ok {
		return idx, true
	}
	return pl.overtakeClaim(now, bl, need, rankOf(bl.job.spec.Priority, borrow))
}

// chooseUnreserved lets the policy choose a worker, without the room that is
// reserved for other tasks.
func (pl *Planner[P]) chooseUnreserved(rnd *round, bl *backlog, need model.Resources) (int32, bool) {
	pri := bl.job.spec.Priority
	for _, size := range rnd.unplaceable[pri] {
		if size.FitsIn(need) {
			return 0, false
		}
	}
	req := place.NewRequest(need, pri)
	if pri == model.Service {
		req = req.Spread(&bl.racks)
	}
	if id := bl.job.spec.ID; pl.failures.HasFailures(id) {
		req = req.Avoid(func(idx int32) bool { return pl.failures.FailedOn(id, pl.st.workers[idx].id) })
	}
	if pri == model.Batch && pl.lastTick.Preset.Guards() {
		kind := bl.job.spec.Kind
		req = req.Forbid(func(idx int32) bool { return pl.interferes(idx, kind) })
	}
	idx, ok := pl.policy.Choose(&pl.index, req)
	if !ok || !pl.index.Reserve(idx, need) {
		rnd.unplaceable[pri] = append(rnd.unplaceable[pri], need)
		return 0, false
	}
	if pl.failures.Standing(pl.st.workers[idx].id) == health.OnProbation {
		// A worker on probation gets one task; the outcome ends its probation.
		pl.index.Remove(idx)
	}
	return idx, true
}
