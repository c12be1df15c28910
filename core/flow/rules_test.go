package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against placing a task on a worker that must not run it. Each case
// differs in one condition from a case in which the task starts.
func TestTasksStartOnlyOnEligibleWorkers(t *testing.T) {
	small := StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)}
	with := func(change func(sp *StepSpec)) StepSpec {
		sp := small
		change(&sp)
		return sp
	}
	tests := []struct {
		name   string
		step   StepSpec
		report func(hb *Heartbeat)
		starts int
	}{
		{"plain", small, func(*Heartbeat) {}, 1},
		{"other service", small, func(hb *Heartbeat) { hb.Service = "other" }, 0},
		{"draining", small, func(hb *Heartbeat) { hb.Draining = true }, 0},
		{"data centre out of service", small, func(hb *Heartbeat) { hb.Centre = "out" }, 0},
		{"too few processors", with(func(sp *StepSpec) { sp.Size = model.NewResources(5000, 100, 0) }), func(*Heartbeat) {}, 0},
		{"too little memory", with(func(sp *StepSpec) { sp.Size = model.NewResources(1000, 5000, 0) }), func(*Heartbeat) {}, 0},
		{"label missing", with(func(sp *StepSpec) { sp.RequiredLabel = "fast" }), func(hb *Heartbeat) { hb.Labels = []string{"slow"} }, 0},
		{"label present", with(func(sp *StepSpec) { sp.RequiredLabel = "fast" }), func(hb *Heartbeat) { hb.Labels = []string{"fast"} }, 1},
		{"at most one on a worker", with(func(sp *StepSpec) { sp.Tasks, sp.PerWorker = 3, 1 }), func(*Heartbeat) {}, 1},
		{"no bound on a worker", with(func(sp *StepSpec) { sp.Tasks = 3 }), func(*Heartbeat) {}, 3},
		{"unknown run on the worker", small, func(hb *Heartbeat) {
			hb.Runs = []RunReport{{Task: NewTaskID("gone", 0, 0, 0), Attempt: 1}}
		}, 0},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.step(Outage{Centres: map[model.CentreID]bool{"out": true}})
		har.submit("job", tt.step)
		msg := Heartbeat{
			HeartbeatID: 1, Incarnation: NewIncarnation("w1", 1), Sequence: 1, Service: "svc", Centre: "a", Address: "w1", Size: model.NewResources(4000, 4000, 0),
		}
		tt.report(&msg)
		starts := 0
		answers := har.step(msg)
		for range 50 {
			for _, ans := range answers {
				starts += len(ans.Starts)
			}
			har.now = har.now.Add(TickInterval)
			answers = har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
		}
		if starts != tt.starts {
			t.Errorf("%s: %d starts, want %d", tt.name, starts, tt.starts)
		}
	}
}

// Guards against a task that starts again after the number of failures that its
// queue allows, and against a job that fails earlier or because a worker was
// lost.
func TestFailuresEndAJob(t *testing.T) {
	tests := []struct {
		name    string
		outcome Outcome
		runs    int
		status  Status
	}{
		{"failed once less than allowed", Failed, 8, Running},
		{"failed as often as allowed", Failed, 9, JobFailed},
		{"lost more often than that", Lost, 12, Running},
		{"stopped more often than that", Stopped, 12, Running},
	}
	for _, tt := range tests {
		var sta State
		jo, err := NewJob(JobSpec{ID: "job", Service: "svc", MaxFailures: 9, Steps: []StepSpec{{Tasks: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		sta.Apply(Submit(jo))
		id := NewTaskID("job", 0, 0, 0)
		for run := 1; run <= tt.runs; run++ {
			if ver := sta.Apply(Start(id, run, NewIncarnation("w1", 1))); ver != Accepted {
				t.Fatalf("%s: start %d is %v", tt.name, run, ver)
			}
			sta.Apply(End(id, run, tt.outcome, ""))
		}
		if got, _, _ := sta.Status("job"); got != tt.status {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.status)
		}
		want := Accepted
		if tt.status == JobFailed {
			want = Closed
		}
		if ver := sta.Apply(Start(id, tt.runs+1, NewIncarnation("w1", 1))); ver != want {
			t.Errorf("%s: a further start is %v, want %v", tt.name, ver, want)
		}
	}
}

// Guards against a gang that starts only in part: its members would wait for
// the others until they time out.
func TestGangStartsAsAWhole(t *testing.T) {
	gang := StepSpec{Tasks: 3, Size: model.NewResources(2000, 100, 0), Gang: true}
	har := newHarness(t)
	har.submit("gang", gang)
	if ans := har.heartbeat("w1", nil); len(ans.Starts) != 0 {
		t.Errorf("%d members start on a worker that has capacity for two of three", len(ans.Starts))
	}
	starts := append(har.heartbeat("w2", nil).Starts, har.heartbeat("w1", nil).Starts...)
	seen := map[TaskID]int{}
	for _, ord := range starts {
		seen[ord.Task] = ord.Attempt
	}
	if len(seen) != gang.Tasks {
		t.Fatalf("starts %+v, want the three members", starts)
	}
	for id, attempt := range seen {
		if attempt != starts[0].Attempt {
			t.Errorf("member %v has attempt %d, another %d", id, attempt, starts[0].Attempt)
		}
	}
	// The success of one member completes the gang.
	har.step(Applied{Op: End(starts[0].Task, starts[0].Attempt, Succeeded, ""), Verdict: har.st.Apply(End(starts[0].Task, starts[0].Attempt, Succeeded, ""))})
	if got, _, _ := har.st.Status("gang"); got != Completed {
		t.Errorf("gang is %v after a member succeeded, want completed", got)
	}
}
