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
}

// covers reports whether the miss shows that no worker has room for a task of rs.
// A restart is bound by no claims, and a long-running task excluded from the
// fewest workers; a task with a shorter estimate may go before a claim.
func (mi miss) covers(rs *readyStep, need model.Resources) bool {
	if mi.service != rs.job.spec.Service || !mi.need.FitsIn(need) {
		return false
	}
	switch {
	case mi.restart:
		return true
	case rs.restart:
		return false
	case mi.longRunning || rs.spec.LongRunning:
		return mi.longRunning && rs.spec.LongRunning
	}
	return rs.spec.Estimate >= mi.estimate
}

// bound reports whether other conditions than room may keep a task of the step
// from a worker. That it found no room shows nothing for tasks without them.
func (sp *StepSpec) bound() bool { return sp.PerWorker > 0 || sp.RequiredLabel != "" }

// newMiss returns the miss of a task of rs.
func newMiss(rs *readyStep, need model.Resources) miss {
	return miss{service: rs.job.spec.Service, need: need, restart: rs.restart, longRunning: rs.spec.LongRunning, estimate: rs.spec.Estimate}
}

// missed reports whether an earlier miss of the plan shows that no worker has
// room for a task of rs.
func (pl *Planner) missed(rs *readyStep, need model.Resources) bool {
	return slices.ContainsFunc(pl.misses, func(mi miss) bool { return mi.covers(rs, need) })
}

// recordMiss records that no worker has room for a task of rs, which is not
// missed.
func (pl *Planner) recordMiss(rs *readyStep, need model.Resources) {
	if !rs.spec.Filler && !rs.spec.Gang && !rs.spec.bound() {
		pl.misses = append(pl.misses, newMiss(rs, need))
	}
}

// claimMissed reports whether another restart of the plan, which needs as much or
// less, found no worker that will have room because runs end by themselves.
func (pl *Planner) claimMissed(rs *readyStep) bool {
	return slices.ContainsFunc(pl.claimMisses, func(mi miss) bool { return mi.covers(rs, rs.spec.reservation()) })
}

// recordClaimMiss records a restart for which no candidate will have room.
func (pl *Planner) recordClaimMiss(rs *readyStep, candidates []claimCandidate) {
	finds := slices.ContainsFunc(candidates, func(can claimCandidate) bool { return can.after != unknownRoom })
	if !finds && !rs.spec.bound() {
		pl.claimMisses = append(pl.claimMisses, newMiss(rs, rs.spec.reservation()))
	}
}
