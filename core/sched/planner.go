package sched

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/guard"
	"guavarail/core/health"
	"guavarail/core/model"
	"guavarail/core/place"
)

const (
	// TaskLease is how long a worker may continue an attempt after it sent the
	// report whose answer renewed the lease.
	TaskLease = 10 * time.Second
	// StartWindow is how long after the issue of a start order the worker may
	// still start the attempt, see Order.IssuedAfter.
	StartWindow = 500 * time.Millisecond
	// pollTimeout is how long a poll without orders stays open; workers report
	// every second.
	pollTimeout = 900 * time.Millisecond
	// reportTimeout is the age of the last report up to which a worker gets
	// new tasks: two reports may be missed.
	reportTimeout = 3 * time.Second
	// orderRetryInterval is the time after which an order without visible
	// effect is sent again.
	orderRetryInterval = time.Second
	// checkpointInterval is the time after the last order to a running batch
	// attempt at which a checkpoint is ordered. It limits the work that is lost
	// with a worker.
	checkpointInterval = 5 * time.Minute
	// stopRenewalTime bounds how long the lease of a stopping attempt is
	// renewed, counted from the stop request. If the worker ignores the order,
	// the lease then expires.
	stopRenewalTime = 30 * time.Second
)

// proposal is the command in flight; there is at most one.
type proposal struct {
	serial uint64
	active bool
	// placements are the tasks that it starts.
	placements []placement
}

// Planner makes the scheduling decisions of the leader of one data centre. P
// is the policy that chooses workers.
type Planner[P place.Policy] struct {
	st     *State
	policy P
	// leading is set from BecameLeader to SteppedDown; holdsLeaderLease reports
	// whether the leader lease is still valid.
	leading bool
	// lastTick is the content of the last Tick.
	lastTick TickSpec
	// leadingSince is the time at which this VM became the leader.
	leadingSince model.Instant
	// outSince is the time since which the data centre is out of service, but
	// not before leadingSince; valid while lastTick.Out is set.
	outSince model.Instant
	index    place.Index
	// statuses has one entry for each worker, by its index in the State.
	statuses []workerStatus
	// unregistered holds the polls of workers whose registration is queued or
	// proposed.
	unregistered []poll
	queue        queue
	accounts     teamAccounts
	// quotas are those of the active preset for the whole fleet; QuotaPercent
	// gives the part of this data centre.
	quotas map[model.TeamID]model.Quota
	// silences has a note for each mark in the State that this VM has seen, by
	// the index of the worker. It is kept while the VM is not the leader.
	silences map[int32]silenceNote
	failures health.Tracker
	kinds    kindTable
	guard    guard.Guard
	// reservations lists the reservations in the order in which they were made.
	// claims counts those without evictions.
	reservations []*reservation
	claims       int
	// withheldBatch sums the CPU, in milliCPU, that the reservations for batch
	// tasks withhold, by rank.
	withheldBatch [2]int64
	// claimCursor is the index of the worker that the last search for a worker to
	// claim examined last.
	claimCursor int32
	// endings is a buffer of roomWait.
	endings []ending
	// batchAttempts counts the live batch attempts.
	batchAttempts int
	// charges are the commitments that were added to accounts for the plan
	// being made.
	charges []tentativeCharge
	// overCommitment lists attempts whose reported usage exceeds their
	// commitment, for the next plan.
	overCommitment []attemptRef
	// guardEvictions are the evictions by actions of the guard, for the next
	// plan.
	guardEvictions []Op
	// failOps fail jobs that keep failing, for the next plan.
	failOps []Op
	// registeredWorkers counts the registered workers, workerSizes are their
	// distinct sizes.
	registeredWorkers int
	workerSizes       []model.Resources
	// reportOps are operations derived from worker reports and from expired
	// leases; they come first in the next proposal.
	reportOps []Op
	inFlight  proposal
	// serial is the serial number of the last proposal, tag the highest tag of
	// an answer, see Answer.Tag.
	serial uint64
	tag    uint64
	// effects are the effects of the input being handled.
	effects []Effect
}

// NewPlanner returns a planner that reads st. The caller applies the group's
// commands to st and keeps ownership of it.
func NewPlanner[P place.Policy](st *State, policy P) *Planner[P] {
	return &Planner[P]{st: st, policy: policy}
}

