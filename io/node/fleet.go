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
	// fleetGroup is the name of the group that replicates the fleet state, the
	// configuration that operators change.
	fleetGroup = "fleet"
	// refreshInterval is the interval of the checks for a changed fleet state.
	// It is far below the 4 s within which all VMs must act on a new
	// configuration.
	refreshInterval = 100 * time.Millisecond
	// systemOperator is recorded as the operator of commands that the system
	// itself proposes.
	systemOperator = "guavarail"
)

type fleetGroupRef = group.Ref[*fleet.State, fleet.Command, fleet.Result, fleet.Snapshot]

// fleetReplica is this VM's replica of the fleet group.
type fleetReplica struct {
	nod *Node
	ref fleetGroupRef
	// bootstrap is the command for a fleet without any configuration. It adds
	// the VMs of the settings.
	bootstrap fleet.Command
}

// startFleet starts this VM's replica of the fleet group.
func startFleet(nod *Node) (*fleetReplica, func(), error) {
	fle := &fleetReplica{nod: nod, bootstrap: fleet.NewCommand("bootstrap", 1, systemOperator, fleet.NewBootstrap(nod.bootstrapVMs))}
	initial := fleet.New()
	initial.Apply(fle.bootstrap)
	cfg := group.Config[*fleet.State, fleet.Command, fleet.Result, fleet.Snapshot]{
		Group: fleetGroup, Self: nod.self, Replica: fleet.New(),
		Commands: wire.FleetCommands{}, Snapshots: wire.FleetSnapshots{},
		Sender: nod.hub, Clock: nod.clock, Seed: nod.seed, System: nod.sys, OnEvent: nod.rec.Record,
	}
	cfg.OnApply = fle.recordCommand
	cfg.Voters, cfg.Learners = membersOf(initial.FleetVoters(), nod.bootstrapVMs)
	sto, err := nod.openStore(fleetGroup)
	if err != nil {
		return nil, func() {}, err
	}
	cfg.Store = sto
	ref, stop, err := group.New(cfg)
	if err != nil {
		return nil, stop, err
	}
	fle.ref = ref
	nod.deliverByGroup[fleetGroup] = ref.Deliver
	peer.HandleRequest(nod.mux, fle.servePermit)
	return fle, stop, nil
}

// startRefresh starts the goroutine that calls refresh. The components to
// which Node.publish passes the state must have been started.
func (fle *fleetReplica) startRefresh(ctx context.Context) func() {
	return host.Every(ctx, refreshInterval, fle.refresh)
}

// recordCommand adds an event to the timeline for a command that this replica has
// applied.
func (fle *fleetReplica) recordCommand(_ uint64, cmd fleet.Command, res fleet.Result) {
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

// membersOf returns the names of the voters, and of the other VMs in all as
// learners.
func membersOf(voters, all []fleet.VM) (voterIDs, learnerIDs []model.VMID) {
	isVoter := map[model.VMID]bool{}
	for _, vmi := range voters {
		isVoter[vmi.Name()] = true
		voterIDs = append(voterIDs, vmi.Name())
	}
	for _, vmi := range all {
		if !isVoter[vmi.Name()] {
			learnerIDs = append(learnerIDs, vmi.Name())
		}
	}
	return voterIDs, learnerIDs
}

// refresh publishes the fleet state if this replica has applied an entry of the
// current term. Until then, a restarted VM may have an older state than the one
// that it published before the restart. The leader of a fleet without any
// configuration proposes the bootstrap command.
func (fle *fleetReplica) refresh(ctx context.Context) {
	fle.ref.Do(func(_ model.Instant, rol quorum.Role, sta *fleet.State) {
		if sta.Number() > 0 && rol.AppliedCurrentTerm() {
			fle.nod.publish(sta)
		}
		if rol.Leased() && sta.Number() == 0 {
			select {
			case fle.nod.bootstrapNeeded <- struct{}{}:
			default:
			}
		}
	})
	select {
	case <-fle.nod.bootstrapNeeded:
		_, _ = fle.ref.Propose(ctx, fle.bootstrap)
	default:
	}
}

// Propose commits a command on the configuration and returns its result.
func (fle *fleetReplica) Propose(ctx context.Context, cmd fleet.Command) (fleet.Result, error) {
	return fle.ref.Propose(ctx, cmd)
}

// Read runs fn on the latest state under the leader lease and returns the
// result of fn. It fails if this VM does not lead the group.
func (fle *fleetReplica) Read(ctx context.Context, fn func(sta *fleet.State) any) (any, error) {
	return group.Read(ctx, fle.ref, func(_ model.Instant, _ quorum.Role, sta *fleet.State) any { return fn(sta) })
}

// Do runs fn on this replica's state, which may be older than the leader's.
func (fle *fleetReplica) Do(fn func(sta *fleet.State)) {
	fle.ref.Do(func(_ model.Instant, _ quorum.Role, sta *fleet.State) { fn(sta) })
}

// servePermit decides whether a data centre may start tasks. It answers only
// under the leader lease, so that a VM that has lost leadership cannot permit
// starts in a data centre that is out of service.
func (fle *fleetReplica) servePermit(ctx context.Context, _ model.VMID, req *wire.PermitRequest) (*wire.PermitReply, error) {
	return group.Read(ctx, fle.ref, func(_ model.Instant, _ quorum.Role, sta *fleet.State) *wire.PermitReply {
		cen, ok := sta.Centre(model.CentreID(req.GetCentre()))
		return &wire.PermitReply{
			Sequence: req.GetSequence(), Allowed: ok && !cen.Out(), Drain: uint32(sta.ActivePreset().Preset().Drain()),
		}
	})
}

// requestPermit asks the fleet leader for a permit to start tasks in a data
// centre. sequence numbers the requests of the data centre.
func (fle *fleetReplica) requestPermit(ctx context.Context, centre model.CentreID, sequence uint64) (permit.Decision, error) {
	leader, err := fle.leader(ctx)
	if err != nil {
		return permit.Decision{}, err
	}
	req := &wire.PermitRequest{Centre: string(centre), Sequence: sequence}
	rep, err := peer.Call[*wire.PermitReply](ctx, fle.nod.hub, leader, req)
	if err != nil {
		return permit.Decision{}, err
	}
	return permit.NewDecision(rep.GetSequence(), rep.GetAllowed(), model.DrainMode(rep.GetDrain())), nil
}

// leads reports whether this VM leads the group under its lease.
func (fle *fleetReplica) leads(ctx context.Context) bool { return leads(ctx, fle.ref) }

// leader returns the leader of the fleet group as last seen by this replica, or a
// NotLeaderError if no leader is known.
func (fle *fleetReplica) leader(ctx context.Context) (model.VMID, error) {
	roles := make(chan quorum.Role, 1)
	fle.ref.Do(func(_ model.Instant, rol quorum.Role, _ *fleet.State) { roles <- rol })
	select {
	case rol := <-roles:
		if rol.Leader() == "" {
			return "", quorum.NewNotLeaderError("")
		}
		return rol.Leader(), nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// leads reports whether the replica on this VM leads its group under its lease.
// It returns false if ctx ends first.
func leads[M quorum.Replica[C, R, S], C, R, S any](ctx context.Context, ref group.Ref[M, C, R, S]) bool {
	leased := make(chan bool, 1)
	ref.Do(func(_ model.Instant, rol quorum.Role, _ M) { leased <- rol.Leased() })
	select {
	case ok := <-leased:
		return ok
	case <-ctx.Done():
		return false
	}
}
