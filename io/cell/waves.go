package cell

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/waves"
	"guavarail/io/group"
	"guavarail/io/meter"
)

// platformTimeout bounds one call to the platform. It is shorter than the time after which
// core/waves takes an unanswered order as carried out or lost.
const platformTimeout = 2 * time.Second

var (
	// waveEvents counts the events about waves, by kind.
	waveEvents = meter.NewCounters("cellWaveEvents")
	// platformCalls counts the calls to the platform by outcome, and platformTime is how long
	// they took.
	platformCalls = meter.NewCounters("cellPlatformCalls")
	platformTime  = meter.NewHistogram("cellPlatformMs")
)

// orderOutcomes are the names of the counters of the outcomes of an order.
var orderOutcomes = map[waves.Outcome]string{
	waves.Unknown: "orderUnknown", waves.Done: "orderDone", waves.Refused: "orderRefused", waves.Limited: "orderLimited",
}

// Machines is the platform's service for its machines. One call is made at a time.
type Machines interface {
	// List returns a page of the list and the token of the next one, empty for none.
	List(ctx context.Context, token string) ([]waves.Listed, string, error)
	// Maintain orders the maintenance of a machine. holder is the name of this VM.
	Maintain(ctx context.Context, ord waves.Order, holder model.VMID) (waves.Outcome, error)
}

// SetMachines sets the platform's service. Without it, no wave is carried out.
func (vm *VM) SetMachines(mac Machines) { vm.machines.Store(&mac) }

// upkeep carries out the maintenance waves on the leader. The group's actor owns planner and
// tickedAt.
type upkeep struct {
	planner  *waves.Planner
	tickedAt model.Instant
	// calls and proposals pass on the effects that take time.
	calls, proposals *latest[upkeepTask]
}

// upkeepTask is an effect that takes time, with the context of its term.
type upkeepTask struct {
	ctx context.Context
	eff waves.Effect
}

func newUpkeep(st *waves.State, conf waves.Config) upkeep {
	return upkeep{planner: waves.NewPlanner(st, conf), calls: newLatest[upkeepTask](), proposals: newLatest[upkeepTask]()}
}

// startUpkeep starts the goroutines that make calls and proposals. The returned function waits until
// they have ended, after ctx.
func (mem *member) startUpkeep(ctx context.Context) func() {
	callsDone, proposalsDone := make(chan struct{}), make(chan struct{})
	go runUpkeep(ctx, callsDone, mem.upkeep.calls, mem.callPlatform)
	go runUpkeep(ctx, proposalsDone, mem.upkeep.proposals, mem.proposeMarks)
	return func() {
		<-callsDone
		<-proposalsDone
	}
}

// runUpkeep handles tasks one after the other until ctx ends and then closes done.
func runUpkeep(ctx context.Context, done chan<- struct{}, tasks *latest[upkeepTask], handle func(upkeepTask)) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-tasks.receive():
			handle(task)
		}
	}
}

// tickUpkeep steps the planner of the waves while some wave is running. It runs on the group's
// actor under the leader lease.
func (mem *member) tickUpkeep(now model.Instant) {
	if !mem.upkeep.planner.Active() || now.Sub(mem.upkeep.tickedAt) < waves.TickInterval || mem.vm.machines.Load() == nil {
		return
	}
	mem.upkeep.tickedAt = now
	mem.stepUpkeep(now, waves.Tick{WallMs: time.Now().UnixMilli(), Fleet: fleet{planner: mem.planner}})
}

// stepUpkeep passes an input to the planner of the waves and carries out the effects in order.
// It runs on the group's actor.
func (mem *member) stepUpkeep(now model.Instant, in waves.Input) {
	for _, eff := range mem.upkeep.planner.Step(now, in) {
		switch val := eff.(type) {
		case waves.Read, waves.Order:
			mem.upkeep.calls.put(upkeepTask{ctx: mem.termCtx, eff: val})
		case waves.Propose:
			mem.upkeep.proposals.put(upkeepTask{ctx: mem.termCtx, eff: val})
		case waves.Drain:
			if mem.vm.machines.Load() == nil {
				// Nobody would end the drain.
				continue
			}
			late := map[model.WorkerID]bool{}
			for _, dr := range val.Workers {
				late[dr.Worker] = dr.Late
			}
			mem.step(now, flow.Drain{Late: late})
		case waves.RecordEvent:
			mem.recordWaveEvent(val.Kind, val.Wave, val.Machine)
		}
	}
}

// recordWaveEvent counts an event about a wave and adds it to the timeline.
func (mem *member) recordWaveEvent(kind string, num waves.Number, id waves.MachineID, fis ...event.Field) {
	waveEvents.Add(kind)
	all := []event.Field{event.NewField("wave", strconv.FormatInt(int64(num), 10))}
	if id != "" {
		all = append(all, event.NewField("machine", string(id)))
	}
	mem.vm.RecordEvent(event.New(event.Kind(kind), event.Subject{}, append(all, fis...)...))
}

