package trace

import (
	"guavarail/core/model"
	"guavarail/core/sched"
)

// checkStart checks two invariants for a run that a worker has just started: at most
// one attempt of a task runs at any time (P2), and no task starts more than
// maxStartDelay after the data centre was taken out of service (P4).
func (sim *simCore) checkStart(now model.Instant, wk *worker, rn *run) {
	if rn.state != sched.AttemptRunning {
		return
	}
	if sim.outOfService && now.Sub(sim.serviceChangedAt) > maxStartDelay {
		sim.addViolation("P4: " + rn.task.String() + " started after the data centre was out")
	}
	for _, other := range sim.workers {
		for _, otherRun := range other.runs {
			if otherRun != rn && otherRun.task == rn.task && otherRun.state == sched.AttemptRunning && now < otherRun.leaseUntil {
				sim.addViolation("P2: " + rn.task.String() + " runs on " + string(other.id) + " and " + string(wk.id))
			}
		}
	}
}

// addViolation adds the description of a violated invariant to the outcome.
func (sim *simCore) addViolation(what string) {
	sim.outcome.violations = append(sim.outcome.violations, what)
}

// checkCommitments checks that the resources committed to attempts on a worker do not
// exceed its size (P1).
func (sim *simulation[P]) checkCommitments() {
	for _, wv := range sim.state.Workers() {
		if !wv.Committed().FitsIn(wv.Size()) {
			sim.addViolation("P1: commitments exceed " + string(wv.ID()))
		}
	}
}
