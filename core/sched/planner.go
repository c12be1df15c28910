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
	// pollTimeout is how long a poll waits for orders; workers report every
	// second.
	pollTimeout = 900 * time.Millisecond
	// reportTimeout is the age of the last report up to which a worker gets new
	// tasks: two reports may be missed.
	reportTimeout = 3 * time.Second
	// orderRetryInterval is the time after which an order that shows no effect is
	// sent again.
	orderRetryInterval = time.Second
	// checkpointInterval bounds the work that a lost worker costs a batch task.
	checkpointInterval = 5 * time.Minute
	// stopRenewalTime bounds how long the lease of an attempt that was asked to
	// stop is renewed, so that a worker that ignores the order loses it.
	stopRenewalTime = 30 * time.Second
)

// liveAttempt is what the leader knows about one attempt on a worker.
type liveAttempt struct {
	ref     ref
	attempt model.Attempt
	// size is the commitment that the accounts hold.
	size amount
	// peak is the largest usage that was reported.
	peak     amount
	borrowed bool
	// reportedRunning: the last report of the worker has the attempt as running.
	reportedRunning bool
	// recordPending: a proposal under way records an end or a confirmation.
	recordPending bool
	// mayHaveRun: a worker that restarted since may have run the attempt, so that
	// the start order is not sent again (P3).
	mayHaveRun bool
	// leaseExpired: the lease has passed. It is never renewed again (P2).
	leaseExpired bool
	// leaseFrom is the time that the lease counts from.
	leaseFrom model.Instant
	// orderedAt is the time of the last start or stop order.
	orderedAt stamp
	// since is when the stop was asked or the attempt was recorded.
	since stamp
	// overSince is since when the usage exceeds a commitment that cannot grow, 0
	// while it does not.
	overSince stamp
	// throttleForGrowth: the attempt is to be limited to its commitment, because it
	// grew or, with slow, because it interferes. throttled is what the worker
	// reported.
	throttleForGrowth, throttleForService, throttled bool
}

func (lv *liveAttempt) task() *task { return lv.ref.task() }

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
	// lastReport is the time of the last report; valid only if heard.
	lastReport model.Instant
	reporting  bool
	attempts   []liveAttempt
	// orphanOrders are orders for attempts that the state does not have here.
	orphanOrders     []Order
	orphanOrdersSent model.Instant
	lastTag          uint64
	nextExpiry       model.Instant
	// reservedFor gets what becomes free until held.
	reservedFor   *backlog
	reservedUntil model.Instant
	// services has the services with a recent reading on the worker.
	services []serviceReading
	// shrunk: the worker reported less than is committed.
	shrunk bool
}

// proposal is the proposal under way; there is at most one.
type proposal struct {
	serial uint64
	active bool
	// placements are the tasks that it starts.
	placements []placement
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
	statuses     []workerStatus
	unregistered []poll
	queue        queue
	accounts     teamAccounts
	// quotas are those of the active preset.
	quotas   map[model.TeamID]model.Quota
	failures blame.Tracker
	kinds    kindTable
	guard    guard.Guard
	// batchAttempts counts the live batch attempts.
	batchAttempts int
	// charges are the commitments of the plan in the making.
	charges []tentativeCharge
	// overCommitment are attempts that use more than their commitment.
	overCommitment []attemptRef
	// guardEvictions are evictions that the guard asked for.
	guardEvictions []Op
	// failOps are jobs to end, with the reason.
	failOps []Op
	// workerSizes are the different sizes of the known workers.
	workerSizes []model.Resources
	// reportOps are operations that reports brought; they go first in the next
	// proposal.
	reportOps []Op
	inFlight  proposal
	serial    uint64
	tag       uint64
	effects   []Effect
}

// NewPlanner returns a planner that reads st, which the caller keeps in step
// with the group.
func NewPlanner[P place.Policy](st *State, policy P) *Planner[P] {
	return &Planner[P]{st: st, policy: policy}
}

// Step takes one input and returns the effects in order.
func (pl *Planner[P]) Step(now model.Instant, in Input) []Effect {
	pl.effects = nil
	switch msg := in.(type) {
	case Tick:
		pl.handleTick(now, msg.spec)
	case WorkerReport:
		pl.handleReport(now, msg.spec)
	case Applied:
		pl.handleApplied(now, msg.cmd, msg.res)
	case Tail:
		pl.handleTail(now, msg.spec)
	case Dropped:
		pl.proposalDropped()
	case TookOver:
		pl.takeOver(now)
	case SteppedDown:
		pl.stepDown()
	}
	out := pl.effects
	pl.effects = nil
	return out
}

