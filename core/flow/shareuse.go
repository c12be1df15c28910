package flow

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// useEventInterval is the interval at which events about the use of workspaces are
	// recorded, and maxUseEvents bounds the events each time.
	useEventInterval = time.Second
	maxUseEvents     = 20
)

// heldSteps counts the steps of a workspace that a plan has held back.
type heldSteps struct {
	// quota counts those that wait for the quota, and share those that were postponed
	// until the steps of other workspaces had been placed.
	quota, share int
}

// heldStepsOf returns the counts of the workspace of a step.
func (pl *Planner) heldStepsOf(rs *readyStep) *heldSteps {
	name := rs.job.spec.Workspace
	he, ok := pl.heldSteps[name]
	if !ok {
		if pl.heldSteps == nil {
			pl.heldSteps = map[model.WorkspaceID]*heldSteps{}
		}
		he = &heldSteps{}
		pl.heldSteps[name] = he
	}
	return he
}

// recordUses records an event for each workspace of which the last plan has held back steps,
// those with the most steps first, at most maxUseEvents in each useEventInterval.
func (pl *Planner) recordUses(now model.Instant) {
	if len(pl.heldSteps) == 0 || now.Sub(pl.usesRecordedAt) < useEventInterval {
		return
	}
	pl.usesRecordedAt = now
	names := make([]model.WorkspaceID, 0, len(pl.heldSteps))
	for name := range pl.heldSteps {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b model.WorkspaceID) int {
		ha, hb := pl.heldSteps[a], pl.heldSteps[b]
		return cmp.Or(cmp.Compare(hb.quota+hb.share, ha.quota+ha.share), cmp.Compare(a, b))
	})
	for _, name := range names[:min(len(names), maxUseEvents)] {
		pl.recordUse(name)
	}
}

// recordUse records what a workspace has in use in the log, its quota and the held steps.
func (pl *Planner) recordUse(name model.WorkspaceID) {
	pairs := []string{
		"workspace", string(name), "quotaSteps", strconv.Itoa(pl.heldSteps[name].quota), "shareSteps", strconv.Itoa(pl.heldSteps[name].share),
		"workspaces", strconv.Itoa(len(pl.heldSteps)),
	}
	for _, part := range []struct {
		name string
		sum  model.Resources
	}{
		{"used", pl.st.used.Use(name).Owned()},
		{"quota", pl.st.terms[name].Quota()},
	} {
		pairs = append(pairs, part.name+"MilliCpu", strconv.FormatInt(part.sum.MilliCPU(), 10),
			part.name+"MemoryMb", strconv.FormatInt(part.sum.MemoryMB(), 10), part.name+"Gpus", strconv.FormatInt(part.sum.Accelerators(), 10))
	}
	pl.recordEvent("workspaceUse", "", "", "", pairs...)
}
