package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a run that starts again though it has succeeded, because the leader has
// held no lease, refused the heartbeats of the worker and counted that as its silence.
func TestRefusedHeartbeatsCountAsNoSilence(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	har.heartbeat("w1", []RunReport{{Task: run.Task, Attempt: 1, Percent: 50}})
	tick := func(dur time.Duration, held bool) {
		for end := har.now.Add(dur); har.now.Before(end); {
			har.now = har.now.Add(TickInterval)
			lease := model.Instant(0)
			if held {
				lease = har.now.Add(simLeaderLease)
			}
			har.step(Tick{LeaseUntil: lease, Wall: time.Duration(har.now).Milliseconds()})
		}
	}
	tick(time.Second, true)
	tick(Config{}.leaseEnd(0).Sub(0), false)
	tick(time.Second, true)
	har.heartbeat("w1", nil, EndReport{Number: 1, Task: run.Task, Attempt: 1, Outcome: Succeeded})
	if sta, _, _ := har.st.Status("job"); sta != Completed {
		t.Errorf("the job is %v after its run has succeeded, want completed", sta)
	}
}

// Guards against runs of a worker that is gone that are never given up because the
// leader loses its lease again and again.
func TestGoneWorkerIsGivenUpDespiteLostLeases(t *testing.T) {
	const held, lapsed = 900 * time.Millisecond, 100 * time.Millisecond
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	har.heartbeat("w1", []RunReport{{Task: run.Task, Attempt: 1, Percent: 50}})
	gone := har.now
	limit := Config{}.leaseEnd(0).Sub(0) * (held + lapsed) / held
	for i := 0; har.now.Sub(gone) < limit+held+lapsed; i++ {
		har.now = har.now.Add(TickInterval)
		lease := model.Instant(0)
		if har.now.Sub(gone)%(held+lapsed) < held {
			lease = har.now.Add(TickInterval)
		}
		har.step(Tick{LeaseUntil: lease, Wall: time.Duration(har.now).Milliseconds()})
	}
	if har.st.hasRun(run.Task, 1, NewIncarnation("w1", 1)) {
		t.Errorf("the run is not given up %v after the last heartbeat", har.now.Sub(gone))
	}
}
