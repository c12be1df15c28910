package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// harness steps one planner that leads, and applies its proposals at once, also
// on a VM that may lead next.
type harness struct {
	t        *testing.T
	st       *State
	pl       *Planner
	follower struct {
		st *State
		pl *Planner
	}
	term uint64
	// formerLeaseEnd is that of the next BecameLeader.
	formerLeaseEnd model.Instant
	now            model.Instant
	sequence       uint64
	// While holding is set, proposals are added to held instead of being applied.
	holding bool
	held    []Propose
	// events are the events that the planner recorded, and answers its answers.
	events  []RecordEvent
	answers []Answer
	// leaves are the answers to announced exits.
	leaves []LeaveAnswer
}

func newHarness(t *testing.T) *harness {
	har := &harness{t: t, now: model.Instant(time.Second), st: &State{}}
	har.pl = NewPlanner(har.st, Config{})
	har.follower.st = &State{}
	har.follower.pl = NewPlanner(har.follower.st, Config{})
	har.lead()
	return har
}

// lead makes the planner the leader.
func (har *harness) lead() {
	har.term++
	har.step(BecameLeader{Term: har.term, PreviousTerm: har.term - 1, FormerLeaseEnd: har.formerLeaseEnd, LeaseUntil: model.Instant(time.Hour), Wall: time.Duration(har.now).Milliseconds()})
}

// changeLeader makes the follower the leader, and the leader the follower.
func (har *harness) changeLeader() {
	har.step(SteppedDown{})
	har.st, har.follower.st = har.follower.st, har.st
	har.pl, har.follower.pl = har.follower.pl, har.pl
	har.lead()
}

// commit applies an operation on both VMs, and returns the input for the leader.
func (har *harness) commit(op Op) Applied {
	har.follower.pl.Step(har.now, Applied{Op: op, Verdict: har.follower.st.Apply(op)})
	return Applied{Op: op, Verdict: har.st.Apply(op)}
}

// step steps the planner, commits what it proposes and returns the answers.
func (har *harness) step(in Input) []Answer {
	var out []Answer
	effs := har.pl.Step(har.now, in)
	for len(effs) > 0 {
		eff := effs[0]
		effs = effs[1:]
		switch val := eff.(type) {
		case Answer:
			out = append(out, val)
			har.answers = append(har.answers, val)
		case LeaveAnswer:
			har.leaves = append(har.leaves, val)
		case RecordEvent:
			har.events = append(har.events, val)
		case Propose:
			if har.holding {
				har.held = append(har.held, val)
				continue
			}
			for _, op := range val.Ops {
				effs = append(effs, har.pl.Step(har.now, har.commit(op))...)
			}
			effs = append(effs, har.pl.Step(har.now, ProposalEnded{Term: val.Term, Applied: true})...)
		}
	}
	return out
}

// applyHeld applies the proposals that were held, and holds no more.
func (har *harness) applyHeld() {
	held := har.held
	har.holding, har.held = false, nil
	for _, pro := range held {
		for _, op := range pro.Ops {
			har.step(har.commit(op))
		}
	}
	har.step(ProposalEnded{Term: har.term, Applied: true})
}

func (har *harness) submit(id string, step StepSpec) { har.submitWith(id, step, 9) }

// submitWith submits a job that may fail so often.
func (har *harness) submitWith(id string, step StepSpec, failures int) {
	jo, err := NewJob(JobSpec{ID: model.JobID(id), Service: "svc", Steps: []StepSpec{step}, MaxFailures: failures, ObjectiveFactor: 2, ObjectiveBase: time.Second})
	if err != nil {
		har.t.Fatal(err)
	}
	har.step(har.commit(Submit(jo)))
}

// heartbeat sends a heartbeat of a worker of the service svc, and ticks until it is answered.
func (har *harness) heartbeat(worker string, runs []RunReport, ended ...EndReport) Answer {
	return har.heartbeatOf("svc", worker, runs, ended...)
}

// heartbeatOf sends a heartbeat of a worker with 4 processors and 4000 MB of
// memory, and ticks until it is answered.
func (har *harness) heartbeatOf(service model.ServiceID, worker string, runs []RunReport, ended ...EndReport) Answer {
	har.sequence++
	answers := har.step(Heartbeat{
		HeartbeatID: har.sequence, Incarnation: NewIncarnation(model.WorkerID(worker), 1), Sequence: har.sequence, Service: service, Centre: "a",
		Address: worker, Size: model.NewResources(4000, 4000, 0), Runs: runs, Ended: ended,
	})
	for range 100 {
		for _, ans := range answers {
			if ans.HeartbeatID == har.sequence {
				return ans
			}
		}
		har.now = har.now.Add(TickInterval)
		answers = har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
	}
	har.t.Fatal("no answer")
	return Answer{}
}

// lose ends a worker with all that it runs: its lease has expired.
func (har *harness) lose(worker string) {
	if wk, ok := har.pl.workers.get(model.WorkerID(worker)); ok {
		wk.draining, wk.leaseEnd = true, 0
	}
	har.pl.sweptAt = 0
	har.step(Tick{LeaseUntil: model.Instant(time.Hour), Wall: time.Duration(har.now).Milliseconds()})
}

