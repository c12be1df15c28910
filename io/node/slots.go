package node

import (
	"context"
	"time"

	"guavarail/core/centre"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/route"
	"guavarail/core/slots"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// slotTickInterval is the precision with which the holder and the lender act
	// on leases and on reports that are due early (slots.Holder).
	slotTickInterval = 20 * time.Millisecond
	// leadershipInterval is the interval at which the lender receives the term
	// and the lease of this VM as leader.
	leadershipInterval = 100 * time.Millisecond
	// firstTerm is the term of the first leader of a group. No earlier leader
	// can have granted credits.
	firstTerm = 1
	// shutdownTimeout bounds the wait at shutdown for credits that are still in
	// use.
	shutdownTimeout = 2 * time.Second
)

type (
	holderRef = host.Ref[*slots.Holder, slots.Input, slots.Effect]
	lenderRef = host.Ref[*slots.Lender, slots.Input, slots.Effect]
)

// slotSharing runs this VM's part in sharing the slots of workers between the
// entry VMs of the data centre. A slot credit is the right to use one slot of a
// worker while a lease is valid. The holder has the credits of this VM. The
// lender grants credits to all entry VMs while this VM leads the group of the
// data centre.
type slotSharing struct {
	nod    *Node
	holder holderRef
	lender lenderRef
}

// newSlotSharing returns a slotSharing without its actors. The request path is
// created before them and needs the reference.
func newSlotSharing(nod *Node) *slotSharing { return &slotSharing{nod: nod} }

// start starts the actors of the holder and the lender. incarnation identifies
// this start of the VM's process.
func (slo *slotSharing) start(ctx context.Context, incarnation uint64) (func(), error) {
	nod := slo.nod
	lender, stopLender, err := host.Spawn(nod.sys, host.Config[*slots.Lender, slots.Input, slots.Effect]{
		Name: "lender", Machine: &slots.Lender{}, Clock: nod.clock, HandleEffect: slo.handleLenderEffect,
		TickInterval: slotTickInterval, TickInput: func() slots.Input { return slots.Tick{} },
	})
	if err != nil {
		return stopLender, err
	}
	machine := slots.NewHolder(nod.self, incarnation)
	if nod.cleanStart {
		machine.MarkCleanStart()
	}
	holder, stopHolder, err := host.Spawn(nod.sys, host.Config[*slots.Holder, slots.Input, slots.Effect]{
		Name: "holder", Machine: machine, Clock: nod.clock, HandleEffect: slo.handleHolderEffect,
		TickInterval: slotTickInterval, TickInput: func() slots.Input { return slots.Tick{} },
	})
	if err != nil {
		stopLender()
		return stopHolder, err
	}
	slo.lender, slo.holder = lender, holder
	peer.Handle(nod.mux, func(from model.VMID, msg *wire.SlotReport) {
		if msg.GetGroup() == groupName(nod.centre) {
			lender.Send(wire.SlotReportFromProto(from, msg))
		}
	})
	peer.Handle(nod.mux, func(_ model.VMID, msg *wire.SlotGrant) {
		if msg.GetGroup() == groupName(nod.centre) {
			holder.Send(wire.SlotGrantFromProto(nod.self, msg))
		}
	})
	stopUpdates := host.Every(ctx, leadershipInterval, slo.updateLender)
	return func() {
		stopUpdates()
		stopHolder()
		stopLender()
	}, nil
}

// reportUsage passes the slot usage of a worker to the holder.
func (slo *slotSharing) reportUsage(us route.Usage) {
	slo.holder.Send(slots.NewUsage(us.Worker(), us.Version(), us.Slots(), us.InUse(), us.Wanted()))
}

// handleHolderEffect executes an effect of the holder.
func (slo *slotSharing) handleHolderEffect(eff slots.Effect) {
	switch val := eff.(type) {
	case slots.Credits:
		slo.nod.entry.SetCredits(val.Worker(), val.Limit(), val.Version())
	case slots.LeaseRenewed:
		slo.nod.entry.SetLease(val.Until())
	case slots.Report:
		msg := wire.SlotReportToProto(groupName(slo.nod.centre), val)
		slo.nod.ownCentre.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) {
			if rol.Leader() != "" {
				slo.nod.hub.Send(rol.Leader(), msg)
			}
		})
	}
}

// handleLenderEffect executes an effect of the lender.
func (slo *slotSharing) handleLenderEffect(eff slots.Effect) {
	if gra, ok := eff.(slots.Grant); ok {
		slo.nod.hub.Send(gra.Spec().VM, wire.SlotGrantToProto(groupName(slo.nod.centre), gra))
	}
}

// updateLender passes the maximum request time to the lender and, if this VM
// holds the leader lease of the data centre group, the term, the end of the lease
// and the VMs that may hold credits of an earlier leader.
func (slo *slotSharing) updateLender(context.Context) {
	vie := slo.nod.view.Load()
	if vie == nil {
		return
	}
	slo.lender.Send(slots.NewMaxRequestTime(vie.preset.MaxRequest()))
	slo.nod.ownCentre.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) {
		if !rol.Leased() {
			return
		}
		var mems []model.VMID
		if rol.Term() > firstTerm {
			mems = vie.centreVMs(slo.nod.centre)
		}
		slo.lender.Send(slots.NewLeadership(rol.Term(), rol.LeasedUntil(), mems))
	})
}

// shutdown makes the holder return all credits to the lender. It reports whether
// all of them were returned within shutdownTimeout and before ctx ends.
func (slo *slotSharing) shutdown(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	slo.holder.Send(slots.Shutdown{})
	for ctx.Err() == nil {
		empty, err := host.Read(slo.holder, shutdownTimeout, func(_ model.Instant, hol *slots.Holder) bool { return hol.Empty() })
		if err != nil || empty {
			return err == nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(slotTickInterval):
		}
	}
	return false
}
