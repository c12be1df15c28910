package trace

import (
	"fmt"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/place"
	"guavarail/core/sched"
)

const (
	// startTime is the time at which a trace starts. It is not 0, since 0 means
	// that a time is not set.
	startTime    = model.Instant(time.Second)
	tickInterval = 100 * time.Millisecond
	// rackSize is the number of workers in a rack.
	rackSize = 8
	// permitTTL is how long a permit to start tasks is valid after its renewal.
	permitTTL = 2 * time.Second
	// maxStartDelay is how long tasks may still start after the data centre was
	// taken out of service without violating invariant P4.
	maxStartDelay = 3 * time.Second
	// leaderlessTime is the time after a leader change in which the data centre has no
	// leader: the new one has no lease and workers send no reports.
	leaderlessTime = 2 * time.Second
	// admissionRampTime is the time after the return of the data centre to service
	// over which admission rises in steps to 100 percent.
	admissionRampTime = 8 * time.Second
)

// checkpointKey identifies a checkpoint of a task.
type checkpointKey struct {
	task       model.TaskID
	checkpoint sched.Checkpoint
}

// simCore is the part of a simulation that does not depend on the type of the
// placement policy. Workers use it.
type simCore struct {
	now        model.Instant
	workers    []*worker
	behaviours map[model.JobID]Behaviour
	// checkpointWork is the work of a task up to each checkpoint, as run time
	// without throttling.
	checkpointWork map[checkpointKey]time.Duration
	// loads has the load of each service; 1 is full load.
	loads map[model.ServiceID]float64
	// tailLatencies has all reported tail latencies, of which summarize computes the
	// 99th percentile.
	tailLatencies []time.Duration
	// outcome has what is counted while the trace runs; summarize adds what follows
	// from the final state.
	outcome Outcome
	// outOfService is true while the data centre is out of service, and
	// serviceChanged is when that last changed, 0 if never.
	outOfService     bool
	serviceChangedAt model.Instant
	// permitUntil is the end of the permit: tasks may start only before it. It is
	// renewed at each tick while the data centre is in service.
	permitUntil model.Instant
	// leaderlessUntil is the end of the last period without a leader; 0 if there was
	// none.
	leaderlessUntil model.Instant
}

// simulation runs one trace with one placement policy.
type simulation[P place.Policy] struct {
	simCore
	trace   Trace
	policy  P
	state   sched.State
	planner *sched.Planner[P]
	// lastPoll is the identifier of the last poll. Polls of all workers are numbered
	// from 1 in the order in which they are sent.
	lastPoll uint64
}

// Run runs a trace with a placement policy and returns the outcome. The same trace
// and policy give the same outcome.
func Run[P place.Policy](tr Trace, policy P) Outcome {
	sim := &simulation[P]{trace: tr, policy: policy}
	sim.behaviours, sim.checkpointWork = map[model.JobID]Behaviour{}, map[checkpointKey]time.Duration{}
	sim.loads = map[model.ServiceID]float64{}
	sim.now = startTime
	sim.planner = sched.NewPlanner(&sim.state, policy)
	sim.stepPlanner(sched.BecameLeader{})
	nextEvent := 0
	for sim.now.Sub(startTime) < tr.duration {
		for nextEvent < len(tr.events) && tr.events[nextEvent].spec.At <= sim.now.Sub(startTime) {
			sim.applyEvent(tr.events[nextEvent].spec)
			nextEvent++
		}
		sim.advanceTick()
	}
	return sim.summarize()
}

// stepPlanner runs one step of the planner and carries out its effects.
func (sim *simulation[P]) stepPlanner(in sched.Input) {
	for _, eff := range sim.planner.Step(sim.now, in) {
		switch msg := eff.(type) {
		case sched.Propose:
			sim.applyCommand(msg.Command())
		case sched.Answer:
			for _, wk := range sim.workers {
				if wk.id == msg.Worker() {
					wk.handleAnswer(sim.now, msg)
				}
			}
		}
	}
}

// applyCommand applies a command to the scheduler state, counts its accepted
// operations and reports it to the planner.
func (sim *simulation[P]) applyCommand(cmd sched.Command) {
	res := sim.state.Apply(cmd)
	for i := range cmd.Len() {
		if res.Verdict(i) != sched.Accepted {
			continue
		}
		switch cmd.Op(i).Kind() {
		case sched.OpEvict:
			sim.outcome.evictions++
		case sched.OpEnd:
			if cmd.Op(i).Outcome() == sched.Succeeded {
				sim.outcome.lastFinish = sim.now.Sub(startTime)
			}
		case sched.OpStart:
			sim.outcome.attempts++
		}
	}
	sim.stepPlanner(sched.NewApplied(cmd, res))
}

// advanceTick advances the simulation by one tick.
func (sim *simulation[P]) advanceTick() {
	sim.now = sim.now.Add(tickInterval)
	if !sim.outOfService {
		sim.permitUntil = sim.now.Add(permitTTL)
	}
	leaseUntil := sim.now.Add(time.Second)
	if sim.now < sim.leaderlessUntil {
		// A lease that ended in the past: the planner does not act as the leader.
		leaseUntil = 0
	}
	sim.stepPlanner(sched.NewTick(sched.TickSpec{
		LeaseUntil: leaseUntil, StartUntil: sim.permitUntil, Out: sim.outOfService, Admission: sim.admission(), Preset: sim.trace.preset,
	}))
	for _, wk := range sim.workers {
		if wk.down {
			continue
		}
		wk.advanceRuns(sim.now)
		if wk.pendingPoll == 0 && sim.now >= sim.leaderlessUntil {
			sim.lastPoll++
			sim.stepPlanner(wk.newReport(sim.now, sim.lastPoll))
		}
		sim.reportTailLatencies(wk)
	}
	sim.checkCommitments()
}

