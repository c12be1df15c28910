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
	// start is the time at which a trace begins; zero would mean unset.
	start    = model.Instant(time.Second)
	tick     = 100 * time.Millisecond
	rackSize = 8
	// grant is how long a start permission is valid.
	grant = 2 * time.Second
	// lastStart bounds starts after the data centre was taken out (P4).
	lastStart = 3 * time.Second
	// hiccup is the time without a leader in a leader change.
	hiccup = 2 * time.Second
	// returnSteps is the time that the return to service is spread over.
	returnSteps = 8 * time.Second
)

type saving struct {
	task model.TaskID
	cp   sched.Checkpoint
}

// core is the part of a simulation that does not depend on the policy.
type core struct {
	now        model.Instant
	workers    []*worker
	behaviours map[model.JobID]Behaviour
	saved      map[saving]time.Duration
	loads      map[model.ServiceID]float64
	tails      []time.Duration
	outcome    Outcome
	out        bool
	changed    model.Instant
	startUntil model.Instant
	// leaderless is until when nobody leads.
	leaderless model.Instant
}

// simulation runs one trace with one placement policy.
type simulation[P place.Policy] struct {
	core
	trace   Trace
	policy  P
	state   sched.State
	planner *sched.Planner[P]
	polls   uint64
}

// Run runs a trace with a placement policy and returns the outcome. The same
// trace always gives the same outcome.
func Run[P place.Policy](tr Trace, policy P) Outcome {
	sim := &simulation[P]{trace: tr, policy: policy}
	sim.behaviours, sim.saved = map[model.JobID]Behaviour{}, map[saving]time.Duration{}
	sim.loads = map[model.ServiceID]float64{}
	sim.now = start
	sim.planner = sched.NewPlanner(&sim.state, policy)
	sim.step(sched.BecameLeader{})
	next := 0
	for sim.now.Sub(start) < tr.until {
		for next < len(tr.events) && tr.events[next].spec.At <= sim.now.Sub(start) {
			sim.input(tr.events[next].spec)
			next++
		}
		sim.advance()
	}
	return sim.sum()
}

func (sim *simulation[P]) step(in sched.Input) {
	for _, eff := range sim.planner.Step(sim.now, in) {
		switch msg := eff.(type) {
		case sched.Propose:
			sim.commit(msg.Command())
		case sched.Answer:
			for _, wk := range sim.workers {
				if wk.id == msg.Worker() {
					wk.receive(sim.now, msg)
				}
			}
		}
	}
}

func (sim *simulation[P]) commit(cmd sched.Command) {
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
				sim.outcome.last = sim.now.Sub(start)
			}
		case sched.OpStart:
			sim.outcome.attempts++
		}
	}
	sim.step(sched.NewApplied(cmd, res))
}

func (sim *simulation[P]) advance() {
	sim.now = sim.now.Add(tick)
	if !sim.out {
		sim.startUntil = sim.now.Add(grant)
	}
	lead := sim.now.Add(time.Second)
	if sim.now < sim.leaderless {
		lead = 0
	}
	sim.step(sched.NewTick(sched.TickSpec{
		LeadUntil: lead, StartUntil: sim.startUntil, Out: sim.out, Admission: sim.admission(), Preset: sim.trace.preset,
	}))
	for _, wk := range sim.workers {
		if wk.down {
			continue
		}
		wk.advance(sim.now)
		if wk.poll == 0 && sim.now >= sim.leaderless {
			sim.polls++
			sim.step(wk.report(sim.now, sim.polls))
		}
		sim.readTails(wk)
	}
	sim.check()
}

// admission returns the percentage that a returning data centre admits.
func (sim *core) admission() int {
	since := sim.now.Sub(sim.changed)
	if sim.changed == 0 || since >= returnSteps {
		return 100
	}
	return []int{10, 25, 50, 100}[int(since*4/returnSteps)]
}

// readTails passes the tail latency once a second, one step late.
func (sim *simulation[P]) readTails(wk *worker) {
	for i := range wk.serves {
		se := &wk.serves[i]
		if sim.now < se.next {
			continue
		}
		se.next = sim.now.Add(time.Second)
		load := sim.loads[se.service]
		tail := wk.tail(*se, load)
		sim.tails = append(sim.tails, tail)
		sim.outcome.readings++
		if tail > sim.trace.preset.Service(se.service).TailTarget() {
			sim.outcome.over++
		}
		sim.step(sched.NewTailLatency(sched.TailLatencySpec{Worker: wk.id, Service: se.service, Tail: tail, Load: load}))
	}
}

