package flow

import (
	"time"

	"guavarail/core/model"
	"guavarail/core/share"
)

const (
	// defaultLease is longer than a change of the leader or a short outage
	// takes. The tasks of a worker that sends no heartbeats start on other
	// workers about this long after its last one.
	defaultLease        = 7500 * time.Millisecond
	defaultJobRetention = 2 * time.Minute
	defaultPaceDelay    = 100 * time.Millisecond
	defaultStopTime     = 900 * time.Millisecond
	// The leader counts a lease as longer than the worker does: by leaseMargin,
	// for the time that the answer spends in this process, and by
	// 1/leaseDriftDivisor of its duration, 2.5%, for the drift of the worker's
	// clock, which is up to 2%.
	leaseMargin       = 50 * time.Millisecond
	leaseDriftDivisor = 40
	// maxHeartbeatAge is the age of the last heartbeat up to which a worker
	// may get further tasks.
	maxHeartbeatAge = 2500 * time.Millisecond
	// busyAnswerDelay is how long the answer to a worker with tasks is delayed
	// so that it can carry new orders: the time of one commit. The worker
	// cannot report the end of a run until its heartbeat is answered.
	busyAnswerDelay = 30 * time.Millisecond
	// endCommitTimeout bounds how long an answer waits until the ends that the
	// heartbeat reports are applied. An answer without their acknowledgement costs
	// another heartbeat with the same ends.
	endCommitTimeout = 500 * time.Millisecond
	// refillTimeout bounds how long an answer waits, from the arrival of the heartbeat,
	// for starts on what the reported ends have freed.
	refillTimeout = 500 * time.Millisecond
	// idleAnswerDelay is how long the answer to a worker without tasks is
	// delayed so that it can carry new orders. The worker drops an answer that
	// arrives more than a second after it sent the heartbeat.
	idleAnswerDelay = 700 * time.Millisecond
	// busyHeartbeatDelay and idleHeartbeatDelay are the delays from an answer
	// to the next heartbeat of a worker with and without tasks. In a large
	// cell, the delay of workers with tasks is heartbeatDelayPerWorker times
	// the number of workers instead, but at most maxHeartbeatDelay, so that the
	// leader handles at most 500 heartbeats per second.
	busyHeartbeatDelay      = 90 * time.Millisecond
	idleHeartbeatDelay      = 20 * time.Millisecond
	heartbeatDelayPerWorker = 2 * time.Millisecond
	maxHeartbeatDelay       = time.Second
	// The time from placing a run until its start order is sent in the answer to a
	// heartbeat is bounded: by the delay of the worker's next heartbeat and
	// pickupMargin for its way, and by minPickupTimeout at least. After that, the
	// leader proposes the end of the run as NotStarted.
	minPickupTimeout = time.Second
	pickupMargin     = 300 * time.Millisecond
	// answerCheckInterval is how often all open heartbeats are checked for answers
	// that have become due with time.
	answerCheckInterval = 10 * time.Millisecond
	// minStartLease is the shortest lease with which an answer carries starts. A worker
	// whose lease ends before its next heartbeat is answered would lose the runs.
	minStartLease = 2 * time.Second
	// maxAnswerAge is the age of a heartbeat up to which its answer carries starts.
	// The worker drops an answer that arrives more than a second after it sent the
	// heartbeat.
	maxAnswerAge = 900 * time.Millisecond
	// workerRetention is the age of the last heartbeat after which the leader
	// drops its record of a worker without tasks.
	workerRetention = 15 * time.Second
	// leaveAnswerTimeout bounds how long the answer to a worker that announces its exit
	// waits for the ends of its runs. The worker gives the call up after a second.
	leaveAnswerTimeout = 800 * time.Millisecond
	// exitRetention is how long a worker that has announced its exit gets no tasks,
	// whatever its late heartbeats say.
	exitRetention = time.Minute
	// estimateInterval is how often the estimates of interference and of worker
	// speeds are computed.
	estimateInterval = 500 * time.Millisecond
	// sweepInterval is how often the leader proposes to end runs whose lease
	// has expired or whose start order could not be sent, and to drop ended
	// jobs.
	sweepInterval = 100 * time.Millisecond
)

