package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a whole lease for a worker that crashed as the leader failed, because its
// last heartbeat, late by seconds, is the first that the next leader gets; against a worker
// at work that loses its lease at a change of the leader; and against a lease that the
// worker counts as longer than the leader.
func TestFirstHeartbeatToALeaderStartsNoLease(t *testing.T) {
	const late = 3 * time.Second
	for _, alive := range []bool{false, true} {
		har := newHarness(t)
		har.heartbeat("w1", nil)
		har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), LongRunning: true})
		ans := har.heartbeat("w1", nil)
		runs := []RunReport{{Task: ans.Starts[0].Task, Attempt: ans.Starts[0].Attempt, Percent: 100}}
		began := har.now
		send := func() Answer {
			har.sequence++
			num := har.sequence
			har.answers = nil
			clock := time.Minute + har.now.Sub(began)
			if !alive {
				clock = time.Minute
			}
			har.step(Heartbeat{
				HeartbeatID: num, Incarnation: NewIncarnation("w1", 1), Sequence: num, Clock: clock, Service: "svc", Centre: "a", Address: "w1",
				Size: model.NewResources(4000, 4000, 0), Runs: runs,
			})
			for range 100 {
				for _, ans := range har.answers {
					if ans.HeartbeatID == num {
						return ans
					}
				}
				har.now = har.now.Add(TickInterval)
				har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
			}
			t.Fatal("no answer")
			return Answer{}
		}
		har.heartbeat("w1", runs)
		granted := har.now
		har.now = har.now.Add(late / 2)
		har.formerLeaseEnd = granted
		har.changeLeader()
		wk, _ := har.pl.workers.get("w1")
		inherited := wk.leaseEnd
		har.wait(late / 2)
		sent := har.now
		ans = send()
		if wk.leaseEnd > inherited {
			t.Errorf("alive %v: the first heartbeat prolongs the lease by %v", alive, wk.leaseEnd.Sub(inherited))
		}
		if end := sent.Add(ans.LeaseDuration + ans.LeaseDuration/leaseDriftDivisor); ans.LeaseDuration <= 0 || end > inherited {
			t.Errorf("alive %v: the worker counts the lease until %v, the leader until %v", alive, end, inherited)
		}
		if alive {
			har.now = har.now.Add(ans.HeartbeatDelay)
			if ans = send(); ans.LeaseDuration != (Config{}).leaseDuration() || wk.leaseEnd <= inherited {
				t.Errorf("the second heartbeat renews no lease: %v, %v", ans.LeaseDuration, wk.leaseEnd.Sub(inherited))
			}
			continue
		}
		har.wait(inherited.Sub(har.now) + 300*time.Millisecond)
		if ans = har.heartbeat("w2", nil); len(ans.Starts) != 1 {
			t.Errorf("%v after the last lease the task runs nowhere else", har.now.Sub(granted))
		}
	}
}

// Guards against a second late heartbeat of an exited worker that proves it alive.
func TestTwoLateHeartbeatsStartNoLease(t *testing.T) {
	har := newHarness(t)
	har.heartbeat("w1", nil)
	har.submit("job", longRunningStep)
	ans := har.heartbeat("w1", nil)
	runs := []RunReport{{Task: ans.Starts[0].Task, Attempt: ans.Starts[0].Attempt, Percent: 100}}
	har.heartbeat("w1", runs)
	har.changeLeader()
	wk, _ := har.pl.workers.get("w1")
	inherited := wk.leaseEnd
	for i := range 2 {
		// The worker sent the second one after the call of the first had timed out.
		har.sequence++
		har.step(Heartbeat{
			HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence, Clock: time.Minute + time.Duration(i)*callTimeout,
			Service: "svc", Centre: "a", Address: "w1", Size: model.NewResources(4000, 4000, 0), Runs: runs,
		})
		har.wait(callTimeout / 2)
	}
	if wk.leaseEnd > inherited {
		t.Errorf("the lease is prolonged by %v", wk.leaseEnd.Sub(inherited))
	}
}
