package flow

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

// Bounds are the times that the deployment sets.
type Bounds struct {
	// Hold is how long what a worker runs outlives its last answered report.
	Hold time.Duration
	// Keep is how long an ended job can be asked for.
	Keep time.Duration
	// PaceDelay is how long after its order a worker applies a pace.
	PaceDelay time.Duration
}

const (
	// defaultHold bridges a change of the leader and a short outage; a silent
	// worker's tasks start elsewhere this long after its last report.
	defaultHold = 7500 * time.Millisecond
	// defaultKeep is how long an ended job is kept for reads.
	defaultKeep = 2 * time.Minute
	// defaultPaceDelay is how long after its order a worker applies a pace.
	defaultPaceDelay = 100 * time.Millisecond
	// holdMargin covers the drift of a worker's clock, 2%, and the answer's
	// way through this process.
	holdMargin  = 50 * time.Millisecond
	holdDivisor = 40
	// freshFor is the age of the last report up to which a worker gets tasks.
	freshFor = 2500 * time.Millisecond
	// busyWait is how long the report of a worker with tasks waits for orders:
	// one commit. The worker does not report an end while its report waits.
	busyWait = 30 * time.Millisecond
	// endWait bounds the wait for the commit of reported ends.
	endWait = 150 * time.Millisecond
	// idleWait is the same for a worker without tasks; the answer must arrive
	// within a second.
	idleWait = 700 * time.Millisecond
	// busyAgain and idleAgain are the least pauses between reports. Those of
	// busy workers grow by againPerWorker for each worker of the cell, so that
	// the leader takes in 500 reports a second at most; mostAgain bounds them.
	busyAgain      = 90 * time.Millisecond
	idleAgain      = 20 * time.Millisecond
	againPerWorker = 2 * time.Millisecond
	mostAgain      = time.Second
	// fetchWait is how long a start waits for the next report of its worker.
	fetchWait = time.Second
	// forgetWorker is the age of the last report after which a worker without
	// tasks is forgotten.
	forgetWorker = 15 * time.Second
	// solveEvery is how often the estimates of interference are computed.
	solveEvery = 500 * time.Millisecond
	// sweepEvery is how often leases and old jobs are looked at.
	sweepEvery = 100 * time.Millisecond
)

func (bo Bounds) hold() time.Duration {
	if bo.Hold <= 0 {
		return defaultHold
	}
	return bo.Hold
}

func (bo Bounds) keep() time.Duration {
	if bo.Keep <= 0 {
		return defaultKeep
	}
	return bo.Keep
}

func (bo Bounds) paceDelay() time.Duration {
	if bo.PaceDelay <= 0 {
		return defaultPaceDelay
	}
	return bo.PaceDelay
}

// leaseEnd returns when a lease that was renewed at now is over for certain.
func (bo Bounds) leaseEnd(now model.Instant) model.Instant {
	hold := bo.hold()
	return now.Add(hold + hold/holdDivisor + holdMargin)
}

// Planner decides for the leader of a cell. The zero value leads nothing; use
// NewPlanner.
type Planner struct {
	st     *State
	bounds Bounds
	// leading is set from TookOver to SteppedDown.
	leading   bool
	term      uint64
	leadUntil model.Instant
	// wallAt is the time of day at wallRead, in milliseconds since 1970.
	wallAt   int64
	wallRead model.Instant
	outage   map[model.CentreID]bool
	workers  roster
	// former are earlier lives of workers whose runs may not be over.
	former []*worker
	// open are the jobs that have not ended, in the order of submission.
	open []*job
	// closing are the jobs that have ended and are kept for reads.
	closing []*job
	// queued are operations for the next proposal.
	queued []Op
	// flying is set while a proposal is under way.
	flying bool
	// dirty is set when something changed that could let a task start.
	dirty  bool
	swept  model.Instant
	solved model.Instant
	pairs  pairs
	// speeds is reused by findSlow.
	speeds []float64
	// diffs is reused by compare.
	diffs []imageUse
	out   []Effect
}

