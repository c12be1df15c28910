package worker

import (
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/io/rest"
)

const (
	// startWindow is how long after its issue a start order is valid.
	startWindow = 500 * time.Millisecond
	// checkpointTime is how long a task takes to write a checkpoint.
	checkpointTime = 100 * time.Millisecond
	// failAfter is how long a task runs in the mode FailTasks.
	failAfter = 100 * time.Millisecond
	tickEvery = 20 * time.Millisecond
)

// The states of an attempt in a report.
const (
	running   = "running"
	succeeded = "succeeded"
	failed    = "failed"
	stopped   = "stopped"
	rejected  = "rejected"
)

// AttemptEvent reports the start or the end of an attempt, for the checks of a test.
type AttemptEvent struct {
	worker  string
	task    string
	attempt uint32
	state   string
	reason  string
	at      model.Instant
	from    time.Duration
}

// Worker returns the name of the worker.
func (ru AttemptEvent) Worker() string { return ru.worker }

// Task returns the task as JOB/INDEX.
func (ru AttemptEvent) Task() string { return ru.task }

// Attempt returns the number of the attempt.
func (ru AttemptEvent) Attempt() uint32 { return ru.attempt }

// State returns running at a start, and succeeded, failed or stopped at an end.
func (ru AttemptEvent) State() string { return ru.state }

// Reason says why the attempt ended.
func (ru AttemptEvent) Reason() string { return ru.reason }

// At returns when it happened on the clock of the worker.
func (ru AttemptEvent) At() model.Instant { return ru.at }

// ResumedFrom returns the progress that a start resumed from.
func (ru AttemptEvent) ResumedFrom() time.Duration { return ru.from }

// ReportResponse is the answer to a report.
type ReportResponse struct {
	// Sent is when the report was sent.
	Sent model.Instant
	// Incarnation is that of the engine when the report was sent; the answer to a VM
	// that vanished does not reach the one that replaces it.
	Incarnation int
	Orders      rest.WorkerOrders
}

// SetFaults switches modes on or off.
type SetFaults struct {
	Faults Faults
	On     bool
}

// Tick lets time pass.
type Tick struct{}

// Input is an Answer, Tell or Tick.
type Input interface{ input() }

func (ReportResponse) input() {}
func (SetFaults) input()      {}
func (Tick) input()           {}

// Workload describes the tasks that a worker is given. Nil functions have defaults.
type Workload struct {
	// RunTime is the work of a task at full speed; 1 s by default.
	RunTime func(ord rest.Order) time.Duration
	// Usage is what a task really uses; by default its size.
	Usage func(ord rest.Order) model.Resources
	// UsageDelay is the age of reported usage.
	UsageDelay time.Duration
	// Slowdown is the percentage by which tasks of the given kinds slow the
	// services on the worker down; 0 by default.
	Slowdown func(kinds []string) int
}

// Engine runs the attempts of one worker. It implements model.Machine; its
// effects are the starts and ends of attempts.
type Engine struct {
	name string
	rack string
	size model.Resources
	plan Workload
	mode Faults
	// boot counts how often the VM vanished.
	boot int
	tag  uint64
	// atts is ordered by task; it has at most one attempt of a task.
	atts []*attempt
	// seen holds the highest attempt of each task; no lower one is started.
	seen map[string]uint32
	peak model.Resources
	out  []AttemptEvent
}

// NewEngine returns a worker without tasks.
func NewEngine(name, rack string, size model.Resources, plan Workload) *Engine {
	return &Engine{name: name, rack: rack, size: size, plan: plan, seen: map[string]uint32{}}
}

// Faults returns the modes that are on.
func (eng *Engine) Faults() Faults { return eng.mode }

// Peak returns the largest sum of the sizes of running attempts.
func (eng *Engine) Peak() model.Resources { return eng.peak }

// Incarnation returns how often the VM vanished.
func (eng *Engine) Incarnation() int { return eng.boot }

// Running returns the number of running attempts.
func (eng *Engine) Running() int {
	var num int
	for _, att := range eng.atts {
		if att.state == running {
			num++
		}
	}
	return num
}

// Step implements model.Machine.
func (eng *Engine) Step(now model.Instant, in Input) []AttemptEvent {
	eng.out = nil
	eng.advance(now)
	switch val := in.(type) {
	case ReportResponse:
		eng.answer(now, val)
	case SetFaults:
		eng.tell(now, val)
	}
	return eng.out
}

// tell switches a mode. A VM that vanishes loses its tasks and all it knew.
func (eng *Engine) tell(now model.Instant, te SetFaults) {
	eng.mode = eng.mode.with(te.Faults, te.On)
	if !te.On || !te.Faults.has(VMLost) {
		return
	}
	for _, att := range eng.atts {
		eng.end(now, att, stopped, "vm lost")
	}
	eng.atts, eng.seen, eng.tag = nil, map[string]uint32{}, 0
	eng.boot++
}

