package slots

import (
	"slices"
	"strings"
	"time"

	"guavarail/core/model"
)

// Leadership makes the lender act as the leader in a term. It acts only before
// until, the end of the leader lease of the group. A new term starts a takeover:
// the lender first collects the credits that earlier leaders granted.
type Leadership struct {
	term    uint64
	until   model.Instant
	members []model.VMID
}

// NewLeadership returns the leadership in term until the given instant. members
// are all VMs that may hold credits of an earlier leader.
func NewLeadership(term uint64, until model.Instant, members []model.VMID) Leadership {
	return Leadership{term: term, until: until, members: slices.Clone(members)}
}

// MaxRequestTime sets the maximum request time.
type MaxRequestTime struct{ maxTime time.Duration }

// NewMaxRequestTime returns the input that sets the maximum request time.
func NewMaxRequestTime(maxTime time.Duration) MaxRequestTime { return MaxRequestTime{maxTime: maxTime} }

func (Leadership) input()     {}
func (MaxRequestTime) input() {}

// Lender leases the slots of workers to the entry VMs while it leads. The zero
// value is not the leader.
type Lender struct {
	term           uint64
	leaderLeaseEnd model.Instant
	// termStart is when this VM began to lead in the term.
	termStart model.Instant
	// maxRequestTime is the maximum request time, zero for the default.
	// formerMaxRequestTime is a longer one that requests in flight may still use
	// until formerMaxRequestEnd.
	maxRequestTime       time.Duration
	formerMaxRequestTime time.Duration
	formerMaxRequestEnd  model.Instant
	// unreportedVMs are the members that have not yet reported the credits that
	// they hold from earlier leaders.
	unreportedVMs map[model.VMID]bool
	sessions      map[model.VMID]*session
	// sessionList lists the sessions by VM, for a deterministic iteration order.
	sessionList []*session
	retiredSessions     []*retiredSession
	pools       map[model.WorkerID]*slotPool
	// dirty lists the pools whose shares may change in this step.
	dirty []*slotPool
	out   []Effect
}

// limitUnsent as the limit of account.lastShare means that the share must be
// sent to the VM in any case. No limit has this value.
const limitUnsent = -1

// session is the state of one VM for one start of its process.
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
	leaving  bool
	accounts map[model.WorkerID]*account
	// unackedAccounts lists the accounts whose share the VM has not acknowledged.
	unackedAccounts []*account
	// grantDue means that a grant must be sent in this step.
	grantDue bool
}

// account holds the credits of one worker that one VM has and wants.
type account struct {
	pool *slotPool
	// granted is an upper bound of the credits that the VM can use. Only reports
	// lower it.
	granted int
	// target is the number of credits that the VM should have.
	target int
	// slots and wanted are from the last claim of the VM.
	slots  int
	wanted int
	// changedSeq is the sequence number of the grant with the last change of the
	// share; unacked means that the VM has not acknowledged it.
	changedSeq uint64
	unacked    bool
	// lastShare is the share that was last sent or queued. A claim sets its limit
	// to the credits that the VM still holds.
	lastShare Share
}

// slotPool is the slots of one worker. The sum of all granted credits and
// unreportedCredits is at most slots, unless the worker lowered its slots or
// reports revealed more credits than were counted.
type slotPool struct {
	worker model.WorkerID
	slots  int
	// unreportedCredits is an upper bound of the credits that earlier leaders
	// granted and that no VM has reported.
	unreportedCredits int
	// announced means that a report of this term had slots of the worker.
	announced bool
	// dirty means that the pool is in Lender.dirty.
	dirty bool
}

// retiredSession counts the credits of an earlier process of a VM until expiry, when all
// of its requests must have ended.
type retiredSession struct {
	expiry  model.Instant
	granted map[*slotPool]int
}

// Step applies one input. Without a valid leader lease it only records the
// leadership and the maximum request time.
func (le *Lender) Step(now model.Instant, in Input) []Effect {
	le.out = nil
	switch msg := in.(type) {
	case Leadership:
		le.setLeadership(now, msg)
	case MaxRequestTime:
		le.setMaxRequestTime(now, msg.maxTime)
	}
	if le.term == 0 || !now.Before(le.leaderLeaseEnd) {
		return nil
	}
	switch msg := in.(type) {
	case Report:
		le.handleReport(now, msg.spec)
	case Tick:
		le.tick(now)
	}
	le.updateShares(now)
	return le.out
}

