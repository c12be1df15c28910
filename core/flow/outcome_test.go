package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task that starts again after its success was acknowledged: the success
// was proposed with an unknown outcome, and then the end of the run as not started or lost.
func TestReportedSuccessIsProposedAgain(t *testing.T) {
	tests := []struct {
		name string
		// then is what happens after the outcome of the proposal is unknown.
		then func(har *harness)
	}{
		{"no further heartbeat", func(*harness) {}},
		{"the worker exits", func(har *harness) {
			har.drain("w1", "w1", 1<<20)
			har.step(Leave{Worker: "w1"})
		}},
		{"the lease expires", func(har *harness) { har.wait(defaultLease + time.Second) }},
	}
	for _, tt := range tests {
		for _, inherited := range []bool{true, false} {
			har := newHarness(t)
			har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
			run := har.heartbeat("w1", nil).Starts[0]
			if inherited {
				har.changeLeader()
			}
			har.holding = true
			har.sequence++
			har.step(endOfRun(har.sequence, run))
			har.step(ProposalEnded{Term: har.term})
			har.wait(time.Second)
			tt.then(har)
			// The first proposal is lost.
			har.held = har.held[1:]
			har.applyHeld()
			har.wait(time.Second)
			if ans := har.heartbeat("w2", nil); len(ans.Starts) > 0 {
				t.Errorf("%s, inherited %v: the task starts again: %+v", tt.name, inherited, ans.Starts)
			}
			ans := har.heartbeat("w1", nil, EndReport{Number: 1, Task: run.Task, Attempt: run.Attempt, Outcome: Succeeded})
			if status, _, _ := har.st.Status("job"); ans.Acknowledged > 0 && status != Completed {
				t.Errorf("%s, inherited %v: the success is acknowledged and the job is %v", tt.name, inherited, status)
			}
		}
	}
}

// Guards against an inherited run that is ended though its worker has it, because its end
// was once proposed with an unknown outcome.
func TestInheritedRunIsNotWithdrawnUnheard(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	har.changeLeader()
	har.holding = true
	har.wait(defaultLease + time.Second)
	// The first of these proposals marks the worker as silent, the second ends the run.
	har.step(ProposalEnded{Term: har.term})
	har.step(ProposalEnded{Term: har.term})
	lost := len(har.held)
	har.sequence++
	hb := endOfRun(har.sequence, run)
	hb.Ended, hb.EndsTruncated = nil, true
	har.step(hb)
	har.wait(time.Second)
	for _, pro := range har.held[lost:] {
		for _, op := range pro.Ops {
			if op.kind == OpEnd && op.outcome == NotStarted {
				t.Errorf("the end of %v is proposed as not started", op.task)
			}
		}
	}
}
