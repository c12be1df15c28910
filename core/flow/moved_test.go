package flow

import (
	"testing"

	"guavarail/core/model"
	"guavarail/core/share"
)

// Guards against a run that is stopped, not renewed or forgotten because a configuration has
// moved its job to another service, and against reservations that stay with the former one.
func TestRunsGoOnWhenTheirJobMovesToAnotherService(t *testing.T) {
	for _, change := range []bool{false, true} {
		har := newHarness(t)
		har.heartbeatOf("svc", "w1", nil)
		har.submit("job", StepSpec{Tasks: 2, Size: model.NewResources(3000, 100, 0)})
		first := har.heartbeatOf("svc", "w1", nil).Starts
		if len(first) != 1 {
			t.Fatalf("%d starts, want one", len(first))
		}
		runs := []RunReport{{Task: first[0].Task, Attempt: first[0].Attempt, Percent: 50}}
		for _, st := range []*State{har.st, har.follower.st} {
			st.SetServices(map[string]model.ServiceID{"": "other"})
		}
		if change {
			har.formerLeaseEnd = har.now
			har.changeLeader()
		}
		har.step(Services{Names: map[model.ServiceID]bool{"other": true}})
		if ans := har.heartbeatOf("svc", "w1", runs); len(ans.Stops)+len(ans.Starts) > 0 || !change && ans.LeaseDuration == 0 {
			t.Errorf("change of the leader %v: %d stops, %d starts and lease of %v on the former worker", change, len(ans.Stops), len(ans.Starts), ans.LeaseDuration)
		}
		var second []StartOrder
		for range 20 {
			second = append(second, har.heartbeatOf("other", "w2", nil).Starts...)
			if len(second) > 0 {
				break
			}
		}
		if len(second) != 1 || second[0].Task == first[0].Task {
			t.Fatalf("change of the leader %v: starts %v on the worker of the new service, want the task that waits", change, second)
		}
		har.heartbeatOf("svc", "w1", nil, EndReport{Number: 1, Task: first[0].Task, Attempt: first[0].Attempt, Outcome: Succeeded})
		har.heartbeatOf("other", "w2", nil, EndReport{Number: 1, Task: second[0].Task, Attempt: second[0].Attempt, Outcome: Succeeded})
		if status, _, _ := har.st.Status("job"); status != Completed {
			t.Errorf("change of the leader %v: job %v, want completed", change, status)
		}
		har.st.reserved.Each(func(pc poolCustomer, _ share.Use) {
			t.Errorf("%v has something reserved after the end of all runs", pc)
		})
	}
}
