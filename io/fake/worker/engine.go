package worker

import (
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/io/rest"
)

const (
	// startWindow is how long a start order is valid after it was issued.
	startWindow = 500 * time.Millisecond
	// checkpointDuration is the time that a task takes to write a checkpoint.
	checkpointDuration = 100 * time.Millisecond
	// failAfter is how long a task runs before the fault FailTasks makes it fail.
	failAfter = 100 * time.Millisecond
	// tickInterval is the interval of the engine's ticks, and of the backend
	// server's checks whether faults have changed.
	tickInterval = 20 * time.Millisecond
)

// States of an attempt in a report.
const (
	running   = "running"
	succeeded = "succeeded"
	failed    = "failed"
	stopped   = "stopped"
	// rejected means that the start order arrived after its start window.
	rejected = "rejected"
)

// ReportResponse is the scheduler's response to a report of the worker.
type ReportResponse struct {
	// Sent is when the report was sent.
	Sent model.Instant
	// Incarnation is the incarnation of the VM when it sent the report. The
	// response is discarded if the VM has been lost since then.
	Incarnation int
	Orders      rest.WorkerOrders
}

// SetFaults sets the given faults if On is true, and clears them otherwise. Other
// faults stay as they are.
type SetFaults struct {
	Faults Faults
	On     bool
}

// Tick advances the running attempts to the time of the step.
type Tick struct{}

// Input is a ReportResponse, SetFaults or Tick.
type Input interface{ input() }

func (ReportResponse) input() {}
func (SetFaults) input()      {}
func (Tick) input()           {}

// Workload describes how the tasks of a worker behave. Nil functions have defaults.
type Workload struct {
	// RunTime returns the run time of a task at full speed; 1 s by default.
	RunTime func(ord rest.Order) time.Duration
	// Usage returns the resources that a task actually uses; by default its
	// size.
	Usage func(ord rest.Order) model.Resources
	// UsageDelay is the age of the usage in a report. Attempts that have run for
	// less time report no usage.
	UsageDelay time.Duration
	// Slowdown returns the percentage by which running tasks slow down the
	// services on the worker, given the job kind of each; 0 by default.
	Slowdown func(kinds []string) int
}

// Engine simulates the attempts of one worker. It implements model.Machine; its
// effects are the starts and ends of attempts.
type Engine struct {
	name     string
	rack     string
	size     model.Resources
	workload Workload
	faults   Faults
	// incarnation counts how often the VM was lost.
	incarnation int
	// tag is the tag of the last response, or 0 before the first. The next report
	// repeats it, by which the scheduler recognises a delayed report.
	tag uint64
	// atts has the attempts that are reported, ordered by task, at most one of
	// each task.
	atts []*attempt
	// highestSeen is the highest attempt number received for each task; start
	// orders up to it are ignored.
	highestSeen map[string]uint32
	// peak is the largest sum, in each resource, of the sizes of running attempts.
	peak model.Resources
	// events are the effects of the current step.
	events []AttemptEvent
}

// NewEngine returns the engine of a worker without tasks.
func NewEngine(name, rack string, size model.Resources, wl Workload) *Engine {
	return &Engine{name: name, rack: rack, size: size, workload: wl, highestSeen: map[string]uint32{}}
}

// Faults returns the faults that are set.
func (eng *Engine) Faults() Faults { return eng.faults }

// Peak returns, for each resource, the largest sum of the sizes of attempts that ran
// at the same time.
func (eng *Engine) Peak() model.Resources { return eng.peak }

// Incarnation returns how often the VM was lost.
func (eng *Engine) Incarnation() int { return eng.incarnation }

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
	eng.events = nil
	eng.advance(now)
	switch val := in.(type) {
	case ReportResponse:
		eng.handleResponse(now, val)
	case SetFaults:
		eng.setFaults(now, val)
	}
	return eng.events
}

// setFaults sets or clears faults. The loss of the VM ends its attempts and discards
// them, the highest attempt numbers and the tag.
func (eng *Engine) setFaults(now model.Instant, msg SetFaults) {
	eng.faults = eng.faults.with(msg.Faults, msg.On)
	if !msg.On || !msg.Faults.has(VMLost) {
		return
	}
	for _, att := range eng.atts {
		eng.end(now, att, stopped, "vm lost")
	}
	eng.atts, eng.highestSeen, eng.tag = nil, map[string]uint32{}, 0
	eng.incarnation++
}

