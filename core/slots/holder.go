package slots

import (
	"time"

	"guavarail/core/model"
)

// Holder holds the slot credits of one entry VM.
type Holder struct {
	vm model.VMID
	// boot is the incarnation of the VM's process.
	boot uint64
	// startedAt is the time of the first Step; started means that there was one.
	startedAt model.Instant
	started   bool
	// cleanStart means that no earlier process of this VM can still use a slot.
	cleanStart bool
	// term is the highest lender's term in a grant, 0 before the first grant.
	term uint64
	// reportNumber is the number of the latest report, which was sent at sentAt.
	// Grants that answer other reports are ignored. It is 0 before the first.
	reportNumber uint64
	sentAt       model.Instant
	// answeredNumber is the number of the latest report that was answered,
	// ackedSeq the sequence number of the last grant that was accepted.
	answeredNumber uint64
	ackedSeq       uint64
	// leaseEnd is when the credits expire; zero while there is no lease.
	leaseEnd model.Instant
	// needsFull means that the next report must be full.
	needsFull bool
	// leaving means that the VM is shutting down.
	leaving bool
	// urgent means that a report is due before RenewInterval is over.
	urgent bool
	// sentFull means that the latest report was full.
	sentFull bool
	// lastVersion is the version of the last limit sent to the routing machine.
	lastVersion uint64
	workers     map[model.WorkerID]*workerCredits
	// workerList has the same entries in a deterministic iteration order.
	workerList []*workerCredits
	out        []Effect
}

// workerCredits is the record of the credits of one worker.
type workerCredits struct {
	worker model.WorkerID
	// slots and wanted are from the last Usage.
	slots  int
	wanted int
	// confirmed means that the routing machine has confirmed the current limit.
	confirmed bool
	// granted is a lower bound of the credits that the lender counts for this VM.
	granted int
	// target is the number of credits that the VM should have.
	target int
	// limit is the last limit sent to the routing machine, with its version.
	limit   int
	version uint64
	// held is the number of credits that the VM cannot return yet: an upper bound
	// of the slots in use now and later under the current limit. It exceeds the
	// limit until the routing machine has confirmed a lower one and enough of its
	// requests have ended.
	held int
	// lastClaim is the last claim sent on the worker, in the report with the number
	// lastClaimReport; both are zero before the first.
	lastClaim       Claim
	lastClaimReport uint64
}

// NewHolder returns the holder for the process of a VM. boot is the incarnation
// of the process: it must grow with each start.
func NewHolder(vm model.VMID, boot uint64) *Holder {
	return &Holder{vm: vm, boot: boot, needsFull: true}
}

// Step applies one input. The owner must send a Tick about every urgentInterval,
// so that reports are sent in time.
func (ho *Holder) Step(now model.Instant, in Input) []Effect {
	if !ho.started {
		ho.started, ho.startedAt, ho.needsFull = true, now, true
		ho.workers = map[model.WorkerID]*workerCredits{}
	}
	ho.out = nil
	switch msg := in.(type) {
	case Usage:
		ho.recordUsage(msg)
	case Grant:
		ho.applyGrant(now, msg.spec)
	case Shutdown:
		ho.leaving, ho.urgent = true, true
		for _, wc := range ho.workerList {
			ho.setLimit(wc, 0)
		}
	}
	ho.checkLease(now)
	ho.sendReport(now)
	return ho.out
}

// creditsOf returns the record of a worker and creates it if needed.
func (ho *Holder) creditsOf(wo model.WorkerID) *workerCredits {
	wc := ho.workers[wo]
	if wc == nil {
		wc = &workerCredits{worker: wo}
		ho.workers[wo] = wc
		ho.workerList = append(ho.workerList, wc)
	}
	return wc
}

// recordUsage records the usage of a worker. It makes the next report urgent if
// there are credits to return or the VM wants more.
func (ho *Holder) recordUsage(us Usage) {
	wc := ho.creditsOf(us.worker)
	wc.slots, wc.wanted = us.slots, us.wanted
	if us.version == wc.version {
		// Only a usage with the current version shows that the routing machine
		// enforces the current limit.
		wc.confirmed = true
		wc.held = max(wc.limit, us.inUse)
	}
	if wc.held < wc.granted || (us.wanted > wc.granted && us.wanted != wc.lastClaim.wanted) {
		ho.urgent = true
	}
}

// setLimit sends the limit to the routing machine if it has changed.
func (ho *Holder) setLimit(wc *workerCredits, limit int) {
	if limit == wc.limit {
		return
	}
	wc.limit = limit
	ho.lastVersion++
	wc.version, wc.confirmed = ho.lastVersion, false
	wc.held = max(wc.held, limit)
	ho.out = append(ho.out, Credits{worker: wc.worker, limit: limit, version: wc.version})
}