// NewPlanner returns a planner that reads st, which the caller keeps in step
// with the group.
func NewPlanner(st *State, bounds Bounds) *Planner {
	return &Planner{st: st, bounds: bounds}
}

// Step takes one input and returns the effects in order.
func (pl *Planner) Step(now model.Instant, in Input) []Effect {
	switch msg := in.(type) {
	case Tick:
		pl.leadUntil, pl.wallAt, pl.wallRead = msg.LeadUntil, msg.Wall, now
		pl.tick(now)
	case TookOver:
		pl.leadUntil, pl.wallAt, pl.wallRead = msg.LeadUntil, msg.Wall, now
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
	case Beat:
		pl.beat(now, &msg)
	}
	if pl.leads(now) {
		pl.advance(now)
	}
	out := pl.out
	pl.out = nil
	return out
}

func (pl *Planner) leads(now model.Instant) bool { return pl.leading && now.Before(pl.leadUntil) }

// wall returns the time of day in milliseconds since 1970.
func (pl *Planner) wall(now model.Instant) int64 {
	return pl.wallAt + now.Sub(pl.wallRead).Milliseconds()
}

// takeOver builds the leader's view from the state. Every lease counts as
// renewed now, because the previous leader may have renewed it until its own
// lease ended.
func (pl *Planner) takeOver(now model.Instant, term uint64) {
	pl.stepDown()
	pl.leading, pl.term, pl.dirty = true, term, true
	for _, jb := range pl.st.inOrder() {
		jb.seen, jb.idleSince = now, 0
		if jb.status.Final() {
			pl.closing = append(pl.closing, jb)
		} else {
			pl.open = append(pl.open, jb)
		}
		pl.adopt(now, jb)
	}
	pl.note("leadershipTaken", "", "", "", "term", strconv.FormatUint(term, 10), "jobs", strconv.Itoa(len(pl.open)))
}

// adopt places the runs of a job on their workers.
func (pl *Planner) adopt(now model.Instant, jb *job) {
	for _, k := range slices.Sorted(maps.Keys(jb.occurrences)) {
		occ := jb.occurrences[k]
		for s := range occ.steps {
			for i := range occ.steps[s].tasks {
				tk := &occ.steps[s].tasks[i]
				tk.planned = 0
				for _, ru := range tk.runs {
					wk := pl.lifeOf(now, ru.life)
					pd := newPlaced(jb, NewTaskID(jb.ID(), k, s, i), ru.attempt, now).inherit()
					pd.checkpoint = tk.checkpoint
					wk.add(pd)
				}
			}
		}
	}
}

// stepDown forgets what only the leader knows and lets the reports go.
func (pl *Planner) stepDown() {
	for _, wk := range pl.workers.list {
		if wk.polled {
			pl.out = append(pl.out, Answer{Poll: wk.poll, Refused: true})
		}
	}
	for _, jb := range pl.open {
		jb.unplan()
	}
	*pl = Planner{
		st: pl.st, bounds: pl.bounds, out: pl.out, outage: pl.outage,
		leadUntil: pl.leadUntil, wallAt: pl.wallAt, wallRead: pl.wallRead,
	}
}

// advance plans, proposes and answers what can be answered.
func (pl *Planner) advance(now model.Instant) {
	if !pl.flying {
		if pl.dirty {
			pl.dirty = false
			pl.plan(now)
		}
		if len(pl.queued) > 0 {
			pl.flying = true
			pl.out = append(pl.out, Propose{Ops: pl.queued, Term: pl.term})
			pl.queued = nil
		}
	}
	for _, wk := range pl.workers.list {
		if wk.polled && pl.due(now, wk) {
			pl.answer(now, wk)
		}
	}
}

func (pl *Planner) note(kind string, job model.JobID, task, worker string, pairs ...string) {
	fis := make([]Field, 0, len(pairs)/2)
	for i := 0; i+1 < len(pairs); i += 2 {
		fis = append(fis, Field{Key: pairs[i], Value: pairs[i+1]})
	}
	pl.out = append(pl.out, Note{Kind: kind, Job: job, Task: task, Worker: worker, Fields: fis})
}
