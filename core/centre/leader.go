package centre

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/permit"
	"guavarail/core/place"
	"guavarail/core/sched"
)

// TickEvery is how often the owner steps a Leader with a Tick.
const TickEvery = 100 * time.Millisecond

// Input is what a leader is stepped with.
type Input interface{ input() }

// Tick passes the time and how long this VM leads the group.
type Tick struct {
	until  model.Instant
	preset model.Preset
}

// NewTick returns a tick with the active preset. until is the end of the leader
// lease, and lies in the past when this VM does not lead or has not applied all
// that was committed before.
func NewTick(until model.Instant, preset model.Preset) Tick {
	return Tick{until: until, preset: preset}
}

// Report is the report of a worker.
type Report struct{ report sched.ReportSpec }

// NewReport returns the input for the report of a worker. It must only be used
// while the lease holds.
func NewReport(rep sched.ReportSpec) Report { return Report{report: rep} }

// Applied reports a command that the group applied.
type Applied struct {
	cmd Command
	res Result
}

// NewApplied returns the input for an applied command.
func NewApplied(cmd Command, res Result) Applied { return Applied{cmd: cmd, res: res} }

// Dropped reports that the last proposal will certainly not be applied.
type Dropped struct{}

// SteppedDown reports that this VM no longer leads the group. It must come
// before commands that were applied later and before a restored snapshot.
type SteppedDown struct{}

// Tail reports the latency of a service on a worker, as an entry VM sees it.
type Tail struct{ spec sched.TailReadingSpec }

// NewTail returns the input for a reading of the tail latency.
func NewTail(spec sched.TailReadingSpec) Tail { return Tail{spec: spec} }

// Granted passes on the answer of the fleet leader to a permission request.
type Granted struct{ grant permit.Grant }

// NewGranted returns the input for an answer of the fleet leader.
func NewGranted(gr permit.Grant) Granted { return Granted{grant: gr} }

func (Tick) input()        {}
func (Report) input()      {}
func (Applied) input()     {}
func (Dropped) input()     {}
func (SteppedDown) input() {}
func (Tail) input()        {}
func (Granted) input()     {}

// Effect is what a leader asks its owner to do.
type Effect interface{ effect() }

// Propose asks to propose a command in the group.
type Propose struct{ cmd Command }

// Command returns the command.
func (pr Propose) Command() Command { return pr.cmd }

// RequestPermit asks the fleet leader for a start permission.
type RequestPermit struct{ sequence uint64 }

// Sequence returns the number of the request.
func (rp RequestPermit) Sequence() uint64 { return rp.sequence }

// Answer completes the poll of a worker.
type Answer struct{ answer sched.Answer }

// Answer returns the answer.
func (an Answer) Answer() sched.Answer { return an.answer }

// Note adds an event to the timeline.
type Note struct{ event event.Event }

// Event returns the event.
func (no Note) Event() event.Event { return no.event }

func (Propose) effect()       {}
func (RequestPermit) effect() {}
func (Answer) effect()        {}
func (Note) effect()          {}

// Leader decides for a data centre while this VM leads its group. It reads the
// state that it was made with, so the actor that owns the state owns the
// leader as well.
type Leader struct {
	plan *sched.Planner[place.BestFit]
	hold permit.Holder
	// leading is set from the first tick with a lease until SteppedDown; the
	// planner follows the state meanwhile.
	leading bool
	// leased says that the lease held at the last tick. It implies leading.
	leased bool
	// asked is when the last permission was requested.
	asked model.Instant
}

// NewLeader returns a leader for the state.
func NewLeader(st *State) *Leader {
	return &Leader{plan: sched.NewPlanner(&st.tasks, place.BestFit{})}
}

// Step takes one input and returns the effects in order.
func (ld *Leader) Step(now model.Instant, in Input) []Effect {
	switch msg := in.(type) {
	case Tick:
		return ld.tick(now, msg)
	case Report:
		return ld.carry(ld.plan.Step(now, sched.NewWorkerReport(msg.report)))
	case Applied:
		if cmd, ok := msg.cmd.Tasks(); ok && ld.leading {
			return ld.carry(ld.plan.Step(now, sched.NewApplied(cmd, msg.res.tasks)))
		}
	case Dropped:
		return ld.carry(ld.plan.Step(now, sched.ProposalDropped{}))
	case SteppedDown:
		ld.leading, ld.leased = false, false
		ld.hold.Drop()
		return ld.carry(ld.plan.Step(now, sched.SteppedDown{}))
	case Tail:
		if ld.leased {
			return ld.carry(ld.plan.Step(now, sched.NewTailReading(msg.spec)))
		}
	case Granted:
		ld.hold.Receive(now, msg.grant)
	}
	return nil
}

func (ld *Leader) tick(now model.Instant, tic Tick) []Effect {
	var effs []Effect
	ld.leased = now.Before(tic.until)
	if ld.leased && !ld.leading {
		ld.leading, ld.asked = true, 0
		effs = append(effs, ld.carry(ld.plan.Step(now, sched.TookOver{}))...)
	}
	if ld.leased && (ld.asked == 0 || now.Sub(ld.asked) >= permit.RenewEvery) {
		ld.asked = now
		effs = append(effs, RequestPermit{sequence: ld.hold.Request(now)})
	}
	return append(effs, ld.carry(ld.plan.Step(now, sched.NewTick(ld.tickSpec(now, tic))))...)
}

// tickSpec returns what the planner may do from now on. The lease may end before
// the next tick; the planner then stops by itself.
func (ld *Leader) tickSpec(now model.Instant, tic Tick) sched.TickSpec {
	_, out := ld.hold.Out()
	return sched.TickSpec{
		LeadUntil: tic.until, StartUntil: ld.hold.Until(), Out: out, Admission: ld.hold.Percent(now), Preset: tic.preset,
	}
}

// carry translates the effects of the planner.
func (ld *Leader) carry(effs []sched.Effect) []Effect {
	out := make([]Effect, 0, len(effs))
	for _, eff := range effs {
		switch val := eff.(type) {
		case sched.Propose:
			out = append(out, Propose{cmd: Tasks(val.Command())})
		case sched.Answer:
			out = append(out, Answer{answer: val})
		case sched.Note:
			out = append(out, Note{event: val.Event()})
		}
	}
	return out
}

// Waits returns why the oldest waiting task of a job waits, or NoReason.
func (ld *Leader) Waits(now model.Instant, job model.JobID) sched.Reason {
	if !ld.leased {
		return sched.NoReason
	}
	return ld.plan.WaitReason(now, job)
}

// Worker returns what the leader knows about a worker.
func (ld *Leader) Worker(id model.WorkerID) sched.WorkerState { return ld.plan.WorkerState(id) }