// handleResponse renews leases and carries out the orders of a response. Leases
// run from the time at which the report was sent.
func (eng *Engine) handleResponse(now model.Instant, rsp ReportResponse) {
	if rsp.Incarnation != eng.incarnation {
		return
	}
	eng.tag = rsp.Orders.Tag
	leaseEnd := rsp.Sent.Add(time.Duration(rsp.Orders.LeaseMs) * time.Millisecond)
	for _, lea := range rsp.Orders.Leases {
		if att := eng.find(lea.Task); att != nil && att.number == lea.Attempt {
			att.leaseEnd = max(att.leaseEnd, leaseEnd)
		}
	}
	for _, ord := range rsp.Orders.Orders {
		if ord.Kind == "start" {
			startUntil := rsp.Sent.Add(time.Duration(ord.IssuedAfterMs)*time.Millisecond + startWindow)
			eng.start(now, ord, leaseEnd, !now.Before(startUntil))
			continue
		}
		eng.handleOrder(now, ord)
	}
}

// start carries out a start order. It ignores an order whose attempt number isn't
// higher than all received ones of the task, and rejects an expired order: the
// attempt is then only reported.
func (eng *Engine) start(now model.Instant, ord rest.Order, leaseEnd model.Instant, expired bool) {
	prev := eng.find(ord.Task)
	if ord.Attempt <= eng.highestSeen[ord.Task] {
		return
	}
	if prev != nil && prev.state == running {
		// A correct scheduler doesn't order a second attempt while one is running.
		// The end event of the first shows that both were started.
		eng.end(now, prev, stopped, "newer attempt ordered")
	}
	att := &attempt{task: ord.Task, number: ord.Attempt, state: rejected}
	eng.insert(att)
	if expired {
		return
	}
	att.start(now, ord, eng.workload, eng.faults, leaseEnd)
	var sum model.Resources
	for _, other := range eng.atts {
		if other.state == running {
			sum = sum.Add(other.size)
		}
	}
	eng.peak = eng.peak.Max(sum)
	eng.events = append(eng.events, AttemptEvent{
		worker: eng.name, task: att.task, attempt: att.number, state: running, at: now, resumedFrom: att.progress,
	})
}

// handleOrder carries out an order other than a start. After the order forget, an
// ended attempt is no longer reported.
func (eng *Engine) handleOrder(now model.Instant, ord rest.Order) {
	att := eng.find(ord.Task)
	if att == nil || att.number != ord.Attempt {
		if ord.Kind == "stop" && ord.Attempt > eng.highestSeen[ord.Task] {
			// A start that arrives after this stop must not be carried out.
			eng.insert(&attempt{task: ord.Task, number: ord.Attempt, state: stopped})
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
		att.checkpointAt = max(att.checkpointAt, now.Add(checkpointDuration))
	case ord.Kind == "throttle":
		att.throttle(ord.Size)
	}
}

// insert adds an attempt and replaces an earlier one of the same task.
func (eng *Engine) insert(att *attempt) {
	eng.highestSeen[att.task] = att.number
	index, ok := slices.BinarySearchFunc(eng.atts, att.task, compareTask)
	if ok {
		eng.atts[index] = att
		return
	}
	eng.atts = slices.Insert(eng.atts, index, att)
}

func (eng *Engine) find(task string) *attempt {
	if index, ok := slices.BinarySearchFunc(eng.atts, task, compareTask); ok {
		return eng.atts[index]
	}
	return nil
}

// advance computes the progress of all running attempts up to now.
func (eng *Engine) advance(now model.Instant) {
	for _, att := range eng.atts {
		if att.state == running {
			if at, state, reason := att.advance(now, eng.faults); state != running {
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
	eng.events = append(eng.events, AttemptEvent{
		worker: eng.name, task: att.task, attempt: att.number, state: state, reason: reason, at: at,
	})
}

// Report returns the report of the worker at now.
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
	var slowdownPercent int
	if eng.workload.Slowdown != nil {
		slowdownPercent = eng.workload.Slowdown(kinds)
	}
	for _, att := range eng.atts {
		rep.Attempts = append(rep.Attempts, att.report(now, eng.workload.UsageDelay, slowdownPercent))
	}
	return rep
}