// Step handles one input and returns the effects in order.
func (pl *Planner[P]) Step(now model.Instant, in Input) []Effect {
	pl.effects = nil
	switch msg := in.(type) {
	case Tick:
		pl.handleTick(now, msg.spec)
	case WorkerReport:
		pl.handleReport(now, msg.spec)
	case Applied:
		pl.handleApplied(now, msg.cmd, msg.res)
	case TailLatency:
		pl.handleTailLatency(now, msg.spec)
	case ProposalDropped:
		pl.proposalDropped()
	case BecameLeader:
		pl.becomeLeader(now)
	case SteppedDown:
		pl.stepDown()
	}
	out := pl.effects
	pl.effects = nil
	return out
}

// holdsLeaderLease reports whether the leader lease is valid, so that task
// leases, orders and proposals may be sent.
func (pl *Planner[P]) holdsLeaderLease(now model.Instant) bool {
	return pl.leading && now.Before(pl.lastTick.LeaseUntil)
}

// mayStart reports whether tasks may be started and start orders sent.
func (pl *Planner[P]) mayStart(now model.Instant) bool {
	return pl.holdsLeaderLease(now) && now.Before(pl.lastTick.StartUntil) && !pl.lastTick.Out
}

func (pl *Planner[P]) handleTick(now model.Instant, spec TickSpec) {
	if spec.Out && !pl.lastTick.Out {
		pl.outSince = now
	}
	pl.lastTick = spec
	pl.noteSilence(now)
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
		// The proposal may still be applied, so nothing else is planned until
		// it was applied or dropped.
		return
	}
	pl.quotas = quotasOf(spec.Preset)
	ops, placements := pl.plan(now)
	ops = append(append(pl.reportOps, pl.planSilence(now)...), ops...)
	pl.reportOps = nil
	pl.propose(ops, placements)
}

// plan returns the operations to propose, except those derived from reports,
// and the tasks that they start.
func (pl *Planner[P]) plan(now model.Instant) ([]Op, []placement) {
	defer pl.revertCharges()
	ops := append(pl.planCleanup(now), pl.guardEvictions...)
	pl.guardEvictions = nil
	ops = append(ops, pl.planGrowth(now)...)
	ops = append(ops, pl.planDrain(now)...)
	if !pl.mayStart(now) {
		return ops, nil
	}
	pl.updateReservations(now)
	starts, placements := pl.planStarts(now)
	ops = append(ops, starts...)
	return append(ops, pl.planEvictions(now)...), placements
}

// propose proposes the operations, if any, as the command in flight.
func (pl *Planner[P]) propose(ops []Op, placements []placement) {
	if len(ops) == 0 {
		return
	}
	pl.serial++
	pl.inFlight = proposal{serial: pl.serial, active: true, placements: placements}
	pl.effects = append(pl.effects, Propose{cmd: NewCommand(ops...).WithSerial(pl.serial)})
}

// proposalDropped discards the proposal in flight. Later plans and reports
// produce the operations again that are still needed.
func (pl *Planner[P]) proposalDropped() {
	placements := pl.inFlight.placements
	pl.inFlight = proposal{}
	pl.requeue(placements)
	for idx := range pl.statuses {
		wst := &pl.statuses[idx]
		for i := range wst.attempts {
			wst.attempts[i].recordPending = false
		}
		wst.nextExpiry = 0
		pl.updateIndex(int32(idx))
	}
}

// updateIndex sets the worker's free resources in the index from the state, or
// removes the worker while it may not get tasks.
func (pl *Planner[P]) updateIndex(idx int32) {
	wst, wk := &pl.statuses[idx], pl.st.workers[idx]
	sta := pl.failures.Standing(wk.id)
	if !wk.registered || !wst.reporting || wst.shrunk || pl.st.isSilent(idx) ||
		sta == health.Quarantined || sta == health.OnProbation && len(wst.attempts) > 0 {
		pl.index.Remove(idx)
		return
	}
	pl.index.Set(idx, wk.rack, wk.free())
	if res := wst.reservation; res != nil {
		pl.countWithheld(res, -1)
		pl.withhold(res)
	}
}

func (pl *Planner[P]) emit(kind event.Kind, sub event.Subject, fis ...event.Field) {
	pl.effects = append(pl.effects, RecordEvent{ev: event.New(kind, sub, fis...)})
}