// drain reports that a worker is draining.
func (har *harness) drain(worker, address string, sequence uint64) {
	har.step(Heartbeat{
		HeartbeatID: 1<<41 + sequence, Incarnation: NewIncarnation(model.WorkerID(worker), 1), Sequence: sequence, Service: "svc", Centre: "a",
		Address: address, Size: model.NewResources(4000, 4000, 0), Draining: true,
	})
}

// Guards against a job that waits forever for a worker which accepts tasks and
// does not work on them, and against a long-running task that is evicted while
// it is serving.
func TestStalledRunsAreEvicted(t *testing.T) {
	tests := []struct {
		name    string
		step    StepSpec
		percent int
		evicted bool
	}{
		{"no progress", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)}, 30, true},
		{"long-running, not serving", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), LongRunning: true}, 0, true},
		{"long-running, serving", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), LongRunning: true}, 100, false},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.submit("job", tt.step)
		ans := har.heartbeat("w1", nil)
		if len(ans.Starts) != 1 {
			t.Fatalf("%s: %d starts, want 1", tt.name, len(ans.Starts))
		}
		run := RunReport{Task: ans.Starts[0].Task, Attempt: 1, Percent: tt.percent}
		stopped := false
		for range 40 {
			har.now = har.now.Add(150 * time.Millisecond)
			if ans = har.heartbeat("w1", []RunReport{run}); len(ans.Stops) > 0 {
				stopped = true
				break
			}
		}
		if stopped != tt.evicted {
			t.Errorf("%s: stop order sent: %v, want %v", tt.name, stopped, tt.evicted)
		}
	}
}

// Guards against a worker that fails every task and keeps getting tasks.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	har := newHarness(t)
	for i := range 8 {
		har.submit(fmt.Sprint("job", i), StepSpec{Tasks: 1, Size: model.NewResources(100, 100, 0)})
	}
	ans := har.heartbeat("w1", nil)
	if len(ans.Starts) != 8 {
		t.Fatalf("%d starts, want 8", len(ans.Starts))
	}
	var ended []EndReport
	for i, ord := range ans.Starts {
		ended = append(ended, EndReport{Number: uint64(i + 1), Task: ord.Task, Attempt: ord.Attempt, Outcome: Failed})
	}
	if ans = har.heartbeat("w1", nil, ended...); len(ans.Starts) > 0 {
		t.Errorf("%d starts on a worker after failures of 8 jobs, want 0", len(ans.Starts))
	}
	if ans = har.heartbeat("w2", nil); len(ans.Starts) != 8 {
		t.Errorf("%d starts on the other worker, want 8", len(ans.Starts))
	}
}

// Guards against a long-running task that stays down while only a quarantined
// worker has room. A worker that runs only long-running tasks has no successes,
// so without maxQuarantine its quarantine would keep doubling and soon exceed a
// minute.
func TestQuarantinedWorkerIsTheLastResort(t *testing.T) {
	har := newHarness(t)
	for i := range 3 {
		har.submit(fmt.Sprint("job", i), StepSpec{Tasks: 1, Size: model.NewResources(100, 100, 0)})
	}
	ans := har.heartbeat("w1", nil)
	var ended []EndReport
	for i, ord := range ans.Starts {
		ended = append(ended, EndReport{Number: uint64(i + 1), Task: ord.Task, Attempt: ord.Attempt, Outcome: Failed})
	}
	har.heartbeat("w1", nil, ended...)
	longRunning := StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), LongRunning: true}
	har.submit("stays", longRunning)
	if ans = har.heartbeat("w1", nil); len(ans.Starts) != 1 || ans.Starts[0].Task.Job() != "stays" {
		t.Errorf("starts %+v on the only worker, want the long-running task", ans.Starts)
	}
}

// Guards against a task that gets no run because a worker that doesn't carry out
// its orders gets them again and again, and against one that is no longer ordered
// where no other worker has room.
func TestWorkerThatIgnoresOrdersIsAvoided(t *testing.T) {
	tests := []struct {
		name           string
		refuses, alone bool
	}{{"ignores", false, false}, {"refuses", true, false}, {"ignores, the only one", false, true}, {"refuses, the only one", true, true}}
	for _, tt := range tests {
		har := newHarness(t)
		// Tasks gather on the worker that is fuller.
		har.submit("base", StepSpec{Tasks: 1, Size: model.NewResources(2000, 100, 0), LongRunning: true})
		har.heartbeat("bad", nil)
		base := []RunReport{{Task: NewTaskID("base", 0, 0, 0), Attempt: 1, Percent: fullPace}}
		har.heartbeat("bad", base)
		if !tt.alone {
			har.heartbeat("sound", nil)
		}
		har.submit("job", longRunningStep)
		began := har.now
		orders, ended := 0, []EndReport(nil)
		for har.now.Sub(began) < 30*time.Second {
			for _, ord := range har.heartbeat("bad", base, ended...).Starts {
				orders++
				if tt.refuses {
					ended = []EndReport{{Number: uint64(orders), Task: ord.Task, Attempt: ord.Attempt, Outcome: NotStarted}}
				}
			}
			if !tt.alone && len(har.heartbeat("sound", nil).Starts) > 0 {
				break
			}
			har.now = har.now.Add(TickInterval)
		}
		down := har.now.Sub(began)
		if !tt.alone && down > maxDown {
			t.Errorf("%s: no start on the sound worker for %v, %d on the other", tt.name, down, orders)
		}
		if tt.alone && orders < 10 {
			t.Errorf("%s: %d orders, want at least 10", tt.name, orders)
		}
	}
}