// fleet tells the planner of the waves what runs on the workers.
type fleet struct{ planner *flow.Planner }

// Load implements waves.Fleet.
func (fl fleet) Load(id model.WorkerID) waves.Load { return waves.Load(fl.planner.DrainLoad(id)) }

// callPlatform makes a call and passes its end to the planner of the waves.
func (mem *member) callPlatform(task upkeepTask) {
	ctx, cancel := context.WithTimeout(task.ctx, platformTimeout)
	defer cancel()
	start := mem.vm.clock()
	in := mem.call(ctx, *mem.vm.machines.Load(), task.eff)
	platformTime.Add(mem.vm.clock().Sub(start))
	mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) { mem.stepUpkeep(now, in) })
}

// call makes a call to the platform and returns its end.
func (mem *member) call(ctx context.Context, mac Machines, eff waves.Effect) waves.Input {
	if val, ok := eff.(waves.Order); ok {
		out, err := mac.Maintain(ctx, val, mem.vm.settings.Name())
		platformCalls.Add(orderOutcomes[out])
		if err != nil {
			mem.vm.log.Warn("order for maintenance not confirmed; it is sent again", "wave", int64(val.Wave), "machine", string(val.Machine), "term", val.Term,
				"outcome", orderOutcomes[out], "error", err)
		}
		return waves.Answered{Term: val.Term, Wave: val.Wave, Machine: val.Machine, Outcome: out}
	}
	val, _ := eff.(waves.Read)
	macs, next, err := mac.List(ctx, val.Token)
	if err != nil {
		platformCalls.Add("listFailed")
		mem.vm.log.Warn("list of machines not read; it is read again", "term", val.Term, "error", err)
		return waves.Page{Term: val.Term, Failed: true}
	}
	platformCalls.Add("listRead")
	return waves.Page{Term: val.Term, Machines: macs, Next: next}
}

// proposeMarks proposes operations and reports the end of the proposal to the planner of the
// waves, which decides on from the state.
func (mem *member) proposeMarks(task upkeepTask) {
	val, _ := task.eff.(waves.Propose)
	ctx, cancel := context.WithTimeout(task.ctx, proposeTimeout)
	defer cancel()
	if _, err := mem.ref.Propose(ctx, cell.Maintain(val.Ops...)); err != nil {
		mem.vm.log.Warn("proposal for a maintenance wave failed or its outcome is unknown", "operations", len(val.Ops), "term", val.Term, "error", err)
	}
	in := waves.ProposalEnded{Term: val.Term}
	mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) { mem.stepUpkeep(now, in) })
}

// wavesApplied records what an applied command has changed about waves. It runs on the group's
// actor.
func (mem *member) wavesApplied(cmd cell.Command, res cell.Result) {
	for i, op := range cmd.Waves() {
		if res.Waves()[i] != waves.Applied {
			continue
		}
		if spec, ok := op.Spec(); ok {
			mem.recordWaveEvent("waveAccepted", spec.Number, "", event.NewField("machines", strconv.Itoa(len(spec.Machines))),
				event.NewField("limit", strconv.Itoa(spec.Limit)), event.NewField("durationMs", milliseconds(spec.Duration)))
		}
		if mac, ok := op.Machine(); ok {
			mem.recordWaveEvent("machineMarked", op.Number(), mac.ID, event.NewField("phase", mac.Phase.String()), event.NewField("worker", string(mac.Worker)))
			if done, _ := mem.state.Waves().Completed(op.Number()); done {
				mem.recordWaveEvent("waveCompleted", op.Number(), "")
			}
		}
	}
}

// StartWave accepts a maintenance wave, the end of which is its duration from now, and waits
// until that is applied.
func (lea Leader) StartWave(ctx context.Context, spec waves.Spec) (waves.Verdict, error) {
	spec.EndMs = time.Now().Add(spec.Duration).UnixMilli()
	res, err := lea.Propose(ctx, cell.Maintain(waves.Accept(spec)))
	if err != nil {
		return waves.Stale, err
	}
	return res.Waves()[0], nil
}

// WaveCompleted reports whether a wave is completed. known is false if no such wave was
// accepted.
func (lea Leader) WaveCompleted(ctx context.Context, num waves.Number) (completed, known bool, err error) {
	mem, err := lea.member()
	if err != nil {
		return false, false, err
	}
	type status struct{ completed, known bool }
	sta, err := group.ReadInTurn(ctx, mem.ref, func(_ model.Instant, _ quorum.Role, sta *cell.State) status {
		done, ok := sta.Waves().Completed(num)
		return status{completed: done, known: ok}
	})
	return sta.completed, sta.known, errors.Trace(err)
}
