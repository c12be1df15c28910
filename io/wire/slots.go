package wire

import (
	"time"

	"guavarail/core/model"
	"guavarail/core/slots"
)

// SlotReportToProto returns the message for a report of a holder of slot credits to the
// lender of a group. A credit is the right to use one slot of a worker.
func SlotReportToProto(group string, re slots.Report) *SlotReport {
	spec := re.Spec()
	msg := &SlotReport{
		Group: group, Boot: spec.Boot, Term: spec.Term, Number: spec.Number, Ack: spec.Ack,
		UptimeMs: uint64(spec.Uptime.Milliseconds()), Full: spec.Full, Leaving: spec.Leaving,
	}
	for _, cl := range spec.Claims {
		msg.Claims = append(msg.Claims, &SlotClaim{
			Worker: string(cl.Worker()), Slots: uint32(cl.Slots()), Held: uint32(cl.Held()), Wanted: uint32(cl.Wanted()),
		})
	}
	return msg
}

// SlotReportFromProto returns the report that msg encodes; it was sent by the VM from.
func SlotReportFromProto(from model.VMID, msg *SlotReport) slots.Report {
	spec := slots.ReportSpec{
		VM: from, Boot: msg.GetBoot(), Term: msg.GetTerm(), Number: msg.GetNumber(), Ack: msg.GetAck(),
		Uptime: time.Duration(msg.GetUptimeMs()) * time.Millisecond, Full: msg.GetFull(), Leaving: msg.GetLeaving(),
	}
	for _, cl := range msg.GetClaims() {
		spec.Claims = append(spec.Claims, slots.NewClaim(model.WorkerID(cl.GetWorker()),
			int(cl.GetSlots()), int(cl.GetHeld()), int(cl.GetWanted())))
	}
	return slots.NewReport(spec)
}

// SlotGrantToProto returns the message for a grant of credits by the lender of a group.
func SlotGrantToProto(group string, gr slots.Grant) *SlotGrant {
	spec := gr.Spec()
	msg := &SlotGrant{
		Group: group, Boot: spec.Boot, Term: spec.Term, Number: spec.Number, Sequence: spec.Sequence, Resync: spec.Resync,
	}
	for _, sh := range spec.Shares {
		msg.Shares = append(msg.Shares, &SlotShare{
			Worker: string(sh.Worker()), Limit: uint32(sh.Limit()), Target: uint32(sh.Target()),
		})
	}
	return msg
}

// SlotGrantFromProto returns the grant that msg encodes; it was sent to the VM to.
func SlotGrantFromProto(to model.VMID, msg *SlotGrant) slots.Grant {
	spec := slots.GrantSpec{
		VM: to, Boot: msg.GetBoot(), Term: msg.GetTerm(), Number: msg.GetNumber(), Sequence: msg.GetSequence(), Resync: msg.GetResync(),
	}
	for _, sh := range msg.GetShares() {
		spec.Shares = append(spec.Shares, slots.NewShare(model.WorkerID(sh.GetWorker()), int(sh.GetLimit()), int(sh.GetTarget())))
	}
	return slots.NewGrant(spec)
}
