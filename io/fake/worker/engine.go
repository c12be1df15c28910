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
	// failAfter is how long a task runs before it fails with the fault FailTasks.
	failAfter    = 100 * time.Millisecond
	tickInterval = 20 * time.Millisecond
)

// States of an attempt in a report.
const (
	running   = "running"
	succeeded = "succeeded"
	failed    = "failed"
	stopped   = "stopped"
	rejected  = "rejected"
)

// Run is the start or the end of an attempt.
type Run struct {
	worker      string
	task        string
	attempt     uint32
	state       string
	reason      string
	at          model.Instant
	resumedFrom time.Duration
}

// Worker returns the name of the worker.
func (ru Run) Worker() string { return ru.worker }

// Task returns the id of the task in the form JOB/INDEX.
func (ru Run) Task() string { return ru.task }

// Attempt returns the number of the attempt.
func (ru Run) Attempt() uint32 { return ru.attempt }

// State returns running for a start, and succeeded, failed or stopped for an
// end.
func (ru Run) State() string { return ru.state }

// Reason returns why the attempt ended; it may be empty.
func (ru Run) Reason() string { return ru.reason }

// At returns the time of the start or end on the clock of the worker.
func (ru Run) At() model.Instant { return ru.at }

// From returns the progress at which a start resumed from a checkpoint.
func (ru Run) From() time.Duration { return ru.resumedFrom }

// Answer is the scheduler's response to a report of the worker.
type Answer struct {
	// Sent is when the report was sent.
	Sent model.Instant
	// Boot is the incarnation of the VM that sent the report. A response to an
	// earlier incarnation is discarded.
	Boot   int
	Orders rest.WorkerOrders
}

// Tell sets or clears faults.
type Tell struct {
	Mode Mode
	On   bool
}

// Tick advances the running attempts to the time of the step.
type Tick struct{}

// Input is an Answer, Tell or Tick.
type Input interface{ input() }

func (Answer) input() {}
func (Tell) input()   {}
func (Tick) input()   {}

// Plan describes how the tasks of a worker behave. Nil functions have defaults.
type Plan struct {
	// RunTime returns the run time of a task at full speed; 1 s by default.
	RunTime func(ord rest.Order) time.Duration
	// Usage returns the resources that a task actually uses; by default its
	// size.
	Usage func(ord rest.Order) model.Resources
	// UsageDelay is the age of the usage in a report.
	UsageDelay time.Duration
	// Slowdown returns the percentage by which running tasks of the given kinds
	// slow down the services on the worker; 0 by default.
	Slowdown func(kinds []string) int
}

// Engine simulates the attempts of one worker. It implements model.Machine; its
// effects are the starts and ends of attempts.
type Engine struct {
	name   string
	rack   string
	size   model.Resources
	plan   Plan
	faults Mode
	// incarnation counts how often the VM was lost.
	incarnation int
	// tag is that of the last response; the next report returns it.
	tag uint64
	// atts is ordered by task and has at most one attempt of each task.
	atts []*attempt
	// highestSeen is the highest attempt number received for each task; start
	// orders up to it are ignored.
	highestSeen map[string]uint32
	peak        model.Resources
	events      []Run
}

// NewEngine returns the engine of a worker without tasks.
func NewEngine(name, rack string, size model.Resources, plan Plan) *Engine {
	return &Engine{name: name, rack: rack, size: size, plan: plan, highestSeen: map[string]uint32{}}
}

// Mode returns the faults that are set.
func (eng *Engine) Mode() Mode { return eng.faults }

// Peak returns the largest sum of the sizes of running attempts.
func (eng *Engine) Peak() model.Resources { return eng.peak }

// Boot returns how often the VM was lost.
func (eng *Engine) Boot() int { return eng.incarnation }

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
func (eng *Engine) Step(now model.Instant, in Input) []Run {
	eng.events = nil
	eng.advance(now)
	switch val := in.(type) {
	case Answer:
		eng.handleResponse(now, val)
	case Tell:
		eng.setFaults(now, val)
	}
	return eng.events
}

// setFaults sets or clears faults. A VM that is lost loses its attempts and all
// other state.
func (eng *Engine) setFaults(now model.Instant, te Tell) {
	eng.faults = eng.faults.with(te.Mode, te.On)
	if !te.On || !te.Mode.has(Vanished) {
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
func (eng *Engine) handleResponse(now model.Instant, ans Answer) {
	if ans.Boot != eng.incarnation {
		return
	}
	eng.tag = ans.Orders.Tag
	leaseEnd := ans.Sent.Add(time.Duration(ans.Orders.LeaseMs) * time.Millisecond)
	for _, lea := range ans.Orders.Leases {
		if att := eng.find(lea.Task); att != nil && att.number == lea.Attempt {
			att.leaseEnd = max(att.leaseEnd, leaseEnd)
		}
	}
	for _, ord := range ans.Orders.Orders {
		if ord.Kind == "start" {
			late := ans.Sent.Add(time.Duration(ord.IssuedAfterMs)*time.Millisecond + startWindow)
			eng.start(now, ord, leaseEnd, !now.Before(late))
			continue
		}
		eng.handleOrder(now, ord)
	}
}

// start starts an attempt. It ignores an order for an attempt that is not newer
// than all received ones, and rejects a late order.
func (eng *Engine) start(now model.Instant, ord rest.Order, leaseEnd model.Instant, late bool) {
	old := eng.find(ord.Task)
	if ord.Attempt <= eng.highestSeen[ord.Task] {
		return
	}
	if old != nil && old.state == running {
		// A correct scheduler doesn't order this; the events show both attempts.
		eng.end(now, old, stopped, "newer attempt ordered")
	}
	att := &attempt{task: ord.Task, number: ord.Attempt, state: rejected}
	eng.insert(att)
	if late {
		return
	}
	att.start(now, ord, eng.plan, eng.faults, leaseEnd)
	var sum model.Resources
	for _, other := range eng.atts {
		if other.state == running {
			sum = sum.Add(other.size)
		}
	}
	eng.peak = eng.peak.Max(sum)
	eng.events = append(eng.events, Run{
		worker: eng.name, task: att.task, attempt: att.number, state: running, at: now, resumedFrom: att.progress,
	})
}

// handleOrder carries out an order other than a start.
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
	eng.events = append(eng.events, Run{
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
	var slow int
	if eng.plan.Slowdown != nil {
		slow = eng.plan.Slowdown(kinds)
	}
	for _, att := range eng.atts {
		rep.Attempts = append(rep.Attempts, att.report(now, eng.plan.UsageDelay, slow))
	}
	return rep
}
