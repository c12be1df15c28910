package cell

import (
	"context"
	"slices"

	"guavarail/core/cell"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/wire"
)

// answerHello answers a VM that is discovering the leader. By its hello message, a
// VM with a disk also announces itself to the leader as a possible member, and to the
// VMs that ask this one, which may know no member.
func (mem *member) answerHello(_ context.Context, _ model.VMID, hel *wire.CellHello) (*wire.CellWelcome, error) {
	sta := mem.status.Load()
	if hel.GetDisk() != "" {
		mem.vm.announce(model.VMID(hel.GetVm()))
	}
	if sta.leading && hel.GetDisk() != "" {
		pre := cell.Presence{VM: model.VMID(hel.GetVm()), Centre: model.CentreID(hel.GetCentre()), Disk: quorum.DiskID(hel.GetDisk())}
		mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) {
			pre.Heard = now
			mem.repair.Announce(pre)
		})
	}
	known := mem.vm.knownMembers()
	if !sta.leading {
		known = append(known, mem.vm.discovered.Load().toPassOn()...)
	}
	wel := &wire.CellWelcome{Leader: string(sta.leader), Term: sta.term, Leased: sta.leased, Limits: wire.CellLimitsToProto(mem.vm.Limits())}
	if sta.leased {
		wel.Clock = uint64(mem.vm.clock())
	}
	slices.Sort(known)
	for _, id := range slices.Compact(known) {
		wel.Members = append(wel.Members, string(id))
	}
	return wel, nil
}

// receiveAnnouncements takes up the announcements that have arrived.
func (fin *leaderFinder) receiveAnnouncements(now model.Instant) {
	for {
		select {
		case id := <-fin.vm.announcements:
			fin.announced.Announce(now, id)
		default:
			return
		}
	}
}

// announce passes the announcement of a VM with a disk to the finder. It does not block;
// a VM whose announcement is dropped sends the next one within leaderCheckInterval.
func (vm *VM) announce(id model.VMID) {
	select {
	case vm.announcements <- id:
	default:
	}
}

// knownMembers returns the members of the replication group that the replica of this VM
// knows.
func (vm *VM) knownMembers() []model.VMID {
	mem := vm.member.Load()
	if mem == nil {
		return nil
	}
	var out []model.VMID
	for _, mbr := range mem.members.Load().List() {
		if mbr.VM() != unknownVoter {
			out = append(out, mbr.VM())
		}
	}
	return out
}