// holdsLeaderLease reports whether the leader lease holds, so that leases, orders and
// proposals may be given.
func (pl *Planner[P]) holdsLeaderLease(now model.Instant) bool {
	return pl.leading && now.Before(pl.env.LeadUntil)
}

// mayStart reports whether start orders may be given.
func (pl *Planner[P]) mayStart(now model.Instant) bool {
	return pl.holdsLeaderLease(now) && now.Before(pl.env.StartUntil) && !pl.env.Out
}

func (pl *Planner[P]) handleTick(now model.Instant, env TickSpec) {
	if env.Out && !pl.env.Out {
		pl.outSince = now
	}
	pl.env = env
	if !pl.leading {
		return
	}
	pl.answerExpired(now)
	if !pl.holdsLeaderLease(now) {
		return
	}
	pl.expireLeases(now)
	pl.expireServices(now)
	if pl.inFlight.active {
		// A proposal that is late may still be applied, so that nothing else is
		// planned until its fate is known.
		return
	}
	pl.quotas = quotasOf(env.Preset)
	ops, picks := pl.plan(now)
	ops = append(pl.reportOps, ops...)
	pl.reportOps = nil
	pl.propose(ops, picks)
}

// plan returns the operations to propose besides the facts of reports.
func (pl *Planner[P]) plan(now model.Instant) ([]Op, []placement) {
	defer pl.revertCharges()
	ops := append(pl.planCleanup(now), pl.guardEvictions...)
	pl.guardEvictions = nil
	ops = append(ops, pl.planGrowth(now)...)
	ops = append(ops, pl.planDrain(now)...)
	if !pl.mayStart(now) {
		return ops, nil
	}
	pl.expireReservations(now)
	starts, picks := pl.planStarts(now)
	ops = append(ops, starts...)
	return append(ops, pl.planEvictions(now)...), picks
}

func (pl *Planner[P]) propose(ops []Op, picks []placement) {
	if len(ops) == 0 {
		return
	}
	pl.serial++
	pl.inFlight = proposal{serial: pl.serial, active: true, placements: picks}
	pl.effects = append(pl.effects, Propose{cmd: NewCommand(ops...).WithSerial(pl.serial)})
}

// proposalDropped forgets the proposal under way. Reports bring its facts again.
func (pl *Planner[P]) proposalDropped() {
	picks := pl.inFlight.placements
	pl.inFlight = proposal{}
	pl.requeue(picks)
	for slot := range pl.statuses {
		wst := &pl.statuses[slot]
		for i := range wst.attempts {
			wst.attempts[i].recordPending = false
		}
		wst.nextExpiry = 0
		pl.updateIndex(int32(slot))
	}
}

func (pl *Planner[P]) ensureStatus(slot int32) *workerStatus {
	for int(slot) >= len(pl.statuses) {
		pl.statuses = append(pl.statuses, workerStatus{})
	}
	return &pl.statuses[slot]
}

func (pl *Planner[P]) addAttempt(now model.Instant, slot int32, re ref) {
	tk := re.task()
	wst := pl.ensureStatus(slot)
	ordered := stamp(0)
	if tk.state == Running {
		ordered = stampOf(now)
	}
	wst.attempts = append(wst.attempts, liveAttempt{
		ref: re, attempt: tk.attempt, size: tk.size, borrowed: tk.borrowed, leaseFrom: now, since: stampOf(now), orderedAt: ordered,
	})
	wst.nextExpiry = 0
	if re.job.spec.Priority == model.Batch {
		pl.batchAttempts++
	}
	pl.accounts.add(re.job.spec, tk.size.resources(), tk.borrowed)
	pl.queue.addToRack(re.job, pl.index.RackOf(pl.st.workers[slot].rack), 1)
}

// updateIndex lists the worker in the index with what the state has free, or
// takes it out while it may not get tasks.
func (pl *Planner[P]) updateIndex(slot int32) {
	wst, wk := &pl.statuses[slot], pl.st.workers[slot]
	sta := pl.failures.Standing(wk.id)
	if !wk.registered || !wst.reporting || wst.shrunk || wst.reservedFor != nil ||
		sta == blame.Quarantined || sta == blame.OnProbation && len(wst.attempts) > 0 {
		pl.index.Close(slot)
		return
	}
	pl.index.Set(slot, wk.rack, wk.free())
}

func (pl *Planner[P]) emit(kind event.Kind, sub event.Subject, fis ...event.Field) {
	pl.effects = append(pl.effects, Note{ev: event.New(kind, sub, fis...)})
}
