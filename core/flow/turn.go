package flow

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// overdueAfter is how long a step may have waiting tasks, and start none,
	// before it may get an overdue turn. After a turn in which it kept capacity for
	// nothing, it waits as long for the next.
	overdueAfter = 5 * time.Second
	// Each priority has one overdue turn at a time for turnDivisor workers, and one
	// more for a step that is not expected to have room within maxTurnHorizon.
	turnDivisor    = 64
	maxTurnHorizon = overdueTimeout / 2
	// overdueTimeout ends a turn in which no task could start. The late turn may
	// last longer.
	overdueTimeout = 6 * time.Second
	// overdueInterval is how long a turn that kept capacity, or was used, is not
	// given to the next step.
	overdueInterval = time.Second
)

// overdueTurn lets a step go before all others of its priority but restarts, and
// claim capacity, until one of its tasks starts.
type overdueTurn struct {
	step  *step
	since model.Instant
	// until is when the turn times out.
	until model.Instant
	// ready is set by each plan if the step is ready.
	ready bool
	// claims is set if the step has made a claim in the current plan, and unknown
	// if it is unknown when what it claims is free.
	claims, unknown bool
	// tried is set once a plan that makes claims has looked for one.
	tried bool
}

// overdueTurns gives turns to the steps of a priority that have waited for
// overdueAfter, so that none is passed over forever. A step that cannot claim capacity, or not soon,
// loses its turn at once and holds up no other. The zero value is ready to use.
type overdueTurns struct {
	turns []*overdueTurn
	// late is the turn, one of turns, of a step that may claim capacity which is
	// expected to be free after more than maxTurnHorizon, or at an unknown time.
	// It is nil for none.
	late *overdueTurn
	// pauses holds when turns that have ended may be given to other steps. The
	// late turn may be given after latePause.
	pauses    []model.Instant
	latePause model.Instant
	// misses are the overdue tasks for which the current plan found no claim that
	// they may make.
	misses []miss
}

// chooseTurns updates the turns of all priorities.
func (pl *Planner) chooseTurns(now model.Instant, steps []readyStep) {
	for i := range steps {
		pl.turnsOf(&steps[i])
	}
	num := max(1, len(pl.workers.sorted)/turnDivisor)
	for priority, tu := range pl.turns {
		tu.choose(now, steps, priority, num)
	}
}

// turnsOf returns the turns of the priority of a step.
func (pl *Planner) turnsOf(rs *readyStep) *overdueTurns {
	priority := rs.job.spec.Priority
	tu, ok := pl.turns[priority]
	if !ok {
		if pl.turns == nil {
			pl.turns = map[int]*overdueTurns{}
		}
		tu = &overdueTurns{}
		pl.turns[priority] = tu
	}
	return tu
}

// choose ends turns, gives others to the steps that have waited longest, and
// updates which steps are overdue. num is how many may have a turn, besides the
// late turn.
func (tu *overdueTurns) choose(now model.Instant, steps []readyStep, priority, num int) {
	tu.misses = tu.misses[:0]
	if tu.end(now) {
		for i := range steps {
			steps[i].overdue = steps[i].overdue && steps[i].state().turn != nil
		}
	}
	tu.pauses = slices.DeleteFunc(tu.pauses, func(until model.Instant) bool { return !now.Before(until) })
	num -= len(tu.turns) + len(tu.pauses)
	if tu.late != nil {
		num++
	}
	if num > 0 {
		tu.give(now, overdueSteps(now, steps, priority), num)
	}
}

// end ends the turns of steps that are no longer ready, that have started a task
// or made no claim since the plan before, and those that have timed out. It reports
// whether any has ended.
func (tu *overdueTurns) end(now model.Instant) bool {
	num := len(tu.turns)
	tu.turns = slices.DeleteFunc(tu.turns, func(own *overdueTurn) bool {
		started := own.step.waitingSince >= own.since
		over := started || !own.ready || !own.claims || !now.Before(own.until)
		used := started || own.claims
		own.ready, own.claims = false, false
		if over {
			tu.endTurn(now, own, used)
		}
		return over
	})
	return len(tu.turns) < num
}

// endTurn takes the turn from its step. used is set if the turn has kept capacity
// or started a task.
func (tu *overdueTurns) endTurn(now model.Instant, own *overdueTurn, used bool) {
	own.step.turn, own.step.nextTurn = nil, now
	if used {
		own.step.nextTurn = now.Add(overdueAfter)
	}
	switch {
	case tu.late == own:
		tu.late, tu.latePause = nil, now.Add(overdueInterval)
	case used:
		tu.pauses = append(tu.pauses, now.Add(overdueInterval))
	}
}

// give gives turns to the first num of the steps.
func (tu *overdueTurns) give(now model.Instant, overdue []*readyStep, num int) {
	for _, rs := range overdue[:min(num, len(overdue))] {
		own := &overdueTurn{step: rs.state(), since: now, until: now.Add(overdueTimeout)}
		rs.state().turn, rs.overdue, rs.turnSince = own, true, now
		tu.turns = append(tu.turns, own)
	}
}

// overdueSteps returns the steps of a priority without a turn that may get one. Those that have
// waited longest come first, but a step that has had a turn counts as waiting since
// it might get the next.
func overdueSteps(now model.Instant, steps []readyStep, priority int) []*readyStep {
	var out []*readyStep
	for i := range steps {
		rs := &steps[i]
		if rs.job.spec.Priority == priority && !rs.restart && !rs.overQuota && now.Sub(rs.waitingSince) >= overdueAfter && rs.state().turn == nil && !now.Before(rs.state().nextTurn) {
			out = append(out, rs)
		}
	}
	slices.SortStableFunc(out, func(a, b *readyStep) int { return cmp.Compare(a.turnOrder(), b.turnOrder()) })
	return out
}

// turnOrder returns the time by which overdue steps are ordered.
func (rs *readyStep) turnOrder() model.Instant { return max(rs.waitingSince, rs.state().nextTurn) }

// mayClaim reports whether an overdue step may claim capacity that is expected to
// be free after a time. If that is late, the turn becomes the late turn, or the
// step may not. The late turn lasts as long as the step has waited, and twice as
// long as expected, since a turn that ends before has kept capacity in vain.
func (tu *overdueTurns) mayClaim(now model.Instant, rs *readyStep, after time.Duration) bool {
	own := rs.state().turn
	if after > maxTurnHorizon && tu.late != own {
		if !tu.lateTurnFree(now, after) {
			return false
		}
		tu.late, own.until = own, own.since.Add(max(overdueTimeout, now.Sub(rs.waitingSince)))
		if after != unknownRoom {
			own.until = max(own.until, now.Add(2*after))
		}
	}
	own.claims, own.unknown = true, after == unknownRoom
	return true
}

// carryClaims keeps the overdue turn of a step in a plan that makes no claims, if the step has
// a claim or no plan has looked for one yet. It returns the number of claims of the step.
func (rs *readyStep) carryClaims() int {
	if own := rs.state().turn; rs.overdue && own != nil {
		own.claims = !own.tried || rs.state().claims > 0
	}
	return rs.state().claims
}

// lateTurnFree reports whether a step may get the late turn for capacity that is
// expected to be free after a time. If that is known, it may take the turn of a
// step for which it is unknown, which then ends.
func (tu *overdueTurns) lateTurnFree(now model.Instant, after time.Duration) bool {
	switch {
	case tu.late == nil:
		return !now.Before(tu.latePause)
	case tu.late.unknown && after != unknownRoom:
		tu.late.claims = false
		return true
	}
	return false
}
