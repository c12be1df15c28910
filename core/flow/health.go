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
	// minQuarantine is how long such a worker gets no task the first time.
	minQuarantine = 4 * time.Second
	// maxQuarantine bounds the doubling of that time. A worker that only holds
	// lasting tasks has no success to end it.
	maxQuarantine = 8 * time.Second
	// stallTimeout is how long a task at full pace may show no progress before it
	// starts elsewhere, and fillerStall the same for a filler, which may get few
	// processors.
	stallTimeout       = 2 * time.Second
	fillerStallTimeout = 4 * time.Second
	// notServingTimeout is how long a lasting task may not be at work, its startup
	// included.
	notServingTimeout = 3 * time.Second
)

// health counts the failures of a worker. The zero value is good.
type health struct {
	failures         int
	lastJob          model.JobID
	quarantinedUntil model.Instant
	quarantine       time.Duration
}

func (he *health) quarantined(now model.Instant) bool { return now.Before(he.quarantinedUntil) }

// recordFailure counts a failure of one job and quarantines the worker after several.
func (he *health) recordFailure(now model.Instant, id model.JobID) bool {
	if he.lastJob == id {
		return false
	}
	he.failures, he.lastJob = he.failures+1, id
	if he.failures < quarantineAfter {
		return false
	}
	he.quarantine = min(max(minQuarantine, 2*he.quarantine), maxQuarantine)
	// One more failure after the quarantine repeats it.
	he.quarantinedUntil, he.failures = now.Add(he.quarantine), quarantineAfter-1
	return true
}

// recordOutcome takes note of how a run ended.
func (pl *Planner) recordOutcome(now model.Instant, wk *worker, pr *placedRun, oc Outcome) {
	he := &wk.health
	switch {
	case oc == Succeeded:
		he.failures, he.lastJob, he.quarantine = 0, "", 0
	case oc == Failed:
		pl.countFailure(now, wk, pr)
	}
}

// countFailure counts a failure against the worker.
func (pl *Planner) countFailure(now model.Instant, wk *worker, pr *placedRun) {
	if wk.health.recordFailure(now, pr.task.job) {
		pl.note("workerQuarantined", "", "", wk.incarnation.String(), "ms", strconv.FormatInt(wk.health.quarantine.Milliseconds(), 10))
	}
}

// evictStalled moves the tasks that stand still: some workers accept tasks and do
// not work on them. A task that serves is never moved while it is at work.
func (pl *Planner) evictStalled(now model.Instant, wk *worker) {
	if wk.draining {
		return
	}
	for _, pr := range wk.runs {
		if !pr.reported || pr.evicting || pr.ending || !pr.stalled(now) {
			continue
		}
		pr.evicting = true
		pl.countFailure(now, wk, pr)
		pl.note("runStalled", pr.task.job, pr.task.String(), wk.incarnation.String(), "attempt", strconv.Itoa(pr.attempt),
			"percent", strconv.Itoa(pr.percent), "stillMs", strconv.FormatInt(now.Sub(pr.progressedAt).Milliseconds(), 10))
	}
}

// stalled reports whether the run has made no progress for too long.
func (pr *placedRun) stalled(now model.Instant) bool {
	still := now.Sub(pr.progressedAt)
	switch {
	case pr.spec.Gang:
		return false
	case pr.spec.LongRunning:
		return still >= notServingTimeout && pr.percent < fullPace
	case pr.spec.Filler:
		return still >= fillerStallTimeout && pr.pace == fullPace && pr.sentPace == fullPace && now.Sub(pr.paceChangedAt) >= fillerStallTimeout && pr.cheapToStop()
	}
	return still >= stallTimeout
}
