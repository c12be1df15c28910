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

// respond returns a response that contains ords, to a report that was sent at sent.
func respond(sent model.Instant, ords ...rest.Order) ReportResponse {
	return ReportResponse{Sent: sent, Orders: rest.WorkerOrders{Tag: 1, LeaseMs: 10_000, Orders: ords}}
}

func longTasks() Workload {
	return Workload{RunTime: func(rest.Order) time.Duration { return time.Hour }, UsageDelay: 2 * time.Second}
}

// runSteps steps an engine, and returns its events and the attempt states in its
// report after the last step.
func runSteps(eng *Engine, steps []step) (events, states []string) {
	for _, ste := range steps {
		for _, ev := range eng.Step(ste.at, ste.in) {
			events = append(events, fmt.Sprintf("%s.%d %s@%dms %s", ev.Task(), ev.Attempt(), ev.State(), ev.At()/ms, ev.Reason()))
		}
	}
	for _, att := range eng.Report(steps[len(steps)-1].at).Attempts {
		states = append(states, fmt.Sprintf("%s.%d %s", att.Task, att.Attempt, att.State))
	}
	return events, states
}

type step struct {
	at model.Instant
	in Input
}

// Guards the rules of a correct worker: a start after its start window is rejected,
// an older attempt is not started, a task stops when its lease expires, and neither
// a start that arrives after its stop nor a repeated order has an effect.
func TestOrdersAndLeases(t *testing.T) {
	// The order was issued 100 ms after the report, so its start window of 500 ms
	// ends 600 ms after the report.
	ord := startOrder("j/0", 1)
	ord.IssuedAfterMs = 100
	for _, tc := range []struct {
		what           string
		steps          []step
		events, states []string
	}{
		{
			"start within its window",
			[]step{{599 * ms, respond(0, ord)}},
			[]string{"j/0.1 running@599ms "},
			[]string{"j/0.1 running"},
		},
		{"start after its window", []step{{600 * ms, respond(0, ord)}}, nil, []string{"j/0.1 rejected"}},
		{
			"repeated start",
			[]step{{0, respond(0, startOrder("j/0", 1))}, {ms, respond(0, startOrder("j/0", 1))}},
			[]string{"j/0.1 running@0ms "},
			[]string{"j/0.1 running"},
		},
		{
			"older attempt",
			[]step{{0, respond(0, startOrder("j/0", 2))}, {ms, respond(0, startOrder("j/0", 1))}},
			[]string{"j/0.2 running@0ms "},
			[]string{"j/0.2 running"},
		},
		{
			"lease ends between ticks",
			[]step{{0, respond(0, startOrder("j/0", 1))}, {10*sec + 5*ms, Tick{}}},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@10000ms lease expired"},
			[]string{"j/0.1 stopped"},
		},
		{
			"lease renewed from the send time",
			[]step{
				{0, respond(0, startOrder("j/0", 1))},
				{5 * sec, ReportResponse{Sent: 4 * sec, Orders: rest.WorkerOrders{LeaseMs: 10_000, Leases: []rest.Lease{{Task: "j/0", Attempt: 1}}}}},
				{14 * sec, Tick{}},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@14000ms lease expired"},
			[]string{"j/0.1 stopped"},
		},
		{
			"stop before start",
			[]step{
				{0, respond(0, rest.Order{Kind: "stop", Task: "j/0", Attempt: 1})}, {ms, respond(0, startOrder("j/0", 1))},
			},
			nil,
			[]string{"j/0.1 stopped"},
		},
		{
			"stop with time for a checkpoint, then forget",
			[]step{
				{0, respond(0, startOrder("j/0", 1))},
				{sec, respond(sec, rest.Order{Kind: "stop", Task: "j/0", Attempt: 1, GraceMs: 5000})},
				{2 * sec, respond(sec, rest.Order{Kind: "forget", Task: "j/0", Attempt: 1})},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@1100ms stop ordered"},
			nil,
		},
		{
			"VM lost",
			[]step{
				{0, respond(0, startOrder("j/0", 1))},
				{sec, SetFaults{Faults: VMLost, On: true}},
				{2 * sec, SetFaults{Faults: VMLost}},
				{2 * sec, respond(2*sec, startOrder("j/0", 2))},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 stopped@1000ms vm lost"},
			nil,
		},
		{
			"fails every task",
			[]step{
				{0, SetFaults{Faults: FailTasks, On: true}}, {0, respond(0, startOrder("j/0", 1))}, {100 * ms, Tick{}},
			},
			[]string{"j/0.1 running@0ms ", "j/0.1 failed@100ms worker fails tasks"},
			[]string{"j/0.1 failed"},
		},
	} {
		events, states := runSteps(NewEngine("w", "r", model.NewResources(4000, 100, 0), longTasks()), tc.steps)
		if fmt.Sprint(events) != fmt.Sprint(tc.events) || fmt.Sprint(states) != fmt.Sprint(tc.states) {
			t.Errorf("%s:\nevents %q, want %q\nstates %q, want %q", tc.what, events, tc.events, states, tc.states)
		}
	}
}

// Guards against wrong progress of a task that is throttled, writes a checkpoint,
// and is resumed from that checkpoint or, when it is unreadable, from the fallback.
func TestCheckpointAndResume(t *testing.T) {
	eng := NewEngine("w", "r", model.NewResources(4000, 100, 0), longTasks())
	eng.Step(0, respond(0, startOrder("j/0", 1)))
	eng.Step(sec, respond(sec, rest.Order{Kind: "throttle", Task: "j/0", Attempt: 1, Size: &rest.Resources{MilliCPU: 500}}))
	eng.Step(3*sec, respond(sec, rest.Order{Kind: "checkpoint", Task: "j/0", Attempt: 1}))
	eng.Step(4*sec, Tick{})
	att := eng.Report(4 * sec).Attempts[0]
	if att.Checkpoint == nil || *att.Checkpoint != (rest.Checkpoint{Attempt: 1, Sequence: 2051}) {
		t.Fatalf("checkpoint %+v, want the progress of 1 s at full speed and 2.1 s at half speed", att.Checkpoint)
	}
	if att.Usage == nil || att.Usage.MilliCPU != 500 || att.UsageAgeMs != 2000 {
		t.Errorf("usage %+v of age %d ms", att.Usage, att.UsageAgeMs)
	}
	for fas, want := range map[Faults]time.Duration{0: 2050 * time.Millisecond, UnreadableCheckpoint: 999 * time.Millisecond} {
		other := NewEngine("x", "r", model.NewResources(4000, 100, 0), longTasks())
		other.Step(0, SetFaults{Faults: fas, On: true})
		ord := startOrder("j/0", 2)
		ord.Checkpoint, ord.Fallback = att.Checkpoint, &rest.Checkpoint{Attempt: 1, Sequence: 1000}
		if events := other.Step(0, respond(0, ord)); len(events) != 1 || events[0].ResumedFrom() != want {
			t.Errorf("faults %d: resumed %+v, want from %v", fas, events, want)
		}
	}
}
