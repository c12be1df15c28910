package worker

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/io/rest"
)

const (
	ms  = model.Instant(time.Millisecond)
	sec = model.Instant(time.Second)
)

func startOrder(task string, attempt uint32) rest.Order {
	return rest.Order{Kind: "start", Task: task, Attempt: attempt, Size: &rest.Resources{MilliCPU: 1000, MemoryMB: 10}}
}

func orders(sent model.Instant, ords ...rest.Order) ReportResponse {
	return ReportResponse{Sent: sent, Orders: rest.WorkerOrders{Tag: 1, LeaseMs: 10_000, Orders: ords}}
}

func longTasks() Workload {
	return Workload{RunTime: func(rest.Order) time.Duration { return time.Hour }, UsageDelay: 2 * time.Second}
}

// script steps an engine and collects what it did and reports at the end.
func script(eng *Engine, steps []timed) (runs, states []string) {
	for _, ste := range steps {
		for _, run := range eng.Step(ste.at, ste.in) {
			runs = append(runs, fmt.Sprintf("%s.%d %s@%dms %s", run.Task(), run.Attempt(), run.State(), run.At()/ms, run.Reason()))
		}
	}
	for _, att := range eng.Report(steps[len(steps)-1].at).Attempts {
		states = append(states, fmt.Sprintf("%s.%d %s", att.Task, att.Attempt, att.State))
	}
	return runs, states
}

type timed struct {
	at model.Instant
	in Input
}

// Guards the rules of a correct worker: a late or old start is rejected, a
// lease that ended stops the task at its end, a stop that overtakes the start
// wins, and a repeated order has no second effect.
func TestOrdersAndLeases(t *testing.T) {
	late := startOrder("j/0", 1)
	late.IssuedAfterMs = 100
	for _, tc := range []struct {
		what         string
		steps        []timed
		runs, states []string
	}{
		{
			"start within its window",
			[]timed{{599 * ms, orders(0, late)}},
			[]string{"j/0.1 running@599ms "},
			[]string{"j/0.1 running"},
		},
		{"start after its window", []timed{{600 * ms, orders(0, late)}}, nil, []string{"j/0.1 rejected"}},
		{
			"repeated start",
			[]timed{{0, orders(0, startOrder("j/0", 1))}, {ms, orders(0, startOrder("j/0", 1))}},
			[]string{"j/0.1 running@0ms "},
			[]string{"j/0.1 running"},
		},
		{
			"older attempt",
			[]timed{{0, orders(0, startOrder("j/0", 2))}, {ms, orders(0, startOrder("j/0", 1))}},
			[]string{"j/0.2 running@0ms "},
			[]string{"j/0.2 running"},
		},
		{
			"lease ends between ticks",
			[]timed{{0, orders(0, startOrder("j/0", 1))}, {10*sec + 5*ms, Tick{}}},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@10000ms lease expired"},
			[]string{"j/0.1 stopped"},
		},
		{
			"lease renewed from the send time",
			[]timed{
				{0, orders(0, startOrder("j/0", 1))},
				{5 * sec, ReportResponse{Sent: 4 * sec, Orders: rest.WorkerOrders{LeaseMs: 10_000, Leases: []rest.Lease{{Task: "j/0", Attempt: 1}}}}},
				{14 * sec, Tick{}},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@14000ms lease expired"},
			[]string{"j/0.1 stopped"},
		},
		{
			"stop before start",
			[]timed{
				{0, orders(0, rest.Order{Kind: "stop", Task: "j/0", Attempt: 1})}, {ms, orders(0, startOrder("j/0", 1))},
			},
			nil,
			[]string{"j/0.1 stopped"},
		},
		{
			"stop with time for a checkpoint, then forget",
			[]timed{
				{0, orders(0, startOrder("j/0", 1))},
				{sec, orders(sec, rest.Order{Kind: "stop", Task: "j/0", Attempt: 1, GraceMs: 5000})},
				{2 * sec, orders(sec, rest.Order{Kind: "forget", Task: "j/0", Attempt: 1})},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@1100ms stop ordered"},
			nil,
		},
		{
			"vanished",
			[]timed{
				{0, orders(0, startOrder("j/0", 1))},
				{sec, SetFaults{Faults: VMLost, On: true}},
				{2 * sec, SetFaults{Faults: VMLost}},
				{2 * sec, orders(2*sec, startOrder("j/0", 2))},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@1000ms vm lost"},
			nil,
		},
		{
			"fails every task",
			[]timed{
				{0, SetFaults{Faults: FailTasks, On: true}}, {0, orders(0, startOrder("j/0", 1))}, {100 * ms, Tick{}},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 failed@100ms worker fails tasks"},
			[]string{"j/0.1 failed"},
		},
	} {
		runs, states := script(NewEngine("w", "r", model.NewResources(4000, 100, 0), longTasks()), tc.steps)
		if fmt.Sprint(runs) != fmt.Sprint(tc.runs) || fmt.Sprint(states) != fmt.Sprint(tc.states) {
			t.Errorf("%s:\nruns %q, want %q\nstates %q, want %q", tc.what, runs, tc.runs, states, tc.states)
		}
	}
}

// Guards the progress of a task over checkpoint, throttle and resume, with the
// newest checkpoint readable and not.
func TestCheckpointAndResume(t *testing.T) {
	eng := NewEngine("w", "r", model.NewResources(4000, 100, 0), longTasks())
	eng.Step(0, orders(0, startOrder("j/0", 1)))
	eng.Step(sec, orders(sec, rest.Order{Kind: "throttle", Task: "j/0", Attempt: 1, Size: &rest.Resources{MilliCPU: 500}}))
	eng.Step(3*sec, orders(sec, rest.Order{Kind: "checkpoint", Task: "j/0", Attempt: 1}))
	eng.Step(4*sec, Tick{})
	att := eng.Report(4 * sec).Attempts[0]
	if att.Checkpoint == nil || *att.Checkpoint != (rest.Checkpoint{Attempt: 1, Sequence: 2051}) {
		t.Fatalf("checkpoint %+v, want progress of 1 s and of half of 2.1 s", att.Checkpoint)
	}
	if att.Usage == nil || att.Usage.MilliCPU != 500 || att.UsageAgeMs != 2000 {
		t.Errorf("usage %+v of age %d ms", att.Usage, att.UsageAgeMs)
	}
	for mode, want := range map[Faults]time.Duration{0: 2050 * time.Millisecond, UnreadableCheckpoint: 999 * time.Millisecond} {
		other := NewEngine("x", "r", model.NewResources(4000, 100, 0), longTasks())
		other.Step(0, SetFaults{Faults: mode, On: true})
		ord := startOrder("j/0", 2)
		ord.Checkpoint, ord.Fallback = att.Checkpoint, &rest.Checkpoint{Attempt: 1, Sequence: 1000}
		if runs := other.Step(0, orders(0, ord)); len(runs) != 1 || runs[0].ResumedFrom() != want {
			t.Errorf("mode %d resumes %+v, want from %v", mode, runs, want)
		}
	}
}
