package slots

import (
	"slices"
	"strings"
	"time"

	"guavarail/core/model"
)

// Lead tells the lender whether it leads. It acts only before until, which is
// the end of the leader lease of the group. A new term starts a takeover.
type Lead struct {
	term    uint64
	until   model.Instant
	members []model.VMID
}

// NewLead returns the leadership of term until an instant. members are all VMs
// that may hold credits of an earlier leader.
func NewLead(term uint64, until model.Instant, members []model.VMID) Lead {
	return Lead{term: term, until: until, members: slices.Clone(members)}
}

// Longest sets the maximum request time.
type Longest struct{ dur time.Duration }

// NewLongest returns the input that sets the maximum request time.
func NewLongest(dur time.Duration) Longest { return Longest{dur: dur} }

func (Lead) input()    {}
func (Longest) input() {}

// Lender leases slots on the leader. The zero value leads nothing.
type Lender struct {
	term  uint64
	until model.Instant
	// since is the start of the term on this VM.
	since model.Instant
	// longest is the maximum request time; former is a longer one that requests
	// may still use until formerEnd.
	longest   time.Duration
	former    time.Duration
	formerEnd model.Instant
	// missing are the members that have not reported what they hold.
	missing  map[model.VMID]bool
	sessions map[model.VMID]*session
	// order lists the sessions by name, for a fixed iteration order.
	order   []*session
	orphans []*orphan
	workers map[model.WorkerID]*pool
	// touched are the workers whose shares may change in this step.
	touched []*pool
	out     []Effect
}

// unknownLimit marks a share that the VM must be told in any case.
const unknownLimit = -1

// session is one start of a VM that reports.
type session struct {
	vm      model.VMID
	boot    uint64
	number  uint64
	heard   model.Instant
	seq     uint64
	ack     uint64
	leaving bool
	accs    map[model.WorkerID]*account
	// open are the accounts with shares that were not acknowledged.
	open []*account
	// due is set when a grant must be sent in this step.
	due bool
}

// account is what one VM has of one worker.
type account struct {
	pool *pool
	// granted is at least what the VM can use. It is lowered by reports only.
	granted int
	target  int
	slots   int
	wanted  int
	// changed is the sequence number of the grant that carries the last change,
	// open says that it is not acknowledged.
	changed uint64
	open    bool
	told    Share
}

// pool is one worker. The sum of all granted credits and unknown is at most
// slots, unless the worker lowered its slots or reports brought more to light.
type pool struct {
	worker model.WorkerID
	slots  int
	// unknown bounds the credits of earlier leaders that no VM has reported.
	unknown int
	seen    bool
	marked  bool
}

// orphan holds the credits of an earlier start of a VM until its requests must
// have ended.
type orphan struct {
	until   model.Instant
	granted map[*pool]int
}

// Step takes one input. Without a valid leader lease it does nothing but
// remember the leadership.
func (le *Lender) Step(now model.Instant, in Input) []Effect {
	le.out = nil
	switch msg := in.(type) {
	case Lead:
		le.lead(now, msg)
	case Longest:
		le.setLongest(now, msg.dur)
	}
	if le.term == 0 || !now.Before(le.until) {
		return nil
	}
	switch msg := in.(type) {
	case Report:
		le.report(now, msg.spec)
	case Tick:
		le.tick(now)
	}
	le.settle(now)
	return le.out
}

func (le *Lender) lead(now model.Instant, msg Lead) {
	if msg.term < le.term {
		return
	}
	if msg.term > le.term {
		*le = Lender{
			term: msg.term, since: now, longest: le.longest, former: le.former, formerEnd: le.formerEnd,
			missing: map[model.VMID]bool{}, sessions: map[model.VMID]*session{},
			workers: map[model.WorkerID]*pool{},
		}
		for _, vm := range msg.members {
			le.missing[vm] = true
		}
	}
	le.until = msg.until
}

func (le *Lender) setLongest(now model.Instant, dur time.Duration) {
	if dur < le.maxRequest(now) {
		le.former, le.formerEnd = le.maxRequest(now), now.Add(le.maxRequest(now))
	}
	le.longest = dur
}

// maxRequest returns the longest time that a request in flight may take.
func (le *Lender) maxRequest(now model.Instant) time.Duration {
	cur := le.longest
	if cur == 0 {
		cur = model.DefaultMaxRequest
	}
	if now.Before(le.formerEnd) {
		return max(cur, le.former)
	}
	return cur
}

// reclaim is the time after which a silent VM uses no slot any more.
func (le *Lender) reclaim(now model.Instant) time.Duration {
	return model.WithDrift(Lease + le.maxRequest(now))
}

// collecting reports whether earlier leaders may have granted credits that are
// not reported yet.
func (le *Lender) collecting(now model.Instant) bool {
	return len(le.missing) > 0 && now.Sub(le.since) < le.reclaim(now)
}

