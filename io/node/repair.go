package node

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/repair"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// repairEvery is the time between two looks at the members of a group.
	repairEvery = time.Second
	// changeTimeout bounds one membership change; a promotion waits until the
	// learner has the whole log.
	changeTimeout = 35 * time.Second
	// identityTimeout bounds the question for a disk identity.
	identityTimeout = time.Second
)

// replica is what repair needs of a group, whatever it replicates.
type replica interface {
	Members(ctx context.Context) (quorum.Members, error)
	ChangeMembers(ctx context.Context, chg quorum.Change) error
}

// repairer keeps the members of the groups that this VM leads as the fleet
// state wants them.
type repairer struct {
	nod *Node
}

// startRepair starts the goroutine that looks after the members.
func startRepair(ctx context.Context, nod *Node) func() {
	rep := &repairer{nod: nod}
	peer.HandleRequest(nod.mux, rep.identity)
	return host.Every(ctx, repairEvery, rep.look)
}

// look makes at most one change in each group that this VM leads.
func (rep *repairer) look(ctx context.Context) {
	nod := rep.nod
	vie := nod.view.Load()
	if vie == nil {
		return
	}
	if nod.fleet.leads(ctx) {
		rep.change(ctx, fleetGroup, nod.fleet.ref, vie.fleetGoal)
		rep.promote(ctx, vie)
	}
	if nod.own.leads(ctx) {
		rep.change(ctx, groupName(nod.centre), nod.own.ref, vie.centreGoal)
	}
}

func (rep *repairer) change(ctx context.Context, group string, ref replica, goa repair.Goal) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	mems, err := ref.Members(ctx)
	if err != nil {
		return
	}
	chg, ok := repair.Next(goa, mems)
	if !ok {
		return
	}
	if err := ref.ChangeMembers(ctx, chg); err != nil {
		rep.nod.log.Warn("members not changed", "group", group, "vm", chg.VM(), "error", err)
	}
}

// promote proposes that a VM with a new disk votes again, once it answers with
// the identity of its disk. The group itself waits until it has the whole log.
func (rep *repairer) promote(ctx context.Context, vie *view) {
	for _, vmi := range vie.vms {
		spec := vmi.Spec()
		if spec.Role == fleet.Voter || !spec.Disk {
			continue
		}
		disk, err := rep.ask(ctx, spec.Name)
		if err != nil || disk == "" {
			continue
		}
		num := vie.number + 1
		id := model.CommandID("promote-" + strconv.FormatUint(num, 10) + "-" + string(spec.Name))
		cmd := fleet.NewCommand(id, num, founder, fleet.NewPromote(spec.Name, disk))
		if res, err := rep.nod.fleet.Propose(ctx, cmd); err == nil && res.Err() != nil {
			rep.nod.log.Warn("vm not promoted", "vm", spec.Name, "error", res.Err())
		}
		return
	}
}

func (rep *repairer) ask(ctx context.Context, vmi model.VMID) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	ans, err := peer.Call[*wire.IdentityReply](ctx, rep.nod.hub, vmi, &wire.IdentityRequest{})
	return ans.GetDiskId(), errors.Trace(err)
}

// identity answers with the identity of this VM's data directory.
func (rep *repairer) identity(context.Context, model.VMID, *wire.IdentityRequest) (*wire.IdentityReply, error) {
	return &wire.IdentityReply{DiskId: rep.nod.diskID}, nil
}
