package flow

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

// Config holds the durations that a deployment sets. Zero values select the
// defaults.
type Config struct {
	// LeaseDuration is how long the runs of a worker may go on after the worker
	// sent the last heartbeat that was answered.
	LeaseDuration time.Duration
	// JobRetention is how long the status of an ended job can be read.
	JobRetention time.Duration
	// PaceDelay is the time from a pace order until the worker applies it.
	PaceDelay time.Duration
}

const (
	// defaultLease outlasts a change of the leader and a short outage. The
	// tasks of a silent worker start elsewhere this long after its last
	// heartbeat.
	defaultLease        = 7500 * time.Millisecond
	defaultJobRetention = 2 * time.Minute
	defaultPaceDelay    = 100 * time.Millisecond
	// leaseMargin and a fraction of 1/leaseDriftDivisor lengthen a lease as the
	// leader counts it. They cover the drift of a worker's clock, 2%, and the
	// time that the answer spends in this process.
	leaseMargin       = 50 * time.Millisecond
	leaseDriftDivisor = 40
	// maxHeartbeatAge is the age of the last heartbeat up to which a worker
	// gets tasks.
	maxHeartbeatAge = 2500 * time.Millisecond
	// busyAnswerDelay is how long the answer to a worker with tasks is held
	// back for orders: the time of one commit. The worker cannot report the end
	// of a run until its heartbeat is answered.
	busyAnswerDelay = 30 * time.Millisecond
	// endCommitTimeout bounds how long an answer waits until reported ends are
	// committed.
	endCommitTimeout = 150 * time.Millisecond
	// idleAnswerDelay is how long the answer to a worker without tasks is held
	// back for orders; it must arrive within a second.
	idleAnswerDelay = 700 * time.Millisecond
	// busyHeartbeatDelay and idleHeartbeatDelay are the delays of the next
	// heartbeat of a worker with and without tasks. In a large cell, the delay
	// of busy workers is heartbeatDelayPerWorker times the number of workers
	// instead, so that the leader handles at most 500 heartbeats per second, up
	// to maxHeartbeatDelay.
	busyHeartbeatDelay      = 90 * time.Millisecond
	idleHeartbeatDelay      = 20 * time.Millisecond
	heartbeatDelayPerWorker = 2 * time.Millisecond
	maxHeartbeatDelay       = time.Second
	// startPickupTimeout is how long a recorded start waits for the next
	// heartbeat of its worker before it is withdrawn.
	startPickupTimeout = time.Second
	// workerRetention is the age of the last heartbeat after which the record
	// of a worker without tasks is dropped.
	workerRetention = 15 * time.Second
	// estimateInterval is how often the estimates of interference and of worker
	// speeds are computed.
	estimateInterval = 500 * time.Millisecond
	// sweepInterval is how often expired leases, unsent starts and ended jobs
	// are cleaned up.
	sweepInterval = 100 * time.Millisecond
)

func (cfg Config) leaseDuration() time.Duration {
	if cfg.LeaseDuration <= 0 {
		return defaultLease
	}
	return cfg.LeaseDuration
}

func (cfg Config) jobRetention() time.Duration {
	if cfg.JobRetention <= 0 {
		return defaultJobRetention
	}
	return cfg.JobRetention
}

func (cfg Config) paceDelay() time.Duration {
	if cfg.PaceDelay <= 0 {
		return defaultPaceDelay
	}
	return cfg.PaceDelay
}

// leaseEnd returns when a lease that was renewed at now has certainly ended on
// the worker.
func (cfg Config) leaseEnd(now model.Instant) model.Instant {
	lease := cfg.leaseDuration()
	return now.Add(lease + lease/leaseDriftDivisor + leaseMargin)
}

// Planner makes the scheduling decisions of the leader of a cell. Use
// NewPlanner; a planner makes no decisions before it is stepped with TookOver.
type Planner struct {
	st     *State
	config Config
	// leading is set from TookOver to SteppedDown.
	leading   bool
	term      uint64
	leadUntil model.Instant
	// wallMs is the wall clock at wallReadAt, in milliseconds since 1970.
	wallMs     int64
	wallReadAt model.Instant
	outage     map[model.CentreID]bool
	workers    workerSet
	// formerWorkers are earlier incarnations of workers whose runs may not have
	// ended.
	formerWorkers []*worker
	// openJobs are the jobs that have not ended, in the order of submission.
	openJobs []*job
	// endedJobs are the jobs that have ended and are kept for reads.
	endedJobs []*job
	// pendingOps are the operations for the next proposal.
	pendingOps []Op
	// proposing is set while a proposal is in progress; there is at most one.
	proposing bool
	// dirty is set when something changed that may allow a task to start.
	dirty        bool
	sweptAt      model.Instant
	estimatedAt  model.Instant
	interference interference
	// speedBuffer is scratch space of pauseSlowWorkers.
	speedBuffer []float64
	// useDiffs is scratch space of learnFromPeers.
	useDiffs []imageUse
	effects  []Effect
}

