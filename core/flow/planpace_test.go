package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a leader that makes a plan for each heartbeat while others wait, which
// leaves no time for them, and against ends that are proposed without the starts on what
// they free.
func TestPlansLeaveTimeForWaitingHeartbeats(t *testing.T) {
	const (
		inputs    = 400
		inputTime = time.Millisecond
		planTime  = 20 * time.Millisecond
	)
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 2, PerWorker: 1, Size: model.NewResources(3000, 100, 0)})
	run := har.heartbeat("w0", nil).Starts[0]
	har.submit("next", StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0)})
	before, proposals, elapsed := har.pl.plans, 0, har.now
	for num := range inputs {
		hb := Heartbeat{
			HeartbeatID: 1000 + uint64(num), Incarnation: NewIncarnation("w0", 1), Sequence: 1000 + uint64(num), Service: "svc", Centre: "a", Address: "w0",
			Size: model.NewResources(4000, 4000, 0), Waiting: inputs - num - 1, Runs: []RunReport{{Task: run.Task, Attempt: run.Attempt}},
		}
		if num > 0 {
			hb.Runs, hb.Ended = nil, []EndReport{{Number: 1, Task: run.Task, Attempt: run.Attempt, Outcome: Succeeded}}
		}
		plans := har.pl.plans
		for _, eff := range har.pl.Step(har.now, hb) {
			if pro, ok := eff.(Propose); ok {
				proposals++
				if len(pro.Ops) < 2 {
					t.Errorf("proposal %+v has no start beside the end", pro)
				}
				har.pl.proposing = false
			}
		}
		// Each input takes some time, and a plan much more.
		har.now = har.now.Add(inputTime)
		if har.pl.plans > plans {
			har.now = har.now.Add(planTime)
		}
	}
	spent := time.Duration(har.pl.plans-before) * planTime
	if total := har.now.Sub(elapsed); spent > total/4+planTime || har.pl.plans == before {
		t.Errorf("plans took %v of %v", spent, total)
	}
	if proposals == 0 {
		t.Error("the end of the run was not proposed")
	}
}

// Guards against a new leader that puts off its first plan while heartbeats wait.
func TestFirstPlanIsDueAtOnce(t *testing.T) {
	pp := planPace{waiting: true}
	pp.observe(model.Instant(time.Hour))
	if !pp.due(model.Instant(time.Hour)) {
		t.Error("no plan is due before the first one")
	}
}
