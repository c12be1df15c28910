package node

import (
	"context"
	"slices"
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
	// learner has the whole log, and no other change can be made meanwhile.
	changeTimeout = 3 * time.Second
	// diskIDTimeout bounds a request for the disk identity of a VM.
	diskIDTimeout = time.Second
)

// membership is the part of a group's interface that repair uses.
type membership interface {
	Members(ctx context.Context) (quorum.Members, error)
	ReplacedVoters(ctx context.Context) ([]model.VMID, error)
	ChangeMembers(ctx context.Context, chg quorum.Change) error
}

// repairer changes the members of the groups that this VM leads, one at a time,
// until they are those that the fleet state specifies.
type repairer struct {
	nod *Node
	// fleetPlan and centrePlan choose the changes of the fleet group and of the group of
	// this VM's data centre. Only the goroutine of repairGroups uses them.
	fleetPlan  repair.Plan
	centrePlan repair.Plan
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
		rep.changeMembers(ctx, fleetGroup, nod.fleet.ref, &rep.fleetPlan, vie.fleetGoal)
		rep.promote(ctx, vie)
	}
	if nod.ownCentre.leads(ctx) {
		rep.changeMembers(ctx, groupName(nod.centre), nod.ownCentre.ref, &rep.centrePlan, vie.ownCentreGoal)
	}
}

// changeMembers makes the next membership change towards goa, if one is needed.
func (rep *repairer) changeMembers(ctx context.Context, group string, ref membership, pln *repair.Plan, goa repair.Goal) {
	mems, err := ref.Members(ctx)
	if err != nil {
		return
	}
	answering, err := ref.ReplacedVoters(ctx)
	if err != nil {
		return
	}
	replaced := rep.approved(ctx, answering)
	chg, ok := pln.Next(rep.nod.clock(), goa, mems, replaced)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if err := ref.ChangeMembers(ctx, chg); err != nil {
		pln.Failed(rep.nod.clock(), chg)
		rep.nod.log.Warn("membership change failed; it will be retried", "group", group, "vm", chg.VM(), "error", err)
	}
}

// approved returns those of vms that run with the disk with which the fleet state lets
// them vote. A disk that was emptied without a command of an operator is not one.
func (rep *repairer) approved(ctx context.Context, vms []model.VMID) []model.VMID {
	var lst []model.VMID
	vie := rep.nod.view.Load()
	for _, vmi := range vie.vms {
		spec := vmi.Spec()
		if spec.Role != fleet.Voter || spec.DiskID == "" || !slices.Contains(vms, spec.Name) {
			continue
		}
		if disk, err := rep.requestDiskID(ctx, spec.Name); err == nil && disk == spec.DiskID {
			lst = append(lst, spec.Name)
		}
	}
	return lst
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
