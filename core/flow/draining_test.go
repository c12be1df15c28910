package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// drainingHeartbeat returns a heartbeat of w1, which drains for at least remaining.
func (har *harness) drainingHeartbeat(remaining time.Duration, runs []RunReport, ended ...EndReport) Heartbeat {
	har.sequence++
	return Heartbeat{
		HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence, Service: "svc", Centre: "a", Address: "w1",
		Size: model.NewResources(4000, 4000, 0), Runs: runs, Ended: ended, Draining: true, Remaining: remaining,
	}
}

// Guards against work that is lost with a draining worker, and starts again only once the lease
// has ended, because it was not stopped in time, or that is stopped though it would have ended.
func TestRunsAreStoppedBeforeTheirWorkerExits(t *testing.T) {
	lead := Config{}.stopTime() + exitStopMargin
	tests := []struct {
		name      string
		step      StepSpec
		percent   int
		remaining time.Duration
		stopped   bool
	}{
		{"long-running, just before the exit", StepSpec{LongRunning: true}, fullPace, lead, true},
		{"long-running, long before the exit", StepSpec{LongRunning: true}, fullPace, lead + time.Second, false},
		{"ends in time", StepSpec{Estimate: time.Second}, 90, lead, false},
		{"ends too late", StepSpec{Estimate: time.Second, Checkpoints: true}, 10, lead, true},
		{"ends too late, long before the exit", StepSpec{Estimate: time.Second}, 10, lead + time.Second, false},
		{"ends in time, at the last moment", StepSpec{Estimate: time.Second}, 90, Config{}.stopTime() + lastStopMargin, true},
		{"should have ended", StepSpec{Estimate: time.Second}, 90, 0, true},
	}
	for _, tt := range tests {
		har := newHarness(t)
		tt.step.Tasks, tt.step.Size = 1, model.NewResources(1000, 100, 0)
		har.submit("job", tt.step)
		run := har.heartbeat("w1", nil).Starts[0]
		har.now = har.now.Add(time.Second)
		runs := []RunReport{{Task: run.Task, Attempt: run.Attempt, Percent: tt.percent}}
		har.answers = nil
		har.step(har.drainingHeartbeat(tt.remaining, runs))
		har.wait(100 * time.Millisecond)
		if len(har.answers) != 1 || len(har.answers[0].Stops) > 0 != tt.stopped {
			t.Errorf("%s: answers %+v, want a stop: %v", tt.name, har.answers, tt.stopped)
		}
		if har.answers[0].HeartbeatDelay > max(tt.remaining-lead, (Config{}).stopTime()) {
			t.Errorf("%s: the next heartbeat comes %v later, %v before the exit", tt.name, har.answers[0].HeartbeatDelay, tt.remaining)
		}
		if !tt.stopped {
			continue
		}
		har.step(har.drainingHeartbeat(0, nil, EndReport{Number: 1, Task: run.Task, Attempt: run.Attempt, Outcome: Stopped}))
		if !har.startsWithin("w2", time.Second) {
			t.Errorf("%s: the task doesn't start on another worker once its end is listed", tt.name)
		}
	}
}

// Guards against a task that waits for a whole lease because its worker, which has drained for
// longer than that of its last heartbeat before, exits without listing the end.
func TestDrainingWorkersGetShortLeases(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), Estimate: time.Minute})
	run := har.heartbeat("w1", nil).Starts[0]
	runs := []RunReport{{Task: run.Task, Attempt: run.Attempt}}
	for range 80 {
		runs[0].Percent++
		har.step(har.drainingHeartbeat(time.Minute, runs))
		har.wait(100 * time.Millisecond)
	}
	har.step(Leave{Worker: "w1", StartedAt: 1})
	if har.startsWithin("w2", drainingLease-200*time.Millisecond) {
		t.Error("the task starts while the lease of its worker lasts")
	}
	if !har.startsWithin("w2", time.Second) {
		t.Errorf("the task doesn't start again %v after the exit", drainingLease+time.Second)
	}
}

// Guards against a worker that may exit while ends of its runs are on their way, and against one
// that waits for the permission for as long as its call lasts, or gets it from a former leader.
func TestWorkerMayExitOnceItsRunsHaveEnded(t *testing.T) {
	tests := []struct {
		name string
		// then is what happens after the announcement.
		then    func(har *harness, run StartOrder)
		answers int
		refused bool
	}{
		{"the run goes on", func(har *harness, _ StartOrder) { har.wait(leaveAnswerTimeout - 50*time.Millisecond) }, 0, false},
		{"its end is listed", func(har *harness, run StartOrder) {
			har.step(har.drainingHeartbeat(0, nil, EndReport{Number: 1, Task: run.Task, Attempt: run.Attempt, Outcome: Succeeded}))
		}, 1, false},
		{"the run goes on for long", func(har *harness, _ StartOrder) { har.wait(leaveAnswerTimeout + 50*time.Millisecond) }, 1, false},
		{"another VM leads", func(har *harness, _ StartOrder) { har.step(SteppedDown{}) }, 1, true},
		{"it announces its exit again", func(har *harness, _ StartOrder) {
			har.wait(leaveAnswerTimeout + 50*time.Millisecond)
			har.leaves = nil
			har.step(Leave{LeaveID: 2, Worker: "w1", StartedAt: 1})
		}, 1, false},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
		run := har.heartbeat("w1", nil).Starts[0]
		har.step(har.drainingHeartbeat(0, []RunReport{{Task: run.Task, Attempt: run.Attempt}}))
		har.step(Leave{LeaveID: 1, Worker: "w1", StartedAt: 1})
		tt.then(har, run)
		if len(har.leaves) != tt.answers || tt.answers > 0 && har.leaves[0].Refused != tt.refused {
			t.Errorf("%s: answers %+v to the announcement, want %d, refused %v", tt.name, har.leaves, tt.answers, tt.refused)
		}
	}
}
