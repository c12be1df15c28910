package flow

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

// Config are the times that the deployment sets.
type Config struct {
	// LeaseDuration is how long what a worker runs outlives its last answered report.
	LeaseDuration time.Duration
	// JobRetention is how long an ended job can be asked for.
	JobRetention time.Duration
	// PaceDelay is how long after its order a worker applies a pace.
	PaceDelay time.Duration
}

const (
	// defaultLease bridges a change of the leader and a short outage; a silent
	// worker's tasks start elsewhere this long after its last report.
	defaultLease = 7500 * time.Millisecond
	// defaultJobRetention is how long an ended job is kept for reads.
	defaultJobRetention = 2 * time.Minute
	// defaultPaceDelay is how long after its order a worker applies a pace.
	defaultPaceDelay = 100 * time.Millisecond
	// leaseMargin covers the drift of a worker's clock, 2%, and the answer's
	// way through this process.
	leaseMargin       = 50 * time.Millisecond
	leaseDriftDivisor = 40
	// maxHeartbeatAge is the age of the last report up to which a worker gets tasks.
	maxHeartbeatAge = 2500 * time.Millisecond
	// busyAnswerDelay is how long the report of a worker with tasks waits for orders:
	// one commit. The worker does not report an end while its report waits.
	busyAnswerDelay = 30 * time.Millisecond
	// endCommitTimeout config the wait for the commit of reported ends.
	endCommitTimeout = 150 * time.Millisecond
	// idleAnswerDelay is the same for a worker without tasks; the answer must arrive
	// within a second.
	idleAnswerDelay = 700 * time.Millisecond
	// busyHeartbeatDelay and idleAgain are the least pauses between reports. Those of
	// busy workers grow by againPerWorker for each worker of the cell, so that
	// the leader takes in 500 reports a second at most; mostAgain config them.
	busyHeartbeatDelay      = 90 * time.Millisecond
	idleHeartbeatDelay      = 20 * time.Millisecond
	heartbeatDelayPerWorker = 2 * time.Millisecond
	maxHeartbeatDelay       = time.Second
	// startPickupTimeout is how long a start waits for the next report of its worker.
	startPickupTimeout = time.Second
	// workerRetention is the age of the last report after which a worker without
	// tasks is forgotten.
	workerRetention = 15 * time.Second
	// estimateInterval is how often the estimates of interference are computed.
	estimateInterval = 500 * time.Millisecond
	// sweepInterval is how often leases and old jobs are looked at.
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

// leaseEnd returns when a lease that was renewed at now is over for certain.
func (cfg Config) leaseEnd(now model.Instant) model.Instant {
	hold := cfg.leaseDuration()
	return now.Add(hold + hold/leaseDriftDivisor + leaseMargin)
}

// Planner decides for the leader of a cell. The zero value leads nothing; use
// NewPlanner.
type Planner struct {
	st     *State
	config Config
	// leading is set from TookOver to SteppedDown.
	leading   bool
	term      uint64
	leadUntil model.Instant
	// wallMs is the time of day at wallRead, in milliseconds since 1970.
	wallMs     int64
	wallReadAt model.Instant
	outage     map[model.CentreID]bool
	workers    workerSet
	// formerWorkers are earlier lives of workers whose runs may not be over.
	formerWorkers []*worker
	// openJobs are the jobs that have not ended, in the order of submission.
	openJobs []*job
	// endedJobs are the jobs that have ended and are kept for reads.
	endedJobs []*job
	// pendingOps are operations for the next proposal.
	pendingOps []Op
	// proposing is set while a proposal is under way.
	proposing bool
	// dirty is set when something changed that could let a task start.
	dirty        bool
	sweptAt      model.Instant
	estimatedAt  model.Instant
	interference interference
	// speedBuffer is reused by findSlow.
	speedBuffer []float64
	// useDiffs is reused by compare.
	useDiffs []imageUse
	effects  []Effect
}

// NewPlanner returns a planner that reads st, which the caller keeps in step
// with the group.
func NewPlanner(st *State, config Config) *Planner {
	return &Planner{st: st, config: config}
}

// Step takes one input and returns the effects in order.
func (pl *Planner) Step(now model.Instant, in Input) []Effect {
	switch msg := in.(type) {
	case Tick:
		pl.leadUntil, pl.wallMs, pl.wallReadAt = msg.LeadUntil, msg.Wall, now
		pl.tick(now)
	case TookOver:
		pl.leadUntil, pl.wallMs, pl.wallReadAt = msg.LeadUntil, msg.Wall, now
		pl.takeOver(now, msg.Term)
	case SteppedDown:
		pl.stepDown()
	case Applied:
		pl.applied(now, msg)
	case Settled:
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

// wall returns the time of day in milliseconds since 1970.
func (pl *Planner) wall(now model.Instant) int64 {
	return pl.wallMs + now.Sub(pl.wallReadAt).Milliseconds()
}

// takeOver builds the leader's view from the state. Every lease counts as
// renewed now, because the previous leader may have renewed it until its own
// lease ended.
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

// restoreRuns places the runs of a job on their workers.
func (pl *Planner) restoreRuns(now model.Instant, jb *job) {
	for _, k := range slices.Sorted(maps.Keys(jb.occurrences)) {
		occ := jb.occurrences[k]
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				tk := &occ.steps[s].tasks[i]
				tk.planned = 0
				for _, ru := range tk.runs {
					wk := pl.workerFor(now, ru.incarnation)
					pr := newPlacedRun(jb, NewTaskID(jb.ID(), k, s, i), ru.attempt, now).markInherited()
					pr.checkpoint = tk.checkpoint
					wk.add(pr)
				}
			}
		}
	}
}

// stepDown forgets what only the leader knows and lets the reports go.
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

// advance plans, proposes and answers what can be answered.
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

func (pl *Planner) note(kind string, job model.JobID, task, worker string, pairs ...string) {
	fis := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fis = append(fis, Field{Key: pairs[i], Value: pairs[i+1]})
	}
	pl.effects = append(pl.effects, Note{Kind: kind, Job: job, Task: task, Worker: worker, Fields: fis})
}