// Planner makes the scheduling decisions of the leader of a cell. Use
// NewPlanner; a planner makes no decisions before it is stepped with
// BecameLeader.
type Planner struct {
	st     *State
	config Config
	// leading is set from BecameLeader to SteppedDown.
	leading bool
	term    uint64
	// previousTerm is the last term whose leader may have granted leases before this
	// leader, 0 if it is unknown.
	previousTerm uint64
	// leaseUntil is the end of the leader lease. The planner makes decisions
	// only before it, since another VM may lead afterwards.
	leaseUntil model.Instant
	// heldUntil is the latest end of a leader lease that this VM has held in the term.
	heldUntil model.Instant
	// heardUntil is the time until which all heartbeats that arrived have been
	// handled. It is behind now if inputs wait in the queue of the owner.
	heardUntil model.Instant
	// wallMs is the wall clock at wallReadAt, in milliseconds since 1970.
	wallMs     int64
	wallReadAt model.Instant
	// outage is the set of data centres that are out of service.
	outage map[model.CentreID]bool
	// services is the set of services to which workers may belong, empty if it is not
	// known.
	services map[model.ServiceID]bool
	workers  workerSet
	// drains are the workers that are drained for maintenance.
	drains drains
	// formerWorkers are earlier incarnations of workers that have runs whose
	// end is not applied yet.
	formerWorkers []*worker
	// placed has the worker of each recorded run.
	placed map[runID]*worker
	// openHeartbeats are the workers whose heartbeats may be open, in the order of
	// arrival.
	openHeartbeats []*worker
	// touched is the worker that the current input concerns, if it is a heartbeat or
	// a start. recheckAnswers is set if any open heartbeat may have become due, and
	// answersCheckedAt is when all were last checked.
	touched          *worker
	recheckAnswers   bool
	answersCheckedAt model.Instant
	// exits are the announced exits, so that late heartbeats are not taken for those of
	// new workers. Every VM keeps them, since it may lead next. worker.left is set for
	// these incarnations.
	exits exits
	// openLeaves are the announcements of exits that are not answered yet.
	openLeaves []openLeave
	// openJobs are the jobs that had not ended when they were last pruned, in
	// the order of submission.
	openJobs []*job
	// endedJobs are the jobs that have ended and whose status can still be
	// read.
	endedJobs []*job
	// pendingOps are the operations for the next proposal.
	pendingOps []Op
	// proposing is set from a Propose effect until its ProposalEnded; there is
	// at most one proposal at a time.
	proposing bool
	// plans counts the plans that this leader has made, and planPace spaces them.
	plans    uint64
	planPace planPace
	// dirty is set when something changed that may allow a task to start.
	dirty        bool
	sweptAt      model.Instant
	estimatedAt  model.Instant
	interference interference
	// speedBuffer is scratch space of pauseSlowWorkers.
	speedBuffer []float64
	// useDiffs is scratch space of learnFromPeers.
	useDiffs []imageUse
	// ordinary is what ordinary tasks ask for, and have lately asked for. Every VM observes
	// it, since it may lead next; demandSeenAt is when one that does not lead last did.
	ordinary     map[demandKey]*ordinaryDemand
	demandSeenAt model.Instant
	// rooms is the capacity for long-running tasks in the current plan.
	rooms map[model.ServiceID]*longRunningRoom
	// room finds the workers with room for a task in the current plan. Changes of
	// what is free outside plan are not in it.
	room roomIndex
	// shortlist is the buffer of the chooser in use.
	shortlist minHeap[candidate]
	// bound ends plans that take too long.
	bound planBound
	// sorter is scratch space of readySteps.
	sorter stepSorter
	// turns are the turns of steps that have waited too long, by priority.
	turns map[int]*overdueTurns
	// suitable and unlabelled have the results of suitableWorkers in the current plan.
	suitable   map[suitability][]*worker
	unlabelled map[suitability]bool
	// candidates is scratch space of claimCandidates.
	candidates []claimCandidate
	// sharing is set if any workspace has terms. round then decides what the current plan
	// may start for each workspace.
	sharing bool
	round   *share.Round[model.ServiceID, model.WorkspaceID]
	// roundTerms is State.termsSet of the terms of round.
	roundTerms uint64
	// postponed are the steps of the present priority whose workspaces have their fair
	// share, in the scheduling order.
	postponed []readyStep
	// quotaTurns are the quota turns of the current plan, by workspace.
	quotaTurns map[model.WorkspaceID]quotaTurn
	// heldSteps counts the steps that the current plan has held back, by workspace, and
	// usesRecordedAt is when events about that were last recorded.
	heldSteps      map[model.WorkspaceID]*heldSteps
	usesRecordedAt model.Instant
	// misses are the tasks for which the current plan found no room.
	misses []miss
	// claimMisses are the restarts for which the current plan found nothing to
	// claim.
	claimMisses []claimMiss
	// kept is room that is kept for restarts for which runs were stopped, in the
	// order in which they were.
	kept []keptRoom
	// claimPace spaces the plans that make claims.
	claimPace claimPace
	// claimsLeft is how many more claims the current plan may make for restarts.
	claimsLeft int
	// check is how far the records are compared with the state.
	check recordCheck
	// openLeft is how many of these claims may be open.
	openLeft int
	// explain bounds the work for events about waiting tasks.
	explain explainBudget
	// capacityRecordedAt is when the last event about the use of capacity was
	// recorded.
	capacityRecordedAt model.Instant
	// delays are those of this leader since the last event about them.
	delays delays
	// admission decides which jobs are accepted.
	admission admission
	// effects collects the effects of the current call of Step.
	effects []Effect
}

