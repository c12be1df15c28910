package sched

import (
	"time"

	"guavarail/core/blame"
	"guavarail/core/event"
	"guavarail/core/guard"
	"guavarail/core/model"
	"guavarail/core/place"
)

const (
	// TaskLease is how long a worker may go on with an attempt after it sent
	// the report that was answered with a renewal.
	TaskLease = 10 * time.Second
	// StartWindow is how long after its issue a start order is valid.
	StartWindow = 500 * time.Millisecond
	// pollHold is how long a poll waits for orders; workers report every
	// second.
	pollHold = 900 * time.Millisecond
	// freshFor is the age of the last report up to which a worker gets new
	// tasks: two reports may be missed.
	freshFor = 3 * time.Second
	// repeatAfter is the time after which an order that shows no effect is
	// sent again.
	repeatAfter = time.Second
	// checkpointEvery bounds the work that a lost worker costs a batch task.
	checkpointEvery = 5 * time.Minute
	// stopRenewal bounds how long the lease of an attempt that was asked to
	// stop is renewed, so that a worker that ignores the order loses it.
	stopRenewal = 30 * time.Second
)

// live is what the leader knows about one attempt on a worker.
type live struct {
	ref     ref
	attempt model.Attempt
	// size is the commitment that the accounts hold.
	size amount
	// peak is the largest usage that was reported.
	peak     amount
	borrowed bool
	// listed: the last report of the worker has the attempt as running.
	listed bool
	// told: a proposal under way records an end or a confirmation.
	told bool
	// spent: a worker that restarted since may have run the attempt, so that
	// the start order is not sent again (P3).
	spent bool
	// lost: the lease has passed. It is never renewed again (P2).
	lost bool
	// seen is the time that the lease counts from.
	seen model.Instant
	// ordered is the time of the last start or stop order.
	ordered stamp
	// since is when the stop was asked or the attempt was recorded.
	since stamp
	// over is since when the usage exceeds a commitment that cannot grow, 0
	// while it does not.
	over stamp
	// throttle: the attempt is to be limited to its commitment, because it
	// grew or, with slow, because it interferes. throttled is what the worker
	// reported.
	throttle, slow, throttled bool
}

func (lv *live) task() *task { return lv.ref.task() }

// poll is a poll of a worker that waits for its answer.
type poll struct {
	id       uint64
	worker   model.WorkerID
	received model.Instant
	open     bool
}

// workerStatus is what the leader knows about one worker.
type workerStatus struct {
	poll poll
	// seen is the time of the last report; valid only if heard.
	seen  model.Instant
	heard bool
	lives []live
	// strays are orders for attempts that the state does not have here.
	strays  []Order
	strayed model.Instant
	lastTag uint64
	expiry  model.Instant
	// heldFor gets what becomes free until held.
	heldFor *backlog
	held    model.Instant
	// serves has the services with a recent reading on the worker.
	serves []served
	// shrunk: the worker reported less than is committed.
	shrunk bool
}

// flight is the proposal under way; there is at most one.
type flight struct {
	serial uint64
	active bool
	// picks are the tasks that it starts.
	picks []pick
}

// Planner decides for the leader of one data centre. P chooses workers.
type Planner[P place.Policy] struct {
	st     *State
	policy P
	// leading is set by TookOver; env says whether the lease still holds.
	leading  bool
	env      TickSpec
	started  model.Instant
	outSince model.Instant
	index    place.Index
	// statuses has one entry for each worker slot.
	statuses  []workerStatus
	newcomers []poll
	queue     queue
	usage     usage
	// quotas are those of the active preset.
	quotas   map[model.TeamID]model.Quota
	failures blame.Tracker
	kinds    kinds
	guard    guard.Guard
	// batch counts the live batch attempts.
	batch int
	// charges are the commitments of the plan in the making.
	charges []charge
	// growing are attempts that use more than their commitment.
	growing []spot
	// relief are evictions that the guard asked for.
	relief []Op
	// ending are jobs to end, with the reason.
	ending []Op
	// sizes are the different sizes of the known workers.
	sizes []model.Resources
	// facts are operations that reports brought; they go first in the next
	// proposal.
	facts  []Op
	flight flight
	serial uint64
	tag    uint64
	out    []Effect
}

// NewPlanner returns a planner that reads st, which the caller keeps in step
// with the group.
func NewPlanner[P place.Policy](st *State, policy P) *Planner[P] {
	return &Planner[P]{st: st, policy: policy}
}

