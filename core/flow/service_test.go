package flow

import (
	"testing"

	"guavarail/core/model"
)

// Guards against an entry of another writer that names no service of the configuration,
// and ends the worker at the address that it names.
func TestHeartbeatOfAnUnknownServiceReplacesNoWorker(t *testing.T) {
	har := newHarness(t)
	har.step(Services{Names: map[model.ServiceID]bool{"svc": true}})
	har.lead()
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	ans := har.step(Heartbeat{
		HeartbeatID: 1 << 40, Incarnation: NewIncarnation("odd", 9), Sequence: 1, Service: "other", Centre: "a", Address: "w1", Size: model.NewResources(4000, 4000, 0),
	})
	if len(ans) != 1 || ans[0].LeaseDuration != 0 || len(ans[0].Starts) > 0 {
		t.Errorf("answers %+v to the odd heartbeat, want one without a lease", ans)
	}
	if wk, pr := har.pl.findRun(run.Task, run.Attempt); wk == nil || pr.ending || wk.incarnation.worker != "w1" {
		t.Error("the run of the worker at the address is given up")
	}
	if got := har.heartbeat("w1", []RunReport{{Task: run.Task, Attempt: run.Attempt, Percent: 10}}); got.LeaseDuration == 0 {
		t.Error("the worker at the address gets no lease")
	}
}

// Guards against a heartbeat in the name of a worker that says it is of an unknown service, so
// that the runs of the worker are given up or no more tasks start on it.
func TestHeartbeatOfAnUnknownServiceChangesNoWorker(t *testing.T) {
	for _, changed := range []bool{false, true} {
		har := newHarness(t)
		har.step(Services{Names: map[model.ServiceID]bool{"svc": true}})
		har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
		run := har.heartbeat("w1", nil).Starts[0]
		runs := []RunReport{{Task: run.Task, Attempt: run.Attempt, Percent: 10}}
		har.heartbeat("w1", runs)
		if changed {
			har.follower.pl.Step(har.now, Services{Names: map[model.ServiceID]bool{"svc": true}})
			har.changeLeader()
		}
		har.sequence++
		ans := har.step(Heartbeat{
			HeartbeatID: 1 << 40, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence + 1000, Service: "other", Centre: "a", Address: "w1", Size: model.NewResources(4000, 4000, 0),
		})
		if len(ans) != 1 || ans[0].LeaseDuration != 0 || len(ans[0].Starts) > 0 {
			t.Errorf("leader changed %v: answers %+v to the odd heartbeat, want one without a lease", changed, ans)
		}
		if got := har.heartbeat("w1", runs); got.LeaseDuration == 0 || len(got.Stops) > 0 {
			t.Errorf("leader changed %v: answer %+v, want a lease and no stop", changed, got)
		}
	}
}

// Guards against a worker that loses its runs because its service left the configuration
// while it works.
func TestWorkerOfADroppedServiceKeepsItsRuns(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	runs := []RunReport{{Task: run.Task, Attempt: run.Attempt, Percent: 10}}
	har.heartbeat("w1", runs)
	har.changeLeader()
	har.step(Services{Names: map[model.ServiceID]bool{"other": true}})
	if ans := har.heartbeat("w1", runs); ans.LeaseDuration == 0 || len(ans.Stops) > 0 {
		t.Errorf("answer %+v, want a lease", ans)
	}
}
