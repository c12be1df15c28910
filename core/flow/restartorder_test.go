package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a long-running task that has just lost its run and gets the next
// free capacity after work that never ran, whose turn is overdue.
func TestLostLongRunningTaskGoesBeforeOverdueWork(t *testing.T) {
	har := newHarness(t)
	har.submit("lost", StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0), LongRunning: true})
	lost := har.heartbeat("w1", nil).Starts
	har.submit("cancelled", StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0), LongRunning: true})
	cancelled := har.heartbeat("w2", nil).Starts
	if len(lost) != 1 || len(cancelled) != 1 {
		t.Fatalf("starts %v and %v, want one each", lost, cancelled)
	}
	har.submit("overdue", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0), Estimate: time.Second})
	one := RunReport{Task: lost[0].Task, Attempt: 1, Percent: fullPace}
	two := RunReport{Task: cancelled[0].Task, Attempt: 1, Percent: fullPace}
	for end := har.now.Add(overdueAfter + time.Second); har.now.Before(end); {
		har.heartbeat("w1", []RunReport{one})
		har.heartbeat("w2", []RunReport{two})
		har.now = har.now.Add(100 * time.Millisecond)
	}
	har.lose("w1")
	har.step(har.commit(Cancel("cancelled")))
	if stops := har.heartbeat("w2", []RunReport{two}).Stops; len(stops) != 1 {
		t.Fatalf("stops %v, want the cancelled task", stops)
	}
	starts := har.heartbeat("w2", nil, EndReport{Number: 1, Task: two.Task, Attempt: 1, Outcome: Stopped}).Starts
	if len(starts) != 1 || starts[0].Task != one.Task {
		t.Errorf("starts %v, want the lost task", starts)
	}
}