// Step takes one input and returns the effects in order.
func (pl *Planner[P]) Step(now model.Instant, in Input) []Effect {
	pl.out = nil
	switch msg := in.(type) {
	case Tick:
		pl.tick(now, msg.spec)
	case WorkerReport:
		pl.report(now, msg.spec)
	case Applied:
		pl.applied(now, msg.cmd, msg.res)
	case Tail:
		pl.protect(now, msg.spec)
	case Dropped:
		pl.dropped()
	case TookOver:
		pl.takeOver(now)
	case SteppedDown:
		pl.stepDown()
	}
	out := pl.out
	pl.out = nil
	return out
}

// leads reports whether the leader lease holds, so that leases, orders and
// proposals may be given.
func (pl *Planner[P]) leads(now model.Instant) bool {
	return pl.leading && now.Before(pl.env.LeadUntil)
}

// mayStart reports whether start orders may be given.
func (pl *Planner[P]) mayStart(now model.Instant) bool {
	return pl.leads(now) && now.Before(pl.env.StartUntil) && !pl.env.Out
}

func (pl *Planner[P]) tick(now model.Instant, env TickSpec) {
	if env.Out && !pl.env.Out {
		pl.outSince = now
	}
	pl.env = env
	if !pl.leading {
		return
	}
	pl.answerOld(now)
	if !pl.leads(now) {
		return
	}
	pl.expire(now)
	pl.forgetServices(now)
	if pl.flight.active {
		// A proposal that is late may still be applied, so that nothing else is
		// planned until its fate is known.
		return
	}
	pl.quotas = quotasOf(env.Preset)
	ops, picks := pl.plan(now)
	ops = append(pl.facts, ops...)
	pl.facts = nil
	pl.propose(ops, picks)
}

// plan returns the operations to propose besides the facts of reports.
func (pl *Planner[P]) plan(now model.Instant) ([]Op, []pick) {
	defer pl.settle()
	ops := append(pl.repair(now), pl.relief...)
	pl.relief = nil
	ops = append(ops, pl.grow(now)...)
	ops = append(ops, pl.drain(now)...)
	if !pl.mayStart(now) {
		return ops, nil
	}
	pl.releaseHolds(now)
	starts, picks := pl.starts(now)
	ops = append(ops, starts...)
	return append(ops, pl.makeRoom(now)...), picks
}

func (pl *Planner[P]) propose(ops []Op, picks []pick) {
	if len(ops) == 0 {
		return
	}
	pl.serial++
	pl.flight = flight{serial: pl.serial, active: true, picks: picks}
	pl.out = append(pl.out, Propose{cmd: NewCommand(ops...).WithSerial(pl.serial)})
}

// dropped forgets the proposal under way. Reports bring its facts again.
func (pl *Planner[P]) dropped() {
	picks := pl.flight.picks
	pl.flight = flight{}
	pl.requeue(picks)
	for slot := range pl.statuses {
		wst := &pl.statuses[slot]
		for i := range wst.lives {
			wst.lives[i].told = false
		}
		wst.expiry = 0
		pl.refresh(int32(slot))
	}
}

func (pl *Planner[P]) ensure(slot int32) *workerStatus {
	for int(slot) >= len(pl.statuses) {
		pl.statuses = append(pl.statuses, workerStatus{})
	}
	return &pl.statuses[slot]
}

func (pl *Planner[P]) addLive(now model.Instant, slot int32, re ref) {
	tk := re.task()
	wst := pl.ensure(slot)
	ordered := stamp(0)
	if tk.state == Running {
		ordered = stampOf(now)
	}
	wst.lives = append(wst.lives, live{
		ref: re, attempt: tk.attempt, size: tk.size, borrowed: tk.borrowed, seen: now, since: stampOf(now), ordered: ordered,
	})
	wst.expiry = 0
	if re.job.spec.Priority == model.Batch {
		pl.batch++
	}
	pl.usage.add(re.job.spec, tk.size.resources(), tk.borrowed)
	pl.queue.occupy(re.job, pl.index.RackOf(pl.st.workers[slot].rack), 1)
}

// refresh lists the worker in the index with what the state has free, or
// takes it out while it may not get tasks.
func (pl *Planner[P]) refresh(slot int32) {
	wst, wk := &pl.statuses[slot], pl.st.workers[slot]
	sta := pl.failures.Standing(wk.id)
	if !wk.known || !wst.heard || wst.shrunk || wst.heldFor != nil ||
		sta == blame.Quarantined || sta == blame.OnProbation && len(wst.lives) > 0 {
		pl.index.Close(slot)
		return
	}
	pl.index.Set(slot, wk.rack, wk.free())
}

func (pl *Planner[P]) note(kind event.Kind, sub event.Subject, fis ...event.Field) {
	pl.out = append(pl.out, Note{ev: event.New(kind, sub, fis...)})
}
