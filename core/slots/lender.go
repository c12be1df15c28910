package slots

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// Leadership makes the lender act as the leader in a term. The lender acts only
// before until, the end of the leader lease of the group. A new term is a
// takeover: the lender first collects the credits that earlier leaders granted.
type Leadership struct {
	term    uint64
	until   model.Instant
	members []model.VMID
}

// NewLeadership returns the leadership in term until the given instant. members
// are all VMs that may hold credits of an earlier leader; they matter only at
// the start of a term.
func NewLeadership(term uint64, until model.Instant, members []model.VMID) Leadership {
	return Leadership{term: term, until: until, members: slices.Clone(members)}
}

// MaxRequestTime sets the maximum request time: the longest time for which a
// request can hold a slot.
type MaxRequestTime struct{ maxTime time.Duration }

// NewMaxRequestTime returns the input that sets the maximum request time; zero
// means model.DefaultMaxRequest.
func NewMaxRequestTime(maxTime time.Duration) MaxRequestTime { return MaxRequestTime{maxTime: maxTime} }

func (Leadership) input()     {}
func (MaxRequestTime) input() {}

// Lender leases the slots of workers to the entry VMs while its VM leads the data
// centre group. The zero value is not the leader.
type Lender struct {
	// term is the term of the lender's last leadership, 0 before the first.
	term uint64
	// leaderLeaseEnd is when the leadership ends unless it is extended.
	leaderLeaseEnd model.Instant
	// termStart is when this VM began to lead in the term.
	termStart model.Instant
	// maxRequestTime is the maximum request time, zero for the default.
	// formerMaxRequestTime is a longer one that was replaced; requests that arrived
	// under it may hold slots until formerMaxRequestEnd.
	maxRequestTime       time.Duration
	formerMaxRequestTime time.Duration
	formerMaxRequestEnd  model.Instant
	// unreportedVMs are the members that have not yet reported the credits that
	// they hold from earlier leaders. It is empty unless the lender is collecting.
	unreportedVMs map[model.VMID]bool
	sessions      map[model.VMID]*session
	// sessionList lists the sessions by VM, for a deterministic iteration order.
	sessionList     []*session
	retiredSessions []*retiredSession
	pools           map[model.WorkerID]*slotPool
	// dirty lists the pools whose shares may change in this step.
	dirty []*slotPool
	out   []Effect
}

// limitUnsent as the limit of account.lastShare means that the share must be
// sent to the VM in any case. No limit has this value.
const limitUnsent = -1

// account is the record of the credits of one worker that one VM has and wants.
type account struct {
	pool *slotPool
	// granted is an upper bound of the credits that the VM can use. Only reports
	// lower it.
	granted int
	// target is the number of credits that the VM should have.
	target int
	// slots and wanted are from the last claim of the VM on the worker.
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

// slotPool holds the slots of one worker. The sum of all granted credits,
// including those of retired sessions, and unreportedCredits is at most slots,
// unless the worker lowered its slots or reports revealed more credits than were
// counted.
type slotPool struct {
	worker model.WorkerID
	// slots is the smallest number of slots that a VM with a valid lease reported,
	// 0 if there is none.
	slots int
	// unreportedCredits is an upper bound of the credits that earlier leaders
	// granted and that no VM has reported.
	unreportedCredits int
	// announced means that a claim in this term had a number of slots above 0.
	announced bool
	// dirty means that the pool is in Lender.dirty.
	dirty bool
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

// reclaimDelay returns how long after the last report of a VM the VM can still
// use a slot: the lease, in which it may start a request, and the maximum request
// time, both lengthened by the clock drift.
func (le *Lender) reclaimDelay(now model.Instant) time.Duration {
	return model.WithDrift(Lease + le.currentMaxRequestTime(now))
}

// collecting reports whether VMs may hold credits of earlier leaders that they
// have not reported in this term.
func (le *Lender) collecting(now model.Instant) bool {
	return len(le.unreportedVMs) > 0 && now.Sub(le.termStart) < le.reclaimDelay(now)
}

// endCollection sets the unreported credits to 0, because all members have
// reported or the credits of earlier leaders have expired.
func (le *Lender) endCollection() {
	for _, po := range le.sortedPools() {
		if po.unreportedCredits > 0 {
			po.unreportedCredits = 0
			le.markDirty(po)
		}
	}
}

// tick ends the collection and removes sessions and retired sessions if their
// VMs can no longer use a slot. It also makes updateShares divide all pools.
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

// markDirty adds the pool to those that updateShares divides at the end of the
// step.
func (le *Lender) markDirty(po *slotPool) {
	if !po.dirty {
		po.dirty = true
		le.dirty = append(le.dirty, po)
	}
}
