package flow

import (
	"time"

	"guavarail/core/model"
)

const (
	// minPlanPause and maxPlanPause bound the pause after a plan while heartbeats wait.
	// It is planPauseFactor times as long as the plan took, so that plans take at most a
	// quarter of the leader's time.
	minPlanPause    = 10 * time.Millisecond
	maxPlanPause    = 100 * time.Millisecond
	planPauseFactor = 3
)

// planPace spaces the plans while heartbeats wait to be handled: one plan for many of
// them costs as much as one for each. The zero value permits a plan.
type planPace struct {
	// waiting is set while heartbeats wait.
	waiting bool
	// plannedAt is when the last plan began, 0 before the first, and timed is set once its
	// duration is known from the next input. notBefore is the end of the pause after it.
	plannedAt model.Instant
	timed     bool
	notBefore model.Instant
}

// observe notes the time of an input. If heartbeats wait, no time has passed since the
// last input was handled.
func (pp *planPace) observe(now model.Instant) {
	if !pp.timed && pp.plannedAt > 0 && now > pp.plannedAt {
		pp.timed = true
		pp.notBefore = now.Add(min(maxPlanPause, max(minPlanPause, planPauseFactor*now.Sub(pp.plannedAt))))
	}
}

// planned notes that a plan begins.
func (pp *planPace) planned(now model.Instant) { pp.plannedAt, pp.timed = now, false }

// due reports whether a plan may be made.
func (pp *planPace) due(now model.Instant) bool {
	return !pp.waiting || pp.plannedAt == 0 || pp.timed && !now.Before(pp.notBefore)
}