// NewPlanner returns a planner that reads st. The caller applies committed
// operations to st.
func NewPlanner(st *State, config Config) *Planner {
	return &Planner{st: st, config: config}
}

// Step handles one input and returns the effects to carry out, in order.
func (pl *Planner) Step(now model.Instant, in Input) []Effect {
	pl.planPace.observe(now)
	switch msg := in.(type) {
	case Tick:
		pl.renewLeaderLease(now, msg.LeaseUntil)
		pl.wallMs, pl.wallReadAt = msg.Wall, now
		pl.heardUntil = max(pl.heardUntil, timeOr(msg.Posted, now))
		pl.planPace.waiting = msg.Waiting > 0
		pl.tick(now)
	case BecameLeader:
		pl.becomeLeader(now, msg)
		pl.leaseUntil, pl.heldUntil = msg.LeaseUntil, msg.LeaseUntil
	case SteppedDown:
		pl.stepDown()
	case Applied:
		pl.applied(now, msg)
	case ProposalEnded:
		pl.proposalEnded(now, msg)
	case Leave:
		pl.leave(now, msg)
	case Outage:
		pl.outage, pl.dirty, pl.recheckAnswers = msg.Centres, true, true
	case Services:
		pl.services = msg.Names
	case Drain:
		pl.drain(now, msg)
	case Heartbeat:
		pl.planPace.waiting = msg.Waiting > 0
		pl.handleHeartbeat(now, &msg)
	}
	if pl.hasLeaderLease(now) {
		pl.advance(now)
	}
	out := pl.effects
	pl.effects, pl.touched = nil, nil
	return out
}

// timeOr returns at, or now if at is 0.
func timeOr(at, now model.Instant) model.Instant {
	if at == 0 {
		return now
	}
	return at
}

// silence returns how long no heartbeat of the worker has arrived, as far as all
// heartbeats have been handled.
func (pl *Planner) silence(wk *worker) time.Duration { return pl.heardUntil.Sub(wk.lastHeartbeat) }

// stale reports whether a worker may get no further tasks because it is silent or
// its last heartbeat is too old.
func (pl *Planner) stale(wk *worker) bool { return wk.silent || pl.silence(wk) > maxHeartbeatAge }

// hasLeaderLease reports whether this VM leads and its leader lease has not
// ended.
func (pl *Planner) hasLeaderLease(now model.Instant) bool {
	return pl.leading && now.Before(pl.leaseUntil)
}

// wall estimates the wall clock at now, in milliseconds since 1970.
func (pl *Planner) wall(now model.Instant) int64 {
	return pl.wallMs + now.Sub(pl.wallReadAt).Milliseconds()
}

// advance plans starts, proposes pending operations and sends the answers that
// are due. Pending operations wait for a plan that is due soon, so that starts on what
// they free are in the same proposal.
func (pl *Planner) advance(now model.Instant) {
	if !pl.proposing && (!pl.dirty || pl.planPace.due(now)) {
		if pl.dirty {
			pl.dirty, pl.recheckAnswers = false, true
			pl.plans++
			pl.planPace.planned(now)
			pl.plan(now)
			pl.recordUses(now)
		}
		if len(pl.pendingOps) > 0 {
			pl.proposing, pl.delays.proposedAt = true, now
			pl.mergeGangFailures()
			pl.effects = append(pl.effects, Propose{Ops: pl.pendingOps, Term: pl.term})
			pl.pendingOps = nil
		}
	}
	pl.answerLeaves(now)
	if pl.recheckAnswers || now.Sub(pl.answersCheckedAt) >= answerCheckInterval {
		pl.answerAllDue(now)
		return
	}
	if wk := pl.touched; wk != nil && wk.answerPending && pl.answerDue(now, wk) {
		pl.answer(now, wk)
	}
}

// recordEvent emits a RecordEvent. pairs alternates the keys and values of its
// fields.
func (pl *Planner) recordEvent(kind string, job model.JobID, task, worker string, pairs ...string) {
	fis := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fis = append(fis, Field{Key: pairs[i], Value: pairs[i+1]})
	}
	pl.effects = append(pl.effects, RecordEvent{Kind: kind, Job: job, Task: task, Worker: worker, Fields: fis})
}