// setLeadership extends the leader lease. A new term discards the state of the
// former one and makes all members unreported.
func (le *Lender) setLeadership(now model.Instant, msg Leadership) {
	if msg.term < le.term {
		return
	}
	if msg.term > le.term {
		*le = Lender{
			term: msg.term, termStart: now, maxRequestTime: le.maxRequestTime,
			formerMaxRequestTime: le.formerMaxRequestTime, formerMaxRequestEnd: le.formerMaxRequestEnd,
			unreportedVMs: map[model.VMID]bool{}, sessions: map[model.VMID]*session{},
			pools: map[model.WorkerID]*slotPool{},
		}
		for _, vm := range msg.members {
			le.unreportedVMs[vm] = true
		}
	}
	le.leaderLeaseEnd = msg.until
}

// setMaxRequestTime sets the maximum request time. If it is lowered, the former
// value stays in effect until the requests that may use it have ended.
func (le *Lender) setMaxRequestTime(now model.Instant, dur time.Duration) {
	if dur < le.currentMaxRequestTime(now) {
		le.formerMaxRequestTime, le.formerMaxRequestEnd = le.currentMaxRequestTime(now), now.Add(le.currentMaxRequestTime(now))
	}
	le.maxRequestTime = dur
}

// currentMaxRequestTime returns the longest time that a request in flight may
// take.
func (le *Lender) currentMaxRequestTime(now model.Instant) time.Duration {
	cur := le.maxRequestTime
	if cur == 0 {
		cur = model.DefaultMaxRequest
	}
	if now.Before(le.formerMaxRequestEnd) {
		return max(cur, le.formerMaxRequestTime)
	}
	return cur
}

// reclaimDelay is the time after the last report of a VM after which the VM can
// no longer use a slot.
func (le *Lender) reclaimDelay(now model.Instant) time.Duration {
	return model.WithDrift(Lease + le.currentMaxRequestTime(now))
}

// collecting reports whether earlier leaders may have granted credits that no VM
// has reported yet.
func (le *Lender) collecting(now model.Instant) bool {
	return len(le.unreportedVMs) > 0 && now.Sub(le.termStart) < le.reclaimDelay(now)
}

// handleReport applies a report and answers it. It replies with Resync to a
// report of another term, and to a partial report of an unknown session.
func (le *Lender) handleReport(now model.Instant, re ReportSpec) {
	se := le.sessions[re.VM]
	if se != nil && (re.Boot < se.boot || (re.Boot == se.boot && re.Number <= se.lastReport)) {
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
		// A process with a shorter uptime may have replaced one whose credits are
		// still in use.
		le.markReported(se)
	}
	if se.leaving && len(re.Claims) == 0 && se.totalGranted() == 0 {
		le.removeSession(se)
	}
}

// applyClaim updates the account of a VM and the pool of a worker by a claim.
// The first claim on a worker during a takeover counts all its slots as
// unreported credits.
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

// markReported subtracts the credits that a member reported after the takeover
// from the unreported credits.
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

// endCollection clears the unreported credits, because all members have reported
// or the credits of earlier leaders have expired.
func (le *Lender) endCollection() {
	for _, po := range le.sortedPools() {
		if po.unreportedCredits > 0 {
			po.unreportedCredits = 0
			le.markDirty(po)
		}
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

// retireSession ends the session of an earlier process of a VM and keeps its
// credits counted until its requests must have ended.
func (le *Lender) retireSession(now model.Instant, se *session) {
	rs := &retiredSession{expiry: se.reportedAt.Add(le.reclaimDelay(now)), granted: map[*slotPool]int{}}
	for _, ac := range se.sortedAccounts() {
		rs.granted[ac.pool] = ac.granted
	}
	le.retiredSessions = append(le.retiredSessions, rs)
	le.removeSession(se)
}

// tick ends the collection, sessions and orphans whose time is over.
func (le *Lender) tick(now model.Instant) {
	if len(le.unreportedVMs) > 0 && !le.collecting(now) {
		clear(le.unreportedVMs)
		le.endCollection()
	}
	for _, se := range slices.Clone(le.sessionList) {
		if now.Sub(se.reportedAt) >= le.reclaimDelay(now) {
			le.removeSession(se)
		}
	}
	le.retiredSessions = slices.DeleteFunc(le.retiredSessions, func(rs *retiredSession) bool {
		expired := !now.Before(rs.expiry)
		if expired {
			for _, po := range sortedKeys(rs.granted) {
				le.markDirty(po)
			}
		}
		return expired
	})
	for _, po := range le.sortedPools() {
		le.markDirty(po)
	}
}

// markDirty makes updateShares divide the pool at the end of the step.
func (le *Lender) markDirty(po *slotPool) {
	if !po.dirty {
		po.dirty = true
		le.dirty = append(le.dirty, po)
	}
}
