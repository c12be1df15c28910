package cell

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/repair"
)

// fleetSim is a simulated group of io/node: repair.Plan chooses its members from a fleet
// state, and operators replace VMs that lost their disks. The group itself doesn't
// replicate that state, like the group of a data centre.
type fleetSim struct {
	*cellSim
	sta *fleet.State
	// reserve are VMs that are not in the fleet.
	reserve []*simVM
}

// newFleetSim starts a group with a voter in each of 2*losses+1 data centres, as many
// VMs that do not vote as given, and one in reserve.
func newFleetSim(seed uint64, losses, spares int) *fleetSim {
	size := 2*losses + 1
	fs := &fleetSim{cellSim: newGroupSim(seed, losses, size+spares+1, size, size), sta: fleet.New()}
	fs.reserve = fs.vms[size+spares:]
	var vms []fleet.VM
	for _, vm := range fs.vms[:size+spares] {
		vms = append(vms, fleetVM(vm.id, vm.centre))
	}
	fs.change(fleet.NewBootstrap(vms))
	fs.newPlanner = func(vm *simVM) planner { return &fleetPlanner{fs: fs, vm: vm} }
	fs.onWipe, fs.settleTime, fs.untilRepaired = fs.replaceLater, 30*time.Second, true
	fs.startAll()
	fs.promoteLater()
	return fs
}

func fleetVM(name model.VMID, centre model.CentreID) fleet.VM {
	return fleet.NewVM(fleet.VMSpec{Name: name, Centre: centre, PeerAddress: "p:1", APIAddress: "a:1", Disk: true})
}

// change applies an action to the fleet state.
func (fs *fleetSim) change(act fleet.Action) {
	num := fs.sta.Number() + 1
	if err := fs.sta.Apply(fleet.NewCommand(model.CommandID(fmt.Sprint(num)), num, "test", act)).Err(); err != nil {
		fs.fail("%v", err)
	}
}

// replaceLater lets an operator replace a VM that lost its disk within 3 s, by itself or
// by one in reserve.
func (fs *fleetSim) replaceLater(lost *simVM) {
	fs.after(fs.upTo(3*time.Second), func() {
		vmi, ok := fs.sta.VM(lost.id)
		if !ok {
			return
		}
		next := lost
		if len(fs.reserve) > 0 && fs.rnd.IntN(2) == 0 {
			next, fs.reserve = fs.reserve[0], []*simVM{lost}
		}
		next.centre = vmi.Centre()
		fs.change(fleet.NewReplaceVM(lost.id, fleetVM(next.id, next.centre)))
	})
}

// promoteLater lets the leader of the fleet group, once a second, promote a VM that has
// reported its disk.
func (fs *fleetSim) promoteLater() {
	fs.after(time.Second, func() {
		for _, vm := range fs.vms {
			if vmi, ok := fs.sta.VM(vm.id); ok && vmi.Role() == fleet.Learner && vm.up && !vm.dark {
				fs.change(fleet.NewPromote(vm.id, string(vm.disk.id)))
				break
			}
		}
		fs.promoteLater()
	})
}

// fleetPlanner is the planner of a VM in a fleetSim. It makes a decision each second.
type fleetPlanner struct {
	fs   *fleetSim
	vm   *simVM
	plan repair.Plan
	last model.Instant
}

func (fp *fleetPlanner) Start(model.Instant) {}

func (fp *fleetPlanner) Announce(Presence) {}

func (fp *fleetPlanner) Failed(now model.Instant, chg quorum.Change) { fp.plan.Failed(now, chg) }

func (fp *fleetPlanner) Next(now model.Instant, _ model.VMID, mems quorum.Members) (quorum.Change, bool) {
	if now.Sub(fp.last) < time.Second || !fp.vm.node.Role(now).Leased() {
		return quorum.Change{}, false
	}
	fp.last = now
	var replaced []model.VMID
	for _, id := range fp.vm.node.ReplacedVoters() {
		vmi, ok := fp.fs.sta.VM(id)
		if other := fp.fs.find(id); ok && vmi.Role() == fleet.Voter && vmi.Spec().DiskID == string(other.disk.id) && other.up && !other.dark {
			replaced = append(replaced, id)
		}
	}
	return fp.plan.Next(now, repair.FleetGoal(fp.fs.sta), mems, replaced)
}

// Guards against an acknowledged entry that is lost, and a group of io/node that can't
// elect a leader, after as many disks as the group bears are lost at any moment of a
// membership change while all other VMs lose power.
func TestFleetGroupKeepsAcknowledgedEntries(t *testing.T) {
	for seed := range lossRuns() / 4 {
		fs := newFleetSim(seed, 1+int(seed%3), int(seed/3%3))
		fs.propose(3 * time.Second)
		for range 6 {
			fs.disturb()
		}
		fs.finalLoss()
		fs.report(t, seed)
	}
}
