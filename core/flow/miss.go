package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// miss records that no worker has room for a task in the current plan. Since a
// plan only takes up capacity, no worker has room for a task that needs as much
// or more and may use no worker that the first could not use.
type miss struct {
	service              model.ServiceID
	need                 model.Resources
	restart, longRunning bool
	estimate             time.Duration
	// filler is set for a filler of an image that requests milliCPU.
	filler   bool
	image    string
	milliCPU int64
}

// covers reports whether the miss shows that no worker has room for a task of rs.
// A restart is bound by no claims, and a long-running task excluded from the
// fewest workers; a task with a shorter estimate may go before a claim.
func (mi miss) covers(rs *readyStep, need model.Resources) bool {
	if mi.service != rs.job.spec.Service || !mi.need.FitsIn(need) {
		return false
	}
	switch {
	case mi.filler && !mi.coversFiller(rs):
		return false
	case mi.restart:
		return true
	case rs.restart:
		return false
	case mi.longRunning || rs.spec.LongRunning:
		return mi.longRunning && rs.spec.LongRunning
	}
	// An unknown estimate never lets a task go before a claim.
	return rs.spec.Estimate == 0 || mi.estimate > 0 && rs.spec.Estimate >= mi.estimate
}

// coversFiller reports whether rs are fillers that disturb serving tasks as the missed one
// would, and lack as many processors or more. A starved one may start all the same.
func (mi miss) coversFiller(rs *readyStep) bool {
	return rs.spec.Filler && !rs.starved && rs.spec.Image == mi.image && rs.spec.Size.MilliCPU() >= mi.milliCPU
}

// newMiss returns the miss of a task of rs.
func newMiss(rs *readyStep, need model.Resources) miss {
	return miss{
		service: rs.job.spec.Service, need: need, restart: rs.restart, longRunning: rs.spec.LongRunning, estimate: rs.spec.Estimate,
		filler: rs.spec.Filler, image: rs.spec.Image, milliCPU: rs.spec.Size.MilliCPU(),
	}
}

// missed reports whether an earlier miss of the plan shows that no worker has
// room for a task of rs. It shows nothing for a step for which room is kept.
func (pl *Planner) missed(rs *readyStep, need model.Resources) bool {
	return pl.keptFor(rs) == 0 && slices.ContainsFunc(pl.misses, func(mi miss) bool { return mi.covers(rs, need) })
}

// recordMiss records that no worker has room for a task of rs, which is not
// missed. If other conditions than room kept it from a worker, that shows nothing
// for tasks without them.
func (pl *Planner) recordMiss(rs *readyStep, need model.Resources, otherConditions bool) {
	if (!rs.spec.Filler || !rs.starved) && !rs.spec.Gang && !otherConditions {
		pl.misses = append(pl.misses, newMiss(rs, need))
	}
}

// lacksLabel reports whether a missing label keeps a task of rs from some worker.
func (pl *Planner) lacksLabel(now model.Instant, rs *readyStep) bool {
	return rs.spec.RequiredLabel != "" && slices.ContainsFunc(pl.room.workers, func(wk *worker) bool {
		return pl.ineligible(now, wk, rs) == labelMissing
	})
}

// claimMiss records a restart for which the workers are not expected to have room
// within a time.
type claimMiss struct {
	miss
	horizon time.Duration
	// tasks is how many tasks needed room at the same time.
	tasks int
	// preempts is set if runs of lower priority could have been stopped for it.
	preempts bool
}

// claimMissed reports whether another restart of the plan, which needs as much or
// less, looks as far ahead or further and could preempt as much, found nothing to
// claim.
func (pl *Planner) claimMissed(now model.Instant, rs *readyStep) bool {
	return slices.ContainsFunc(pl.claimMisses, func(cm claimMiss) bool {
		return rs.claimHorizon(now) <= cm.horizon && cm.tasks <= rs.tasksAtOnce() && (cm.preempts || !rs.mayPreempt(now)) &&
			cm.covers(rs, rs.spec.reservation())
	})
}

// tasksAtOnce returns how many tasks of a restart have to start at the same time.
func (rs *readyStep) tasksAtOnce() int {
	if rs.spec.Gang {
		return rs.waitingTasks()
	}
	return 1
}

// recordClaimMiss records that a restart found nothing to claim.
func (pl *Planner) recordClaimMiss(now model.Instant, rs *readyStep, otherConditions bool) {
	if !otherConditions {
		pl.claimMisses = append(pl.claimMisses, claimMiss{
			miss: newMiss(rs, rs.spec.reservation()), horizon: rs.claimHorizon(now), tasks: rs.tasksAtOnce(), preempts: rs.mayPreempt(now),
		})
	}
}