// NewPlanner returns a planner that reads st. The caller applies committed
// operations to st.
func NewPlanner(st *State, config Config) *Planner {
	return &Planner{st: st, config: config}
}

// Step handles one input and returns the effects to carry out, in order.
func (pl *Planner) Step(now model.Instant, in Input) []Effect {
	switch msg := in.(type) {
	case Tick:
		pl.leadUntil, pl.wallMs, pl.wallReadAt = msg.LeadUntil, msg.Wall, now
		pl.tick(now)
	case BecameLeader:
		pl.leadUntil, pl.wallMs, pl.wallReadAt = msg.LeadUntil, msg.Wall, now
		pl.takeOver(now, msg.Term)
	case SteppedDown:
		pl.stepDown()
	case Applied:
		pl.applied(now, msg)
	case ProposalEnded:
		pl.settled(msg)
	case Leave:
		pl.leave(msg.Worker)
	case Outage:
		pl.outage, pl.dirty = msg.Centres, true
	case Heartbeat:
		pl.handleHeartbeat(now, &msg)
	}
	if pl.leads(now) {
		pl.advance(now)
	}
	out := pl.effects
	pl.effects = nil
	return out
}

func (pl *Planner) leads(now model.Instant) bool { return pl.leading && now.Before(pl.leadUntil) }

// wall estimates the wall clock at now, in milliseconds since 1970.
func (pl *Planner) wall(now model.Instant) int64 {
	return pl.wallMs + now.Sub(pl.wallReadAt).Milliseconds()
}

// takeOver rebuilds the leader's records from the replicated state. Every lease
// counts as renewed now, because the previous leader may have renewed it until
// its own leader lease ended.
func (pl *Planner) takeOver(now model.Instant, term uint64) {
	pl.stepDown()
	pl.leading, pl.term, pl.dirty = true, term, true
	for _, jb := range pl.st.bySubmission() {
		jb.endSeenAt, jb.idleSince = now, 0
		if jb.status.Final() {
			pl.endedJobs = append(pl.endedJobs, jb)
		} else {
			pl.openJobs = append(pl.openJobs, jb)
		}
		pl.restoreRuns(now, jb)
	}
	pl.note("leadershipTaken", "", "", "", "term", strconv.FormatUint(term, 10), "jobs", strconv.Itoa(len(pl.openJobs)))
}

// restoreRuns records the runs of a job at their workers and clears its planned
// starts.
func (pl *Planner) restoreRuns(now model.Instant, jb *job) {
	for _, k := range slices.Sorted(maps.Keys(jb.occurrences)) {
		occ := jb.occurrences[k]
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				tk := &occ.steps[s].tasks[i]
				tk.planned = 0
				for _, ru := range tk.runs {
					wk := pl.ensureWorker(now, ru.incarnation)
					pr := newPlacedRun(jb, NewTaskID(jb.ID(), k, s, i), ru.attempt, now).markInherited()
					pr.checkpoint = tk.checkpoint
					wk.add(pr)
				}
			}
		}
	}
}

// stepDown drops all leader-only records and refuses the open heartbeats.
func (pl *Planner) stepDown() {
	for _, wk := range pl.workers.sorted {
		if wk.polling {
			pl.effects = append(pl.effects, Answer{PollID: wk.pollID, Refused: true})
		}
	}
	for _, jb := range pl.openJobs {
		jb.clearPlanned()
	}
	*pl = Planner{
		st: pl.st, config: pl.config, effects: pl.effects, outage: pl.outage,
		leadUntil: pl.leadUntil, wallMs: pl.wallMs, wallReadAt: pl.wallReadAt,
	}
}

// advance plans starts, proposes pending operations and sends the answers that
// are due.
func (pl *Planner) advance(now model.Instant) {
	if !pl.proposing {
		if pl.dirty {
			pl.dirty = false
			pl.plan(now)
		}
		if len(pl.pendingOps) > 0 {
			pl.proposing = true
			pl.effects = append(pl.effects, Propose{Ops: pl.pendingOps, Term: pl.term})
			pl.pendingOps = nil
		}
	}
	for _, wk := range pl.workers.sorted {
		if wk.polling && pl.answerDue(now, wk) {
			pl.answer(now, wk)
		}
	}
}

// note emits a Note. pairs alternates the keys and values of its fields.
func (pl *Planner) note(kind string, job model.JobID, task, worker string, pairs ...string) {
	fis := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fis = append(fis, Field{Key: pairs[i], Value: pairs[i+1]})
	}
	pl.effects = append(pl.effects, RecordEvent{Kind: kind, Job: job, Task: task, Worker: worker, Fields: fis})
}
