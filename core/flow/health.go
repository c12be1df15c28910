package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// quarantineAfter is the number of different jobs in a row whose tasks
	// failed on a worker.
	quarantineAfter = 3
	// quarantineTime is how long such a worker gets no task the first time.
	quarantineTime = 4 * time.Second
	// quarantineMost bounds the doubling of that time. A worker that only holds
	// lasting tasks has no success to end it.
	quarantineMost = 8 * time.Second
	// stallAfter is how long a task at full pace may show no progress before it
	// starts elsewhere, and fillerStall the same for a filler, which may get few
	// processors.
	stallAfter  = 2 * time.Second
	fillerStall = 4 * time.Second
	// idleAfter is how long a lasting task may not be at work, its startup
	// included.
	idleAfter = 3 * time.Second
)

// health counts the failures of a worker. The zero value is good.
type health struct {
	fails int
	last  model.JobID
	until model.Instant
	time  time.Duration
}

func (he *health) quarantined(now model.Instant) bool { return now.Before(he.until) }

// fault counts a failure of one job and quarantines the worker after several.
func (he *health) fault(now model.Instant, id model.JobID) bool {
	if he.last == id {
		return false
	}
	he.fails, he.last = he.fails+1, id
	if he.fails < quarantineAfter {
		return false
	}
	he.time = min(max(quarantineTime, 2*he.time), quarantineMost)
	// One more failure after the quarantine repeats it.
	he.until, he.fails = now.Add(he.time), quarantineAfter-1
	return true
}

// judge takes note of how a run ended.
func (pl *Planner) judge(now model.Instant, wk *worker, pd *placed, oc Outcome) {
	he := &wk.health
	switch {
	case oc == Succeeded:
		he.fails, he.last, he.time = 0, "", 0
	case oc == Failed:
		pl.blame(now, wk, pd)
	}
}

// blame counts a failure against the worker.
func (pl *Planner) blame(now model.Instant, wk *worker, pd *placed) {
	if wk.health.fault(now, pd.task.job) {
		pl.note("workerQuarantined", "", "", wk.life.String(), "ms", strconv.FormatInt(wk.health.time.Milliseconds(), 10))
	}
}

// unstick moves the tasks that stand still: some workers accept tasks and do
// not work on them. A task that serves is never moved while it is at work.
func (pl *Planner) unstick(now model.Instant, wk *worker) {
	if wk.draining {
		return
	}
	for _, pd := range wk.placed {
		if !pd.seen || pd.evict || pd.ending || !pd.stuck(now) {
			continue
		}
		pd.evict = true
		pl.blame(now, wk, pd)
		pl.note("runStalled", pd.task.job, pd.task.String(), wk.life.String(), "attempt", strconv.Itoa(pd.attempt),
			"percent", strconv.Itoa(pd.percent), "stillMs", strconv.FormatInt(now.Sub(pd.movedAt).Milliseconds(), 10))
	}
}

// stuck reports whether the run has made no progress for too long.
func (pd *placed) stuck(now model.Instant) bool {
	still := now.Sub(pd.movedAt)
	switch {
	case pd.spec.Gang:
		return false
	case pd.spec.Lasting:
		return still >= idleAfter && pd.percent < fullPace
	case pd.spec.Filler:
		return still >= fillerStall && pd.pace == fullPace && pd.toldPace == fullPace && now.Sub(pd.stillSince) >= fillerStall && pd.cheap()
	}
	return still >= stallAfter
}
