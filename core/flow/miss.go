package flow

import (
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

// missed reports whether an earlier miss of the plan shows that no worker has
// room for a task of rs.
func (pl *Planner) missed(rs *readyStep, need model.Resources) bool {
	for _, mi := range pl.misses {
		if mi.covers(rs, need) {
			return true
		}
	}
	return false
}

// recordMiss records that no worker has room for a task of rs. A task that other
// conditions than room may have kept out shows nothing for others.
func (pl *Planner) recordMiss(rs *readyStep, need model.Resources) {
	spec := rs.spec
	if spec.Filler || spec.Gang || spec.PerWorker > 0 || spec.RequiredLabel != "" || pl.missed(rs, need) {
		return
	}
	pl.misses = append(pl.misses, miss{
		service: rs.job.spec.Service, need: need, restart: rs.restart, longRunning: spec.LongRunning, estimate: spec.Estimate,
	})
}