func (sim *simulation[P]) input(spec EventSpec) {
	switch spec.Kind {
	case Workers:
		sim.add(spec)
	case Submit:
		be := spec.Behaviour
		if be.Uses.IsZero() {
			be.Uses = spec.Job.Spec().Size
		}
		sim.behaviours[spec.Job.ID()] = be
		sim.commit(sched.NewCommand(sched.Submit(spec.Job)))
	case Cancel:
		sim.commit(sched.NewCommand(sched.Cancel(spec.Jobs...)))
	case Out, In:
		sim.out, sim.changed = spec.Kind == Out, sim.now
	case Load:
		sim.loads[spec.Service] = spec.Load
	case Lead:
		sim.leaderless = sim.now.Add(hiccup)
		for _, wk := range sim.workers {
			wk.poll = 0
		}
		sim.planner = sched.NewPlanner(&sim.state, sim.policy)
		sim.step(sched.BecameLeader{})
	case Down, Up, Bad, Good, Serve:
		for _, wk := range sim.workers {
			if wk.rack == spec.Rack || slices.Contains(spec.Workers, wk.id) {
				wk.change(spec)
			}
		}
	}
}

func (wk *worker) change(spec EventSpec) {
	switch spec.Kind {
	case Down:
		wk.fail()
	case Up:
		wk.down = false
	case Bad, Good:
		wk.bad = spec.Kind == Bad
	case Serve:
		wk.serves = append(wk.serves, serving{service: spec.Service, base: spec.Tail})
	}
}

func (sim *core) add(spec EventSpec) {
	for range spec.Count {
		num := len(sim.workers)
		sim.workers = append(sim.workers, &worker{
			sim: sim, id: model.WorkerID(fmt.Sprintf("worker-%d", num)), rack: fmt.Sprintf("rack-%d", num/rackSize),
			size: spec.Size, highest: map[model.TaskID]model.Attempt{},
		})
	}
}

// started checks P2 and P4.
func (sim *core) started(now model.Instant, wk *worker, rn *run) {
	if rn.state != sched.AttemptRunning {
		return
	}
	if sim.out && now.Sub(sim.changed) > lastStart {
		sim.violate("P4: " + rn.task.String() + " started after the data centre was out")
	}
	for _, other := range sim.workers {
		for _, run := range other.runs {
			if run != rn && run.task == rn.task && run.state == sched.AttemptRunning && now < run.until {
				sim.violate("P2: " + rn.task.String() + " runs on " + string(other.id) + " and " + string(wk.id))
			}
		}
	}
}

func (sim *core) violate(what string) {
	sim.outcome.violations = append(sim.outcome.violations, what)
}

// check looks for commitments beyond the size of a worker (P1).
func (sim *simulation[P]) check() {
	for _, wv := range sim.state.Workers() {
		if !wv.Committed().FitsIn(wv.Size()) {
			sim.violate("P1: commitments exceed " + string(wv.ID()))
		}
	}
}

// kept returns the work of a job that is finished or in a checkpoint.
func (sim *simulation[P]) kept(jv sched.JobView) time.Duration {
	sum := time.Duration(0)
	for i := range jv.Spec().Tasks {
		id := model.NewTaskID(jv.Spec().ID, i)
		tv, _ := sim.state.Task(id)
		if tv.State() == sched.Finished {
			sum += sim.behaviours[jv.Spec().ID].Run
			continue
		}
		sum += sim.saved[saving{id, tv.Checkpoint()}]
	}
	return sum
}

// sum returns the outcome at the end.
func (sim *simulation[P]) sum() Outcome {
	ou := sim.outcome
	ou.reasons = map[model.JobID]string{}
	for _, jv := range sim.state.Jobs() {
		ou.finished += jv.Count(sched.Finished)
		ou.failed += jv.Count(sched.Failed)
		ou.cancelled += jv.Count(sched.Cancelled)
		ou.reasons[jv.Spec().ID] = jv.Reason().String()
	}
	for _, jv := range sim.state.Jobs() {
		ou.open += jv.Spec().Tasks
		if jv.Spec().Priority == model.Batch {
			ou.work += sim.kept(jv)
		}
	}
	ou.open -= ou.finished + ou.failed + ou.cancelled
	slices.Sort(sim.tails)
	if num := len(sim.tails); num > 0 {
		ou.tail = sim.tails[(num-1)*99/100]
	}
	return ou
}
