package flow

import (
	"cmp"
	"time"

	"guavarail/core/model"
)

const (
	// agingWeight is the weight of the elapsed fraction of a job's objective in
	// its rank (see stepRank).
	agingWeight = 1.0
	// starvationTime is how long a job may have no run before one of its
	// fillers may start on a worker that lacks processors or whose serving
	// tasks would miss their target, so that no job waits forever.
	starvationTime = 1500 * time.Millisecond
	// urgentAfter is how long a long-running task has no run before its restart
	// goes before steps of all priorities.
	urgentAfter = 3 * time.Second
)

// readyStep is a step of an occurrence that has waiting tasks and depends only
// on complete steps.
type readyStep struct {
	job             *job
	occ             *occurrence
	occurrenceIndex int
	step            int
	spec            *StepSpec
	// slack is the time until the step must start at the latest for the job to
	// meet its objective; negative if that time has passed.
	slack time.Duration
	// rank is the result of stepRank. Steps with a lower rank come first.
	rank float64
	// starved is set if the job has had no run for starvationTime.
	starved bool
	// restart selects which waiting tasks of a long-running step are meant: those
	// that have run before, or those that have not. All waiting tasks of a gang
	// are meant; it is a restart if one of them has run before. restart is false
	// for any other step, of which all waiting tasks are meant.
	restart bool
	// waitingSince is, for a restart, the earliest time since which one of its
	// tasks has had no run, and otherwise that of the step.
	waitingSince model.Instant
	// overdue is set for a step that has an overdue turn, since turnSince.
	overdue   bool
	turnSince model.Instant
	// urgent is set for a restart that has waited for urgentAfter.
	urgent bool
	// position is the index of the step in the scheduling order.
	position int
	// seat is that of the job's workspace in the plan, nil if there are no terms.
	seat *seat
	// overQuota is set if the step waits for the quota of its workspace as the plan begins.
	overQuota bool
	// quotaTurn is set for a step that has the quota turn of its workspace.
	quotaTurn bool
	// beyondShare is set once the step may use what workspaces below their fair share have
	// left.
	beyondShare bool
}

// wants reports whether rs is meant to place a task now.
func (rs *readyStep) wants(tk *task) bool {
	return tk.waiting() && (!rs.spec.LongRunning || rs.spec.Gang || rs.restart == tk.ran)
}

// readySteps returns the ready steps in scheduling order: urgent restarts, then
// by priority, then restarts of long-running tasks, those that have waited
// longest before the others, then overdue steps, those with the oldest turns
// first, then steps with the quota turn of their workspace, then long-running
// steps, then jobs that can still meet their objective, then by rank. The result
// is valid until the next call.
func (pl *Planner) readySteps(now model.Instant) []readyStep {
	wall := pl.wall(now)
	out := pl.sorter.collected[:0]
	for _, jb := range pl.openJobs {
		if jb.status.Final() {
			continue
		}
		for k := range jb.occurrenceCount() {
			if jb.spec.Repetitions > 0 && jb.due(k) > wall {
				break
			}
			occ := jb.occurrence(k)
			if occ.openSteps == 0 {
				continue
			}
			out = pl.appendReadySteps(now, out, jb, occ, k, wall)
		}
	}
	pl.observeDemand(now)
	pl.chooseTurns(now, out)
	pl.markQuotaTurns(out)
	pl.sorter.collected = out
	return pl.sorter.sort()
}

