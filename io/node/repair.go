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
	// repairInterval is the interval of the checks of a group's members.
	repairInterval = time.Second
	// changeTimeout bounds one membership change. A promotion waits until the
	// learner has the whole log.
	changeTimeout = 35 * time.Second
	// diskIDTimeout bounds a request for the disk identity of a VM.
	diskIDTimeout = time.Second
)

// membership is the part of a group's interface that repair uses.
type membership interface {
	Members(ctx context.Context) (quorum.Members, error)
	ChangeMembers(ctx context.Context, chg quorum.Change) error
}

// repairer changes the members of the groups that this VM leads, one at a time,
// until they are those that the fleet state specifies.
type repairer struct {
	nod *Node
}

// startRepair registers the handler for requests of this VM's disk identity and
// starts the goroutine that calls repairGroups.
func startRepair(ctx context.Context, nod *Node) func() {
	rep := &repairer{nod: nod}
	peer.HandleRequest(nod.mux, rep.serveDiskID)
	return host.Every(ctx, repairInterval, rep.repairGroups)
}

// repairGroups makes at most one membership change in the fleet group and in the
// group of this VM's data centre, if this VM leads them.
func (rep *repairer) repairGroups(ctx context.Context) {
	nod := rep.nod
	vie := nod.view.Load()
	if vie == nil {
		return
	}
	if nod.fleet.leads(ctx) {
		rep.changeMembers(ctx, fleetGroup, nod.fleet.ref, vie.fleetGoal)
		rep.promote(ctx, vie)
	}
	if nod.ownCentre.leads(ctx) {
		rep.changeMembers(ctx, groupName(nod.centre), nod.ownCentre.ref, vie.ownCentreGoal)
	}
}

// changeMembers makes the next membership change towards goa, if one is needed.
func (rep *repairer) changeMembers(ctx context.Context, group string, ref membership, goa repair.Goal) {
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
		rep.nod.log.Warn("membership change failed; it will be retried", "group", group, "vm", chg.VM(), "error", err)
	}
}

// promote proposes that a VM with a new disk may vote again, once the VM has
// reported the identity of that disk. It does so for at most one VM per call. The
// membership change that follows waits until the VM has the whole log.
func (rep *repairer) promote(ctx context.Context, vie *view) {
	for _, vmi := range vie.vms {
		spec := vmi.Spec()
		if spec.Role == fleet.Voter || !spec.Disk {
			continue
		}
		disk, err := rep.requestDiskID(ctx, spec.Name)
		if err != nil || disk == "" {
			continue
		}
		num := vie.number + 1
		id := model.CommandID("promote-" + strconv.FormatUint(num, 10) + "-" + string(spec.Name))
		cmd := fleet.NewCommand(id, num, systemOperator, fleet.NewPromote(spec.Name, disk))
		if res, err := rep.nod.fleet.Propose(ctx, cmd); err == nil && res.Err() != nil {
			rep.nod.log.Warn("fleet rejected the promotion of a VM with a new disk; it will be proposed again", "vm", spec.Name, "error", res.Err())
		}
		return
	}
}

// requestDiskID returns the identity of a VM's data directory, or "" if the VM has
// no disk.
func (rep *repairer) requestDiskID(ctx context.Context, vmi model.VMID) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, diskIDTimeout)
	defer cancel()
	ans, err := peer.Call[*wire.IdentityReply](ctx, rep.nod.hub, vmi, &wire.IdentityRequest{})
	return ans.GetDiskId(), errors.Trace(err)
}

// serveDiskID returns the identity of this VM's data directory.
func (rep *repairer) serveDiskID(context.Context, model.VMID, *wire.IdentityRequest) (*wire.IdentityReply, error) {
	return &wire.IdentityReply{DiskId: rep.nod.diskID}, nil
}
