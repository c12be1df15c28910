package node

import (
	"context"
	"strconv"
	"time"

	"guavarail/core/event"
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/permit"
	"guavarail/core/quorum"
	"guavarail/io/group"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// fleetGroup names the group of the fleet state.
	fleetGroup = "fleet"
	// fleetEvery is how often the VM looks for a changed fleet state. It is
	// far below the 4 s in which a configuration must be in effect.
	fleetEvery = 100 * time.Millisecond
	// founder is the operator of the first command of a fleet.
	founder = "guavarail"
)

type fleetRef = group.Ref[*fleet.State, fleet.Command, fleet.Result, fleet.Snapshot]

// fleetPart is the replica of the fleet group on this VM.
type fleetPart struct {
	nod *Node
	ref fleetRef
	// founding is the first command; it names the VMs of the settings.
	founding fleet.Command
}

// startFleet starts the replica.
func startFleet(nod *Node) (*fleetPart, func(), error) {
	fle := &fleetPart{nod: nod, founding: fleet.NewCommand("bootstrap", 1, founder, fleet.NewBootstrap(nod.seeds))}
	first := fleet.New()
	first.Apply(fle.founding)
	cfg := group.Config[*fleet.State, fleet.Command, fleet.Result, fleet.Snapshot]{
		Group: fleetGroup, Self: nod.self, Replica: fleet.New(),
		Commands: wire.FleetCommands{}, Snapshots: wire.FleetSnapshots{},
		Sender: nod.hub, Clock: nod.clock, Seed: nod.seed, System: nod.sys, OnEvent: nod.rec.Record,
	}
	cfg.OnApply = fle.applied
	cfg.Voters, cfg.Learners = membersOf(first.FleetVoters(), nod.seeds)
	sto, err := nod.store(fleetGroup)
	if err != nil {
		return nil, func() {}, err
	}
	cfg.Store = sto
	ref, stop, err := group.New(cfg)
	if err != nil {
		return nil, stop, err
	}
	fle.ref = ref
	nod.groups[fleetGroup] = ref.Deliver
	peer.HandleRequest(nod.mux, fle.answerPermit)
	return fle, stop, nil
}

// startFollow starts the goroutine that publishes the state. All parts that
// take it must have been started.
func (fle *fleetPart) startFollow(ctx context.Context) func() {
	return host.Every(ctx, fleetEvery, fle.follow)
}

// applied puts an operator command on the timeline once it is applied here.
func (fle *fleetPart) applied(_ uint64, cmd fleet.Command, res fleet.Result) {
	kind := event.Kind("configurationApplied")
	fis := []event.Field{
		event.NewField("number", strconv.FormatUint(cmd.Number(), 10)), event.NewField("kind", cmd.Kind().String()),
		event.NewField("target", cmd.Target()), event.NewField("operator", cmd.Operator()),
		event.NewField("command", string(cmd.ID())),
	}
	if rej := res.Rejection(); rej != nil {
		kind = "commandRejected"
		fis = append(fis, event.NewField("reason", rej.Reason().String()))
	}
	fle.nod.rec.Record(event.New(kind, event.Subject{VM: fle.nod.self, Centre: fle.nod.centre}, fis...))
}

// membersOf splits all VMs into voters and learners.
func membersOf(voters, all []fleet.VM) (vos, lea []model.VMID) {
	votes := map[model.VMID]bool{}
	for _, vmi := range voters {
		votes[vmi.Name()] = true
		vos = append(vos, vmi.Name())
	}
	for _, vmi := range all {
		if !votes[vmi.Name()] {
			lea = append(lea, vmi.Name())
		}
	}
	return vos, lea
}

// follow publishes the state when it has changed, and founds the fleet on the
// first leader.
func (fle *fleetPart) follow(ctx context.Context) {
	fle.ref.Do(func(_ model.Instant, rol quorum.Role, sta *fleet.State) {
		if sta.Number() > 0 && rol.AppliedCurrentTerm() {
			fle.nod.publish(sta)
		}
		if rol.Leased() && sta.Number() == 0 {
			select {
			case fle.nod.found <- struct{}{}:
			default:
			}
		}
	})
	select {
	case <-fle.nod.found:
		_, _ = fle.ref.Propose(ctx, fle.founding)
	default:
	}
}

// Propose has an operator command decided.
func (fle *fleetPart) Propose(ctx context.Context, cmd fleet.Command) (fleet.Result, error) {
	return fle.ref.Propose(ctx, cmd)
}

// Read returns what fn reads from the newest state.
func (fle *fleetPart) Read(ctx context.Context, fn func(sta *fleet.State) any) (any, error) {
	return group.Read(ctx, fle.ref, func(_ model.Instant, _ quorum.Role, sta *fleet.State) any { return fn(sta) })
}

// Do runs fn with the state that this VM holds.
func (fle *fleetPart) Do(fn func(sta *fleet.State)) {
	fle.ref.Do(func(_ model.Instant, _ quorum.Role, sta *fleet.State) { fn(sta) })
}

// answerPermit decides on the start permission of a data centre. It answers
// only under the leader lease, so that a deposed leader cannot permit starts
// in a data centre that was taken out.
func (fle *fleetPart) answerPermit(ctx context.Context, _ model.VMID, que *wire.PermitRequest) (*wire.PermitReply, error) {
	return group.Read(ctx, fle.ref, func(_ model.Instant, _ quorum.Role, sta *fleet.State) *wire.PermitReply {
		cen, ok := sta.Centre(model.CentreID(que.GetCentre()))
		return &wire.PermitReply{
			Sequence: que.GetSequence(), Allowed: ok && !cen.Out(), Drain: uint32(sta.ActivePreset().Preset().Drain()),
		}
	})
}

// askPermit asks the fleet leader for a start permission.
func (fle *fleetPart) askPermit(ctx context.Context, centre model.CentreID, sequence uint64) (permit.Decision, error) {
	lead, err := fle.leader(ctx)
	if err != nil {
		return permit.Decision{}, err
	}
	que := &wire.PermitRequest{Centre: string(centre), Sequence: sequence}
	rep, err := peer.Call[*wire.PermitReply](ctx, fle.nod.hub, lead, que)
	if err != nil {
		return permit.Decision{}, err
	}
	return permit.NewDecision(rep.GetSequence(), rep.GetAllowed(), model.DrainMode(rep.GetDrain())), nil
}

// leads reports whether this VM leads the group under its lease.
func (fle *fleetPart) leads(ctx context.Context) bool { return leads(ctx, fle.ref) }

// leader returns the VM that this VM believes leads the fleet group.
func (fle *fleetPart) leader(ctx context.Context) (model.VMID, error) {
	rol := make(chan quorum.Role, 1)
	fle.ref.Do(func(_ model.Instant, cur quorum.Role, _ *fleet.State) { rol <- cur })
	select {
	case cur := <-rol:
		if cur.Leader() == "" {
			return "", quorum.NewNotLeaderError("")
		}
		return cur.Leader(), nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// leads reports whether the replica on this VM leads its group under its lease.
func leads[M quorum.Replica[C, R, S], C, R, S any](ctx context.Context, ref group.Ref[M, C, R, S]) bool {
	rol := make(chan bool, 1)
	ref.Do(func(_ model.Instant, cur quorum.Role, _ M) { rol <- cur.Leased() })
	select {
	case ok := <-rol:
		return ok
	case <-ctx.Done():
		return false
	}
}
