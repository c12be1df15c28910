package centre

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/permit"
	"guavarail/core/place"
	"guavarail/core/sched"
)

// TickInterval is the interval at which the owner of a Leader must pass it a Tick.
const TickInterval = 100 * time.Millisecond

// Input is an input of Leader.Step.
type Input interface{ input() }

// Tick makes the leader check its timers. It carries the end of the leader lease
// of this VM and the active preset.
type Tick struct {
	leaseUntil model.Instant
	preset     model.Preset
}

// NewTick returns a tick. leaseUntil is the end of the leader lease on the local
// clock. It must be in the past if this VM does not lead or has not applied all
// entries that were committed in earlier terms.
func NewTick(leaseUntil model.Instant, preset model.Preset) Tick {
	return Tick{leaseUntil: leaseUntil, preset: preset}
}

// Report delivers the report that a worker sends with each poll. The response is
// an AnswerPoll.
type Report struct{ report sched.ReportSpec }

// NewReport returns the input for the report of a worker. The input must only be
// passed to Step while the VM holds the leader lease.
func NewReport(rep sched.ReportSpec) Report { return Report{report: rep} }

// Applied reports that the state has applied a command, whether this VM leads or
// not.
type Applied struct {
	cmd Command
	res Result
}

// NewApplied returns the input for an applied command.
func NewApplied(cmd Command, res Result) Applied { return Applied{cmd: cmd, res: res} }

// ProposalDropped reports that the command of the last Propose will never be
// applied.
type ProposalDropped struct{}

// SteppedDown reports that this VM no longer leads the group. It must be passed to
// Step before the State applies a command, or restores a snapshot, after the loss
// of leadership.
type SteppedDown struct{}

// TailLatency reports the tail latency of a service on a worker, as measured by
// an entry VM that dispatches requests to that worker.
type TailLatency struct{ spec sched.TailLatencySpec }

// NewTailLatency returns the input for a measurement of the tail latency.
func NewTailLatency(spec sched.TailLatencySpec) TailLatency { return TailLatency{spec: spec} }

// PermitDecided delivers the decision of the leader of the fleet group on a
// RequestPermit.
type PermitDecided struct{ decision permit.Decision }

// NewPermitDecided returns the input for a decision of the fleet leader.
func NewPermitDecided(de permit.Decision) PermitDecided { return PermitDecided{decision: de} }

func (Tick) input()            {}
func (Report) input()          {}
func (Applied) input()         {}
func (ProposalDropped) input() {}
func (SteppedDown) input()     {}
func (TailLatency) input()     {}
func (PermitDecided) input()   {}

// Effect is an action that the owner of a leader must execute.
type Effect interface{ effect() }

// Propose proposes a command to the group. Applied or ProposalDropped reports the
// outcome; neither does if it remains unknown.
type Propose struct{ cmd Command }

// Command returns the command to propose.
func (pr Propose) Command() Command { return pr.cmd }

// RequestPermit asks the leader of the fleet group to renew the start permit,
// without which no task of the data centre may start.
type RequestPermit struct{ sequence uint64 }

// Sequence returns the sequence number of the request.
func (rp RequestPermit) Sequence() uint64 { return rp.sequence }

// AnswerPoll sends the response to the poll of a worker, with lease renewals and
// orders.
type AnswerPoll struct{ answer sched.Answer }

// Answer returns the response.
func (ap AnswerPoll) Answer() sched.Answer { return ap.answer }

// RecordEvent adds an event to the timeline.
type RecordEvent struct{ event event.Event }

// Event returns the event.
func (re RecordEvent) Event() event.Event { return re.event }

func (Propose) effect()       {}
func (RequestPermit) effect() {}
func (AnswerPoll) effect()    {}
func (RecordEvent) effect()   {}

