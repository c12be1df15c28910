package flow

import (
	"strings"
	"testing"

	"guavarail/core/model"
)

// Guards against an answer with so many start orders that the worker drops it, and against
// tasks that are withdrawn, and workers that are avoided, because of orders that did not fit.
func TestStartsThatDoNotFitAreInLaterAnswers(t *testing.T) {
	const tasks = 390
	har := newHarness(t)
	jo, err := NewJob(JobSpec{
		ID: "large", Service: "svc", Body: strings.Repeat("x", maxBody),
		Steps: []StepSpec{{Tasks: tasks, Size: model.NewResources(10, 10, 0)}},
	})
	if err != nil {
		t.Fatal(err)
	}
	har.step(har.commit(Submit(jo)))
	har.submit("small", StepSpec{Tasks: 1, Size: model.NewResources(10, 10, 0)})
	const minAnswers = tasks * maxBody / MaxAnswerBytes
	var runs []RunReport
	for num := 0; num <= minAnswers+1 && len(runs) < tasks+1; num++ {
		ans := har.heartbeat("w1", runs)
		size := 0
		for _, ord := range ans.Starts {
			size += len(ord.Body)
			runs = append(runs, RunReport{Task: ord.Task, Attempt: ord.Attempt})
			if ord.Attempt != 1 {
				t.Errorf("attempt %d of %v, want the first", ord.Attempt, ord.Task)
			}
		}
		if size > MaxAnswerBytes {
			t.Errorf("an answer has %d bytes, want at most %d", size, MaxAnswerBytes)
		}
		if left := tasks + 1 - len(runs); left > 0 && ans.HeartbeatDelay > busyHeartbeatDelay {
			t.Errorf("the worker waits %v for %d more orders", ans.HeartbeatDelay, left)
		}
		// The orders that are left go on waiting for longer than one answer may take.
		har.now = har.now.Add(minPickupTimeout / 2)
	}
	if len(runs) != tasks+1 {
		t.Errorf("%d tasks have started, want %d", len(runs), tasks+1)
	}
}

// Guards against a checkpoint that is too large for a start order and so keeps its task from
// starting again.
func TestTooLargeCheckpointIsIgnored(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), Checkpoints: true})
	run := har.heartbeat("w1", nil).Starts[0]
	har.heartbeat("w1", []RunReport{{Task: run.Task, Attempt: 1, Checkpoint: "point", Percent: 10}})
	large := strings.Repeat("x", maxCheckpoint+1)
	har.heartbeat("w1", []RunReport{{Task: run.Task, Attempt: 1, Checkpoint: large, Percent: 20}})
	again := har.heartbeat("w1", nil, EndReport{Number: 1, Task: run.Task, Attempt: 1, Outcome: Failed, Checkpoint: large}).Starts
	if len(again) != 1 || again[0].Checkpoint != "point" {
		t.Errorf("starts %.200v, want one that resumes from the checkpoint before", again)
	}
}