// appendReadySteps appends the ready steps of occurrence k to out and updates
// idleSince of the job. wall is the wall clock in milliseconds since 1970.
func (pl *Planner) appendReadySteps(now model.Instant, out []readyStep, jb *job, occ *occurrence, k int, wall int64) []readyStep {
	if jb.liveRuns > 0 {
		jb.idleSince = 0
	} else if jb.idleSince == 0 {
		jb.idleSince = now
	}
	work := occ.workLeft(jb.spec.Steps)
	starved := jb.idleSince > 0 && now.Sub(jb.idleSince) > starvationTime
	for s := range occ.steps {
		spec := &jb.spec.Steps[s]
		ready := occ.ready(spec)
		if ready && spec.ordinary() && pl.canHold(jb.spec.Service, spec) {
			pl.addDemand(jb, spec, pl.demandWithinQuota(jb, spec, occ.steps[s].openTasks))
		}
		if !occ.steps[s].trackWait(now, ready) || occ.steps[s].work.Held(now) {
			continue
		}
		age := time.Duration(wall-jb.due(k)) * time.Millisecond
		rs := readyStep{
			job: jb, occ: occ, occurrenceIndex: k, step: s, spec: spec, slack: jb.Objective() - age - jb.chainFrom[s], starved: starved,
			rank: stepRank(work, age, jb.Objective()), waitingSince: occ.steps[s].waitingSince, seat: pl.seatOf(jb),
		}
		pl.requestShare(now, &rs)
		if own := occ.steps[s].turn; own != nil && !rs.overQuota {
			own.ready, rs.overdue, rs.turnSince = true, true, own.since
		}
		restart := rs
		if spec.LongRunning && restart.markRestart(now) {
			out = append(out, restart)
			if spec.Gang {
				continue
			}
		}
		out = append(out, rs)
	}
	return out
}

// markRestart makes rs, a long-running step, the restart of its tasks that have
// lost their runs. It returns false if there are none.
func (rs *readyStep) markRestart(now model.Instant) bool {
	since := model.Instant(0)
	sp := rs.state()
	for i := range sp.tasks {
		tk := &sp.tasks[i]
		if !tk.waiting() {
			continue
		}
		if tk.idleSince == 0 {
			tk.idleSince = now
		}
		if tk.ran && (since == 0 || tk.idleSince < since) {
			since = tk.idleSince
		}
	}
	if since == 0 {
		return false
	}
	rs.restart, rs.overdue, rs.waitingSince = true, false, since
	rs.urgent = now.Sub(since) >= urgentAfter
	return true
}

// compareSteps orders two steps by which is scheduled first.
func compareSteps(rs, other *readyStep) int {
	if rs.restart && other.restart && rs.job.spec.Priority == other.job.spec.Priority {
		return cmp.Or(cmp.Compare(rs.waitingSince, other.waitingSince), cmp.Compare(rs.rank, other.rank))
	}
	if rs.overdue && other.overdue && rs.job.spec.Priority == other.job.spec.Priority {
		return cmp.Or(cmp.Compare(rs.turnSince, other.turnSince), cmp.Compare(rs.waitingSince, other.waitingSince))
	}
	return cmp.Or(
		trueFirst(rs.urgent, other.urgent),
		cmp.Compare(rs.job.spec.Priority, other.job.spec.Priority),
		trueFirst(rs.restart, other.restart),
		trueFirst(rs.overdue, other.overdue),
		trueFirst(rs.quotaTurn, other.quotaTurn),
		trueFirst(rs.spec.LongRunning, other.spec.LongRunning),
		trueFirst(rs.slack >= 0, other.slack >= 0),
		cmp.Compare(rs.rank, other.rank),
	)
}

// stepRank returns the declared work left, in processor seconds, divided by a
// factor that grows with the elapsed fraction of the objective, so that a large
// job is not passed over forever. When not all jobs can be on time, scheduling
// the least work first gets most of them done on time.
func stepRank(work float64, age, objective time.Duration) float64 {
	elapsed := float64(age) / float64(max(objective, time.Millisecond))
	return work / (1 + agingWeight*max(0, elapsed))
}

// workLeft returns the declared work of the open tasks of an occurrence, in
// processor seconds.
func (occ *occurrence) workLeft(steps []StepSpec) float64 {
	sum := 0.0
	for s := range occ.steps {
		sum += steps[s].workOf(occ.steps[s].openTasks)
	}
	return sum
}

// workOf returns the declared work of a number of tasks, in processor seconds.
func (sp *StepSpec) workOf(tasks int) float64 {
	perTask := float64(sp.Size.MilliCPU()) / 1000 * max(sp.Estimate, time.Millisecond).Seconds()
	return float64(tasks) * perTask
}

// trueFirst compares two booleans and orders true before false.
func trueFirst(va, vb bool) int {
	switch {
	case va == vb:
		return 0
	case va:
		return -1
	}
	return 1
}

// state returns the state of the step.
func (rs *readyStep) state() *step { return &rs.occ.steps[rs.step] }
