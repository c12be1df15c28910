package slots

import (
	"slices"
	"strings"

	"guavarail/core/model"
)

// session is the state of one VM for one incarnation of its process, which has
// sent a full report in the lender's term.
type session struct {
	vm   model.VMID
	boot uint64
	// lastReport is the number of the last report, reportedAt when it arrived.
	lastReport uint64
	reportedAt model.Instant
	// lastSeq is the sequence number of the last grant sent, ackedSeq that of the
	// last grant that the VM acknowledged.
	lastSeq  uint64
	ackedSeq uint64
	// leaving means that the VM is shutting down and gets no more credits.
	leaving  bool
	accounts map[model.WorkerID]*account
	// unackedAccounts lists the accounts whose share the VM has not acknowledged.
	unackedAccounts []*account
	// grantDue means that a grant must be sent in this step.
	grantDue bool
}

// retiredSession holds the credits of an ended session, whose process was
// replaced by a new one of the same VM. They count as granted until expiry, when
// all requests of the process must have ended.
type retiredSession struct {
	expiry  model.Instant
	granted map[*slotPool]int
}

// handleReport applies a report and marks a grant as due. It answers a report of
// another term, or a partial report without a session, with Resync. It ignores a
// report of an earlier process, and one that is not newer than the last.
func (le *Lender) handleReport(now model.Instant, re ReportSpec) {
	se := le.sessions[re.VM]
	if se != nil && (se.outdates(now, re) || (re.Boot == se.boot && re.Number <= se.lastReport)) {
		return
	}
	if re.Term != le.term || (!re.Full && (se == nil || se.boot != re.Boot)) {
		le.out = append(le.out, NewGrant(GrantSpec{
			VM: re.VM, Boot: re.Boot, Term: le.term, Number: re.Number, Resync: true,
		}))
		return
	}
	if se != nil && se.boot != re.Boot {
		le.retireSession(now, se)
		se = nil
	}
	if se == nil {
		se = le.addSession(re)
	}
	se.lastReport, se.reportedAt, se.ackedSeq, se.leaving, se.grantDue = re.Number, now, re.Ack, re.Leaving, true
	if re.Full {
		for _, ac := range se.sortedAccounts() {
			ac.granted, ac.wanted, ac.slots = 0, 0, 0
			ac.lastShare.limit = limitUnsent
			le.markDirty(ac.pool)
		}
	}
	for _, cl := range re.Claims {
		le.applyClaim(now, se, cl, re.Full)
	}
	if re.Full && re.Uptime >= le.reclaimDelay(now) {
		// While the uptime is shorter, an earlier process of the VM may still use
		// slots that this one does not report.
		le.markReported(se)
	}
	if se.leaving && len(re.Claims) == 0 && se.totalGranted() == 0 {
		le.removeSession(se)
	}
}

// outdates reports whether a report is of an earlier process of the VM than the session. The
// number of a process comes from the wall clock, which may go back: once the lease of the
// session has ended, a lower number counts as that of a new process.
func (se *session) outdates(now model.Instant, re ReportSpec) bool {
	return re.Boot < se.boot && now.Sub(se.reportedAt) < model.WithDrift(Lease)
}

// applyClaim updates the account of a VM and the pool of a worker by a claim. The
// first claim with slots of a worker counts all its slots as unreported credits
// while the lender is collecting.
func (le *Lender) applyClaim(now model.Instant, se *session, cl Claim, full bool) {
	po := le.pools[cl.worker]
	if po == nil {
		po = &slotPool{worker: cl.worker}
		le.pools[cl.worker] = po
	}
	ac := se.accounts[cl.worker]
	if ac == nil {
		ac = &account{pool: po, lastShare: Share{limit: limitUnsent}}
		se.accounts[cl.worker] = ac
	}
	ac.granted, ac.wanted, ac.slots = max(cl.held, 0), cl.wanted, cl.slots
	if !full {
		ac.lastShare.limit = ac.granted
	}
	if cl.slots > 0 && !po.announced {
		po.announced = true
		if le.collecting(now) {
			po.unreportedCredits = cl.slots
		}
	}
	le.markDirty(po)
}

// markReported records that a member has reported all its credits after the
// takeover, and subtracts them from the unreported credits.
func (le *Lender) markReported(se *session) {
	if !le.unreportedVMs[se.vm] {
		return
	}
	delete(le.unreportedVMs, se.vm)
	for _, ac := range se.sortedAccounts() {
		ac.pool.unreportedCredits = max(ac.pool.unreportedCredits-ac.granted, 0)
		le.markDirty(ac.pool)
	}
	if len(le.unreportedVMs) == 0 {
		le.endCollection()
	}
}

// addSession starts a session for the process that sent re.
func (le *Lender) addSession(re ReportSpec) *session {
	// The holder accepts only grants with a sequence number above the one that it
	// acknowledged.
	se := &session{vm: re.VM, boot: re.Boot, lastSeq: re.Ack, accounts: map[model.WorkerID]*account{}}
	le.sessions[re.VM] = se
	le.sessionList = append(le.sessionList, se)
	slices.SortFunc(le.sessionList, func(one, two *session) int { return strings.Compare(string(one.vm), string(two.vm)) })
	for _, po := range le.sortedPools() {
		le.markDirty(po)
	}
	return se
}

func (le *Lender) removeSession(se *session) {
	delete(le.sessions, se.vm)
	le.sessionList = slices.DeleteFunc(le.sessionList, func(other *session) bool { return other == se })
	for _, ac := range se.sortedAccounts() {
		le.markDirty(ac.pool)
	}
}

// retireSession ends the session of an earlier process of a VM. Its credits count
// as granted until its requests must have ended.
func (le *Lender) retireSession(now model.Instant, se *session) {
	rs := &retiredSession{expiry: se.reportedAt.Add(le.reclaimDelay(now)), granted: map[*slotPool]int{}}
	for _, ac := range se.sortedAccounts() {
		rs.granted[ac.pool] = ac.granted
	}
	le.retiredSessions = append(le.retiredSessions, rs)
	le.removeSession(se)
}
