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
	// slotTick is the precision of leases and of urgent reports.
	slotTick = 20 * time.Millisecond
	// lenderTick is how often the lender is told whether this VM leads.
	lenderTick = 100 * time.Millisecond
	// firstTerm is the term of the first leader of a group. No leader before it
	// can have granted credits.
	firstTerm = 1
	// departTimeout bounds the wait for credits that are still in use.
	departTimeout = 2 * time.Second
)

type (
	holderRef = host.Ref[*slots.Holder, slots.Input, slots.Effect]
	lenderRef = host.Ref[*slots.Lender, slots.Input, slots.Effect]
)

// slotPart shares the slots of workers between the entry VMs of the data
// centre: the holder of this VM, and the lender that acts while this VM leads
// the group of the data centre.
type slotPart struct {
	nod    *Node
	holder holderRef
	lender lenderRef
}

// newSlots returns the part before its actors run; the request path needs it
// first.
func newSlots(nod *Node) *slotPart { return &slotPart{nod: nod} }

// start starts the actors.
func (slo *slotPart) start(ctx context.Context, boot uint64) (func(), error) {
	nod := slo.nod
	lender, stopLender, err := host.Spawn(nod.sys, host.Config[*slots.Lender, slots.Input, slots.Effect]{
		Name: "lender", Machine: &slots.Lender{}, Clock: nod.clock, HandleEffect: slo.lend,
		TickInterval: slotTick, TickInput: func() slots.Input { return slots.Tick{} },
	})
	if err != nil {
		return stopLender, err
	}
	keep := slots.NewHolder(nod.self, boot)
	if nod.cleanStart {
		keep.MarkCleanStart()
	}
	holder, stopHolder, err := host.Spawn(nod.sys, host.Config[*slots.Holder, slots.Input, slots.Effect]{
		Name: "holder", Machine: keep, Clock: nod.clock, HandleEffect: slo.hold,
		TickInterval: slotTick, TickInput: func() slots.Input { return slots.Tick{} },
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
	stopLead := host.Every(ctx, lenderTick, slo.lead)
	return func() {
		stopLead()
		stopHolder()
		stopLender()
	}, nil
}

// use passes the usage of a worker on to the holder.
func (slo *slotPart) use(us route.Usage) {
	slo.holder.Send(slots.NewUsage(us.Worker(), us.Version(), us.Slots(), us.InUse(), us.Wanted()))
}

// hold carries out the effects of the holder.
func (slo *slotPart) hold(eff slots.Effect) {
	switch val := eff.(type) {
	case slots.Credits:
		slo.nod.entry.SetCredits(val.Worker(), val.Limit(), val.Version())
	case slots.LeaseRenewed:
		slo.nod.entry.SetLease(val.Until())
	case slots.Report:
		msg := wire.SlotReportToProto(groupName(slo.nod.centre), val)
		slo.nod.own.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) {
			if rol.Leader() != "" {
				slo.nod.hub.Send(rol.Leader(), msg)
			}
		})
	}
}

// lend carries out the effects of the lender.
func (slo *slotPart) lend(eff slots.Effect) {
	if gra, ok := eff.(slots.Grant); ok {
		slo.nod.hub.Send(gra.Spec().VM, wire.SlotGrantToProto(groupName(slo.nod.centre), gra))
	}
}

// lead tells the lender whether this VM leads the group of the data centre.
func (slo *slotPart) lead(context.Context) {
	vie := slo.nod.view.Load()
	if vie == nil {
		return
	}
	slo.lender.Send(slots.NewMaxRequestTime(vie.preset.MaxRequest()))
	slo.nod.own.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) {
		if !rol.Leased() {
			return
		}
		var mems []model.VMID
		if rol.Term() > firstTerm {
			mems = vie.members(slo.nod.centre)
		}
		slo.lender.Send(slots.NewLeadership(rol.Term(), rol.LeasedUntil(), mems))
	})
}

// depart gives all credits back. It reports whether the lender has them within
// a bound.
func (slo *slotPart) depart(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, departTimeout)
	defer cancel()
	slo.holder.Send(slots.Shutdown{})
	for ctx.Err() == nil {
		empty, err := host.Read(slo.holder, departTimeout, func(_ model.Instant, ho *slots.Holder) bool { return ho.Empty() })
		if err != nil || empty {
			return err == nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(slotTick):
		}
	}
	return false
}