// answer renews leases and carries out orders.
func (eng *Engine) answer(now model.Instant, ans ReportResponse) {
	if ans.Incarnation != eng.boot {
		return
	}
	eng.tag = ans.Orders.Tag
	until := ans.Sent.Add(time.Duration(ans.Orders.LeaseMs) * time.Millisecond)
	for _, lea := range ans.Orders.Leases {
		if att := eng.find(lea.Task); att != nil && att.number == lea.Attempt {
			att.until = max(att.until, until)
		}
	}
	for _, ord := range ans.Orders.Orders {
		if ord.Kind == "start" {
			late := ans.Sent.Add(time.Duration(ord.IssuedAfterMs)*time.Millisecond + startWindow)
			eng.start(now, ord, until, !now.Before(late))
			continue
		}
		eng.order(now, ord)
	}
}

// start starts an attempt unless it is late, repeated or older than one seen.
func (eng *Engine) start(now model.Instant, ord rest.Order, until model.Instant, late bool) {
	old := eng.find(ord.Task)
	if ord.Attempt <= eng.seen[ord.Task] {
		return
	}
	if old != nil && old.state == running {
		// The scheduler must not order this; reports show that both exist.
		eng.end(now, old, stopped, "newer attempt ordered")
	}
	att := &attempt{task: ord.Task, number: ord.Attempt, state: rejected}
	eng.put(att)
	if late {
		return
	}
	att.begin(now, ord, eng.plan, eng.mode, until)
	var sum model.Resources
	for _, other := range eng.atts {
		if other.state == running {
			sum = sum.Add(other.size)
		}
	}
	eng.peak = eng.peak.Max(sum)
	eng.out = append(eng.out, AttemptEvent{
		worker: eng.name, task: att.task, attempt: att.number, state: running, at: now, from: att.progress,
	})
}

// order carries out an order other than start.
func (eng *Engine) order(now model.Instant, ord rest.Order) {
	att := eng.find(ord.Task)
	if att == nil || att.number != ord.Attempt {
		if ord.Kind == "stop" && ord.Attempt > eng.seen[ord.Task] {
			// Its start must not be carried out when it arrives after the stop.
			eng.put(&attempt{task: ord.Task, number: ord.Attempt, state: stopped})
		}
		return
	}
	switch {
	case ord.Kind == "forget" && att.state != running:
		eng.atts = slices.DeleteFunc(eng.atts, func(other *attempt) bool { return other == att })
	case att.state != running:
	case ord.Kind == "stop":
		att.stop(now, time.Duration(ord.GraceMs)*time.Millisecond)
	case ord.Kind == "checkpoint":
		att.writing = max(att.writing, now.Add(checkpointTime))
	case ord.Kind == "throttle":
		att.throttle(ord.Size)
	}
}

// put adds an attempt in place of an earlier one of its task.
func (eng *Engine) put(att *attempt) {
	eng.seen[att.task] = att.number
	at, ok := slices.BinarySearchFunc(eng.atts, att.task, compareTask)
	if ok {
		eng.atts[at] = att
		return
	}
	eng.atts = slices.Insert(eng.atts, at, att)
}

func (eng *Engine) find(task string) *attempt {
	if at, ok := slices.BinarySearchFunc(eng.atts, task, compareTask); ok {
		return eng.atts[at]
	}
	return nil
}

// advance moves all attempts on to now.
func (eng *Engine) advance(now model.Instant) {
	for _, att := range eng.atts {
		if att.state == running {
			if at, state, reason := att.advance(now, eng.mode); state != running {
				eng.end(at, att, state, reason)
			}
		}
	}
}

func (eng *Engine) end(at model.Instant, att *attempt, state, reason string) {
	if att.state != running {
		return
	}
	att.state = state
	eng.out = append(eng.out, AttemptEvent{
		worker: eng.name, task: att.task, attempt: att.number, state: state, reason: reason, at: at,
	})
}

// Report returns the report that is sent at now.
func (eng *Engine) Report(now model.Instant) rest.WorkerReport {
	rep := rest.WorkerReport{
		Worker: eng.name, Rack: eng.rack, Size: rest.NewResources(eng.size), Tag: eng.tag,
		Attempts: []rest.Attempt{},
	}
	var kinds []string
	for _, att := range eng.atts {
		if att.state == running {
			kinds = append(kinds, att.kind)
		}
	}
	var slow int
	if eng.plan.Slowdown != nil {
		slow = eng.plan.Slowdown(kinds)
	}
	for _, att := range eng.atts {
		rep.Attempts = append(rep.Attempts, att.report(now, eng.plan.UsageDelay, slow))
	}
	return rep
}