// admission returns the percentage of the capacity of the data centre that may be
// committed. It rises in steps after the data centre returned to service. While the
// data centre is out of service no task starts, whatever the percentage.
func (sim *simCore) admission() int {
	sinceChange := sim.now.Sub(sim.serviceChangedAt)
	if sim.serviceChangedAt == 0 || sinceChange >= admissionRampTime {
		return 100
	}
	return []int{10, 25, 50, 100}[int(sinceChange*4/admissionRampTime)]
}

// reportTailLatencies reports the tail latency of each service on a worker once a
// second. The report follows the tick of the planner, which therefore takes a new load
// into account one tick late.
func (sim *simulation[P]) reportTailLatencies(wk *worker) {
	for i := range wk.services {
		se := &wk.services[i]
		if sim.now < se.nextTailReport {
			continue
		}
		se.nextTailReport = sim.now.Add(time.Second)
		load := sim.loads[se.service]
		tail := wk.tailLatency(*se, load)
		sim.tailLatencies = append(sim.tailLatencies, tail)
		sim.outcome.tailReports++
		if tail > sim.trace.preset.Service(se.service).TailTarget() {
			sim.outcome.overTarget++
		}
		sim.stepPlanner(sched.NewTailLatency(sched.TailLatencySpec{Worker: wk.id, Service: se.service, Tail: tail, Load: load}))
	}
}

// applyEvent applies an event of the trace.
func (sim *simulation[P]) applyEvent(spec EventSpec) {
	switch spec.Kind {
	case AddWorkers:
		sim.addWorkers(spec)
	case Submit:
		be := spec.Behaviour
		if be.Usage.IsZero() {
			be.Usage = spec.Job.Spec().Size
		}
		sim.behaviours[spec.Job.ID()] = be
		sim.applyCommand(sched.NewCommand(sched.Submit(spec.Job)))
	case Cancel:
		sim.applyCommand(sched.NewCommand(sched.Cancel(spec.Jobs...)))
	case CentreOut, CentreIn:
		sim.outOfService, sim.serviceChangedAt = spec.Kind == CentreOut, sim.now
	case SetLoad:
		sim.loads[spec.Service] = spec.Load
	case LeaderChange:
		sim.leaderlessUntil = sim.now.Add(leaderlessTime)
		for _, wk := range sim.workers {
			wk.pendingPoll = 0
		}
		sim.planner = sched.NewPlanner(&sim.state, sim.policy)
		sim.stepPlanner(sched.BecameLeader{})
	case WorkerDown, WorkerUp, WorkerBad, WorkerGood, PlaceService:
		for _, wk := range sim.workers {
			if wk.rack == spec.Rack || slices.Contains(spec.Workers, wk.id) {
				wk.handleEvent(spec)
			}
		}
	}
}

// handleEvent applies an event of the trace to a worker that it selects.
func (wk *worker) handleEvent(spec EventSpec) {
	switch spec.Kind {
	case WorkerDown:
		wk.crash()
	case WorkerUp:
		wk.down = false
	case WorkerBad, WorkerGood:
		wk.faulty = spec.Kind == WorkerBad
	case PlaceService:
		wk.services = append(wk.services, placedService{service: spec.Service, baseTail: spec.BaseTail})
	}
}

// addWorkers adds the workers of an AddWorkers event.
func (sim *simCore) addWorkers(spec EventSpec) {
	for range spec.Count {
		num := len(sim.workers)
		sim.workers = append(sim.workers, &worker{
			sim: sim, id: model.WorkerID(fmt.Sprintf("worker-%d", num)), rack: fmt.Sprintf("rack-%d", num/rackSize),
			size: spec.Size, highestAttempt: map[model.TaskID]model.Attempt{},
		})
	}
}

// retainedWork returns the work, as run time without throttling, of the finished tasks
// of a job and of the latest checkpoints of the others.
func (sim *simulation[P]) retainedWork(jv sched.JobView) time.Duration {
	sum := time.Duration(0)
	for i := range jv.Spec().Tasks {
		id := model.NewTaskID(jv.Spec().ID, i)
		tv, _ := sim.state.Task(id)
		if tv.State() == sched.Finished {
			sum += sim.behaviours[jv.Spec().ID].RunTime
			continue
		}
		sum += sim.checkpointWork[checkpointKey{id, tv.Checkpoint()}]
	}
	return sum
}

// summarize returns the outcome at the end of the trace.
func (sim *simulation[P]) summarize() Outcome {
	ou := sim.outcome
	ou.reasons = map[model.JobID]string{}
	for _, jv := range sim.state.Jobs() {
		ou.finished += jv.Count(sched.Finished)
		ou.failed += jv.Count(sched.Failed)
		ou.cancelled += jv.Count(sched.Cancelled)
		ou.reasons[jv.Spec().ID] = jv.Reason().String()
	}
	for _, jv := range sim.state.Jobs() {
		ou.unfinished += jv.Spec().Tasks
		if jv.Spec().Priority == model.Batch {
			ou.batchWork += sim.retainedWork(jv)
		}
	}
	ou.unfinished -= ou.finished + ou.failed + ou.cancelled
	slices.Sort(sim.tailLatencies)
	if num := len(sim.tailLatencies); num > 0 {
		ou.tailP99 = sim.tailLatencies[(num-1)*99/100]
	}
	return ou
}
