package flow

import (
	"cmp"

	"guavarail/core/model"
)

// quotaTurn lets a step go first in its priority, and keeps quota for it from other work of its
// workspace of the same priority and below.
type quotaTurn struct {
	step     *step
	priority int
	seat     *seat
	need     model.Resources
}

// chooseQuotaTurn gives the quota turn of the workspace to a step that has waited for quota
// for overdueAfter: of those that go first by their priority, to the one that has waited
// longest, even if the quota has room for it now. Otherwise smaller tasks would use each part
// of the quota that becomes free. A step gets no turn if it needs more than Hold can keep.
func (pl *Planner) chooseQuotaTurn(now model.Instant, rs *readyStep) {
	sp := rs.state()
	if sp.quotaSince == 0 && rs.overQuota {
		sp.quotaSince = now
	}
	if sp.quotaSince == 0 || now.Sub(sp.quotaSince) < overdueAfter || !rs.seat.Customer().CanHold(rs.quotaNeed()) {
		return
	}
	own, ok := pl.quotaTurns[rs.job.spec.Workspace]
	if ok && cmp.Or(cmp.Compare(own.priority, rs.job.spec.Priority), cmp.Compare(own.step.quotaSince, sp.quotaSince)) <= 0 {
		return
	}
	if pl.quotaTurns == nil {
		pl.quotaTurns = map[model.WorkspaceID]quotaTurn{}
	}
	pl.quotaTurns[rs.job.spec.Workspace] = quotaTurn{step: sp, priority: rs.job.spec.Priority, seat: rs.seat, need: rs.quotaNeed()}
}

// hasQuotaTurn reports whether the step has the quota turn of its workspace.
func (pl *Planner) hasQuotaTurn(rs *readyStep) bool {
	return rs.seat != nil && pl.quotaTurns[rs.job.spec.Workspace].step == rs.state()
}

// markQuotaTurns marks the steps that have a quota turn.
func (pl *Planner) markQuotaTurns(steps []readyStep) {
	if len(pl.quotaTurns) == 0 {
		return
	}
	for i := range steps {
		steps[i].quotaTurn = pl.hasQuotaTurn(&steps[i])
	}
}

// holdQuotaTurns keeps quota for the steps of a priority that have the quota turn of their
// workspace.
func (pl *Planner) holdQuotaTurns(priority int) {
	for _, own := range pl.quotaTurns {
		if own.priority == priority {
			own.seat.Hold(own.need)
		}
	}
}