// applyGrant renews the lease and sets the limits by a grant. A later term or
// Resync makes the next report full. It ignores a grant to another process, of an
// earlier term, for a report other than the latest, out of order, or so late that
// the lease would already be over.
func (ho *Holder) applyGrant(now model.Instant, gr GrantSpec) {
	if gr.VM != ho.vm || gr.Boot != ho.boot || gr.Term < ho.term {
		return
	}
	if gr.Term > ho.term {
		ho.term, ho.ackedSeq = gr.Term, 0
		ho.needsFull, ho.urgent = true, true
	}
	if gr.Resync {
		ho.needsFull, ho.urgent, ho.ackedSeq = true, true, 0
		return
	}
	leaseEnd := ho.sentAt.Add(model.LessDrift(Lease))
	if gr.Number != ho.reportNumber || gr.Sequence <= ho.ackedSeq || !now.Before(leaseEnd) {
		return
	}
	ho.answeredNumber, ho.ackedSeq = gr.Number, gr.Sequence
	if ho.sentFull {
		// Reports stay full until the lender has answered one.
		ho.needsFull, ho.sentFull = false, false
	}
	if leaseEnd != ho.leaseEnd {
		ho.leaseEnd = leaseEnd
		ho.out = append(ho.out, LeaseRenewed{until: leaseEnd})
	}
	for _, sh := range gr.Shares {
		wc := ho.creditsOf(sh.worker)
		wc.granted, wc.target = sh.limit, sh.target
		if !ho.leaving {
			ho.setLimit(wc, min(sh.limit, sh.target))
		}
	}
}

// checkLease sets all limits to 0 at the end of the lease. Slots in use count as
// held until their requests end.
func (ho *Holder) checkLease(now model.Instant) {
	if ho.leaseEnd == 0 || now.Before(ho.leaseEnd) {
		return
	}
	ho.leaseEnd = 0
	ho.needsFull, ho.urgent = true, true
	for _, wc := range ho.workerList {
		ho.setLimit(wc, 0)
	}
}

// sendReport sends a report if RenewInterval is over or, for an urgent one,
// urgentInterval. It also removes records of workers that are no longer used. A
// partial report has the claims with a change, with credits to return, or of an
// earlier report that the lender has not answered.
func (ho *Holder) sendReport(now model.Instant) {
	elapsed := now.Sub(ho.sentAt)
	if ho.reportNumber > 0 && elapsed < urgentInterval || (ho.reportNumber > 0 && !ho.urgent && elapsed < RenewInterval) {
		return
	}
	ho.reportNumber++
	ho.sentAt = now
	ho.urgent = false
	spec := ReportSpec{
		VM: ho.vm, Boot: ho.boot, Term: ho.term, Number: ho.reportNumber, Ack: ho.ackedSeq,
		Uptime: ho.Uptime(now), Full: ho.needsFull, Leaving: ho.leaving,
	}
	kept := ho.workerList[:0]
	for _, wc := range ho.workerList {
		if ho.unused(wc) {
			delete(ho.workers, wc.worker)
			continue
		}
		kept = append(kept, wc)
		cl := NewClaim(wc.worker, wc.slots, wc.held, wc.wanted)
		if ho.leaving {
			cl.wanted = 0
		}
		unanswered := wc.lastClaimReport > ho.answeredNumber
		if ho.needsFull || unanswered || wc.held < wc.granted || cl.wanted != wc.lastClaim.wanted || cl.slots != wc.lastClaim.slots {
			spec.Claims = append(spec.Claims, cl)
			wc.lastClaim, wc.lastClaimReport, wc.granted = cl, ho.reportNumber, wc.held
		}
	}
	clear(ho.workerList[len(kept):])
	ho.workerList = kept
	ho.out = append(ho.out, NewReport(spec))
	ho.sentFull = ho.needsFull
}

// unused reports whether a worker has no backend server, the lender counts no
// credits of it for this VM and has answered the last claim on it, and the routing
// machine has confirmed the limit 0.
func (ho *Holder) unused(wc *workerCredits) bool {
	return wc.slots == 0 && wc.held == 0 && wc.granted == 0 && wc.limit == 0 &&
		wc.lastClaim.slots == 0 && wc.lastClaimReport <= ho.answeredNumber && (wc.confirmed || wc.version == 0)
}

// Held returns the number of credits of a worker that this VM holds, including
// those above the limit whose slots may still be in use.
func (ho *Holder) Held(wo model.WorkerID) int {
	if wc := ho.workers[wo]; wc != nil {
		return wc.held
	}
	return 0
}

// Empty reports whether the VM holds no credits of any worker.
func (ho *Holder) Empty() bool {
	for _, wc := range ho.workerList {
		if wc.held > 0 {
			return false
		}
	}
	return true
}

// Until returns the end of the lease, or 0 if there is none.
func (ho *Holder) Until() model.Instant { return ho.leaseEnd }

// MarkCleanStart records that the last process of this VM ended in a planned
// shutdown, so that the lender need not wait for requests of that process. Call
// it before the first Step.
func (ho *Holder) MarkCleanStart() { ho.cleanStart = true }

// cleanUptime is the uptime that a process reports if the former one ended in a
// planned shutdown. It is longer than any request of an earlier process can take.
const cleanUptime = 24 * time.Hour

// Uptime returns the time since the first Step, or cleanUptime if the former
// process ended in a planned shutdown. The lender takes a long uptime as proof
// that no earlier process of this VM uses a slot.
func (ho *Holder) Uptime(now model.Instant) time.Duration {
	if ho.cleanStart {
		return cleanUptime
	}
	return now.Sub(ho.startedAt)
}