// Leader makes the scheduling decisions of a data centre while this VM leads its
// group. It reads the State passed to NewLeader without synchronization, so the
// actor that owns the state must own the leader as well. Use NewLeader to create
// one.
type Leader struct {
	plan   *sched.Planner[place.BestFit]
	permit permit.Holder
	// leading is set from the first tick with a lease until SteppedDown.
	leading bool
	// leased is set if the lease was valid at the last tick. It implies leading.
	leased bool
	// lastPermitRequest is when the permit was last requested, or 0 if it was not
	// requested since this VM became leader.
	lastPermitRequest model.Instant
}

// NewLeader returns a leader that reads st.
func NewLeader(st *State) *Leader {
	return &Leader{plan: sched.NewPlanner(&st.tasks, place.BestFit{})}
}

// Step handles one input at the given local time and returns the effects, which
// the owner must execute in order.
func (ld *Leader) Step(now model.Instant, in Input) []Effect {
	switch msg := in.(type) {
	case Tick:
		return ld.tick(now, msg)
	case Report:
		return ld.translate(ld.plan.Step(now, sched.NewWorkerReport(msg.report)))
	case Applied:
		if cmd, ok := msg.cmd.Tasks(); ok {
			return ld.translate(ld.plan.Step(now, sched.NewApplied(cmd, msg.res.tasks)))
		}
	case ProposalDropped:
		return ld.translate(ld.plan.Step(now, sched.ProposalDropped{}))
	case SteppedDown:
		ld.leading, ld.leased = false, false
		ld.permit.Reset()
		return ld.translate(ld.plan.Step(now, sched.SteppedDown{}))
	case TailLatency:
		if ld.leased {
			return ld.translate(ld.plan.Step(now, sched.NewTailLatency(msg.spec)))
		}
	case PermitDecided:
		ld.permit.Receive(now, msg.decision)
	}
	return nil
}

func (ld *Leader) tick(now model.Instant, tic Tick) []Effect {
	var effs []Effect
	ld.leased = now.Before(tic.leaseUntil)
	if ld.leased && !ld.leading {
		ld.leading, ld.lastPermitRequest = true, 0
		effs = append(effs, ld.translate(ld.plan.Step(now, sched.BecameLeader{}))...)
	}
	if ld.leased && (ld.lastPermitRequest == 0 || now.Sub(ld.lastPermitRequest) >= permit.RenewInterval) {
		ld.lastPermitRequest = now
		effs = append(effs, RequestPermit{sequence: ld.permit.Request(now)})
	}
	return append(effs, ld.translate(ld.plan.Step(now, sched.NewTick(ld.tickSpec(now, tic))))...)
}

// tickSpec returns the limits for the planner until the next tick. They include
// the ends of the lease and the permit, so that the planner observes them if they
// expire before the next tick.
func (ld *Leader) tickSpec(now model.Instant, tic Tick) sched.TickSpec {
	_, out := ld.permit.OutOfService()
	return sched.TickSpec{
		LeaseUntil: tic.leaseUntil, StartUntil: ld.permit.Until(), Out: out, Admission: ld.permit.AdmissionPercent(now), Preset: tic.preset,
	}
}

// translate converts the effects of the planner to those of the leader.
func (ld *Leader) translate(effs []sched.Effect) []Effect {
	out := make([]Effect, 0, len(effs))
	for _, eff := range effs {
		switch val := eff.(type) {
		case sched.Propose:
			out = append(out, Propose{cmd: Tasks(val.Command())})
		case sched.Answer:
			out = append(out, AnswerPoll{answer: val})
		case sched.RecordEvent:
			out = append(out, RecordEvent{event: val.Event()})
		}
	}
	return out
}

// WaitReason returns the reason why the oldest waiting task of a job is not
// started. It returns NoReason if no task waits or this VM did not hold the lease
// at the last tick.
func (ld *Leader) WaitReason(now model.Instant, job model.JobID) sched.Reason {
	if !ld.leased {
		return sched.NoReason
	}
	return ld.plan.WaitReason(now, job)
}

// Worker returns the state of a worker as recorded by the planner. It is only
// up to date while this VM leads.
func (ld *Leader) Worker(id model.WorkerID) sched.WorkerState { return ld.plan.WorkerState(id) }
