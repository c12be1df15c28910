package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a task that starts again though its worker has listed its success, because the
// run was recorded as lost before the list arrived.
func TestSuccessThatArrivesLateWins(t *testing.T) {
	tests := []struct {
		name string
		// lose makes the leader record the run as lost.
		lose func(har *harness)
		// restarted is set if the task has started again when the list arrives.
		restarted bool
	}{
		{"its worker restarts", func(har *harness) { har.restartWorker("w1", "w1") }, false},
		{"its address is used by another worker", func(har *harness) { har.restartWorker("w2", "w1") }, false},
		{"the lease has ended", func(har *harness) { har.lose("w1") }, false},
		{"the lease has ended and the task runs again", func(har *harness) { har.lose("w1") }, true},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
		run := har.heartbeat("w1", nil).Starts[0]
		running := []RunReport{{Task: run.Task, Attempt: run.Attempt}}
		har.heartbeat("w1", running)
		tt.lose(har)
		var again []StartOrder
		if tt.restarted {
			again = har.heartbeat("w3", nil).Starts
		}
		har.answers = nil
		har.step(har.drainingHeartbeat(0, nil, EndReport{Number: 1, Task: run.Task, Attempt: run.Attempt, Outcome: Succeeded}))
		har.wait(time.Second)
		if got, _, _ := har.st.Status("job"); got != Completed {
			t.Errorf("%s: the job is %v, want completed", tt.name, got)
		}
		if !tt.restarted {
			if har.startsWithin("w3", time.Second) {
				t.Errorf("%s: the task starts again", tt.name)
			}
			continue
		}
		runs := []RunReport{{Task: again[0].Task, Attempt: again[0].Attempt}}
		if ans := har.heartbeat("w3", runs); len(ans.Stops) != 1 {
			t.Errorf("%s: answer %+v to the worker of the later run, want a stop", tt.name, ans)
		}
	}
}

// restartWorker lets a worker without room for tasks, which started later, be heard at an address.
func (har *harness) restartWorker(worker, address string) {
	har.step(Heartbeat{
		HeartbeatID: 1 << 42, Incarnation: NewIncarnation(model.WorkerID(worker), 2), Sequence: 1, Service: "svc", Centre: "a", Address: address,
	})
}

// Guards against a success that is acknowledged before it is recorded, and against one that
// completes what it must not.
func TestLateSuccessIsAcknowledgedOnceItIsRecorded(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	har.lose("w1")
	har.holding, har.answers = true, nil
	har.step(har.drainingHeartbeat(0, nil, EndReport{Number: 1, Task: run.Task, Attempt: run.Attempt, Outcome: Succeeded}))
	har.wait(endCommitTimeout + 100*time.Millisecond)
	if len(har.answers) != 1 || har.answers[0].Acknowledged != 0 {
		t.Errorf("answers %+v while the success is not recorded, want one that acknowledges nothing", har.answers)
	}
	for _, late := range []struct {
		name string
		step StepSpec
		op   Op
	}{
		{"long-running", StepSpec{LongRunning: true}, End(NewTaskID("job", 0, 0, 0), 1, Succeeded, "")},
		{"failed", StepSpec{}, End(NewTaskID("job", 0, 0, 0), 1, Failed, "")},
		{"never started", StepSpec{}, End(NewTaskID("job", 0, 0, 0), 9, Succeeded, "")},
	} {
		har := newHarness(t)
		late.step.Tasks, late.step.Size = 1, model.NewResources(1000, 100, 0)
		har.submit("job", late.step)
		har.heartbeat("w1", nil)
		har.step(har.commit(End(NewTaskID("job", 0, 0, 0), 1, Lost, "")))
		if ver := har.commit(late.op).Verdict; ver != Stale {
			t.Errorf("%s: %v, want stale", late.name, ver)
		}
	}
}

// Guards against a heartbeat that changes the replicated state: a success of an occurrence that
// has not begun creates none.
func TestSuccessOfAnUnknownOccurrenceChangesNothing(t *testing.T) {
	har := newHarness(t)
	jo, err := NewJob(JobSpec{ID: "job", Service: "svc", MaxFailures: 9, Repetitions: 5, Interval: time.Hour, Steps: []StepSpec{{Tasks: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	har.step(har.commit(Submit(jo)))
	before := len(har.st.jobs["job"].occurrences)
	har.heartbeat("w1", nil, EndReport{Number: 1, Task: NewTaskID("job", 4, 0, 0), Attempt: 1, Outcome: Succeeded})
	if got := len(har.st.jobs["job"].occurrences); got > before+1 {
		t.Errorf("%d occurrences, want at most %d", got, before+1)
	}
	if _, ok := har.st.jobs["job"].occurrences[4]; ok {
		t.Error("the last occurrence has been created")
	}
}