func (le *Lender) report(now model.Instant, re ReportSpec) {
	se := le.sessions[re.VM]
	if se != nil && (re.Boot < se.boot || (re.Boot == se.boot && re.Number <= se.number)) {
		return
	}
	if re.Term != le.term || (!re.Full && (se == nil || se.boot != re.Boot)) {
		le.out = append(le.out, NewGrant(GrantSpec{
			VM: re.VM, Boot: re.Boot, Term: le.term, Number: re.Number, Resync: true,
		}))
		return
	}
	if se != nil && se.boot != re.Boot {
		le.orphanSession(now, se)
		se = nil
	}
	if se == nil {
		se = le.join(re)
	}
	se.number, se.heard, se.ack, se.leaving, se.due = re.Number, now, re.Ack, re.Leaving, true
	if re.Full {
		for _, ac := range se.accounts() {
			ac.granted, ac.wanted, ac.slots = 0, 0, 0
			ac.told.limit = unknownLimit
			le.touch(ac.pool)
		}
	}
	for _, cl := range re.Claims {
		le.claim(now, se, cl, re.Full)
	}
	if re.Full && re.Uptime >= le.reclaim(now) {
		// A younger process may have taken the place of one that held credits.
		le.collect(se)
	}
	if se.leaving && len(re.Claims) == 0 && se.granted() == 0 {
		le.leave(se)
	}
}

func (le *Lender) claim(now model.Instant, se *session, cl Claim, full bool) {
	po := le.workers[cl.worker]
	if po == nil {
		po = &pool{worker: cl.worker}
		le.workers[cl.worker] = po
	}
	ac := se.accs[cl.worker]
	if ac == nil {
		ac = &account{pool: po, told: Share{limit: unknownLimit}}
		se.accs[cl.worker] = ac
	}
	ac.granted, ac.wanted, ac.slots = max(cl.held, 0), cl.wanted, cl.slots
	if !full {
		ac.told.limit = ac.granted
	}
	if cl.slots > 0 && !po.seen {
		po.seen = true
		if le.collecting(now) {
			po.unknown = cl.slots
		}
	}
	le.touch(po)
}

// collect counts what a member reported after the takeover as known.
func (le *Lender) collect(se *session) {
	if !le.missing[se.vm] {
		return
	}
	delete(le.missing, se.vm)
	for _, ac := range se.accounts() {
		ac.pool.unknown = max(ac.pool.unknown-ac.granted, 0)
		le.touch(ac.pool)
	}
	if len(le.missing) == 0 {
		le.known()
	}
}

// known ends the collection.
func (le *Lender) known() {
	for _, po := range le.pools() {
		if po.unknown > 0 {
			po.unknown = 0
			le.touch(po)
		}
	}
}

func (le *Lender) join(re ReportSpec) *session {
	// The holder takes only grants after those that it acknowledged.
	se := &session{vm: re.VM, boot: re.Boot, seq: re.Ack, accs: map[model.WorkerID]*account{}}
	le.sessions[re.VM] = se
	le.order = append(le.order, se)
	slices.SortFunc(le.order, func(one, two *session) int { return strings.Compare(string(one.vm), string(two.vm)) })
	for _, po := range le.pools() {
		le.touch(po)
	}
	return se
}

func (le *Lender) leave(se *session) {
	delete(le.sessions, se.vm)
	le.order = slices.DeleteFunc(le.order, func(other *session) bool { return other == se })
	for _, ac := range se.accounts() {
		le.touch(ac.pool)
	}
}

// orphanSession keeps what an earlier start of a VM was granted until its requests must
// have ended.
func (le *Lender) orphanSession(now model.Instant, se *session) {
	gh := &orphan{until: se.heard.Add(le.reclaim(now)), granted: map[*pool]int{}}
	for _, ac := range se.accounts() {
		gh.granted[ac.pool] = ac.granted
	}
	le.orphans = append(le.orphans, gh)
	le.leave(se)
}

func (le *Lender) tick(now model.Instant) {
	if len(le.missing) > 0 && !le.collecting(now) {
		clear(le.missing)
		le.known()
	}
	for _, se := range slices.Clone(le.order) {
		if now.Sub(se.heard) >= le.reclaim(now) {
			le.leave(se)
		}
	}
	le.orphans = slices.DeleteFunc(le.orphans, func(gh *orphan) bool {
		over := !now.Before(gh.until)
		if over {
			for _, po := range sortedPools(gh.granted) {
				le.touch(po)
			}
		}
		return over
	})
	for _, po := range le.pools() {
		le.touch(po)
	}
}

func (le *Lender) touch(po *pool) {
	if !po.marked {
		po.marked = true
		le.touched = append(le.touched, po)
	}
}
