package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// quarantineAfter is the number of consecutive failures, each of a
	// different job, after which a worker is quarantined.
	quarantineAfter = 3
	// minQuarantine is the duration of a worker's first quarantine, and of the
	// first after a run has succeeded.
	minQuarantine = 4 * time.Second
	// maxQuarantine bounds the duration, which doubles with each quarantine
	// until a run succeeds. A worker that runs only long-running tasks never
	// has a success.
	maxQuarantine = 8 * time.Second
	// minOrderPause is how long a worker is avoided that didn't carry out a start
	// order, as it may have lost the answer. The duration doubles, up to
	// maxOrderPause, until the worker carries one out.
	minOrderPause = 500 * time.Millisecond
	maxOrderPause = 8 * time.Second
	// stallTimeout is how long a run may show no progress before it is evicted.
	// fillerStallTimeout is the same for a filler at full pace, which may get
	// few processors.
	stallTimeout       = 2 * time.Second
	fillerStallTimeout = 4 * time.Second
	// notServingTimeout is how long a long-running task may show no progress,
	// while it is not serving, before it is evicted; this includes its startup.
	notServingTimeout = 3 * time.Second
)

// health tracks the failures of a worker. The zero value is a healthy worker.
type health struct {
	// failures counts consecutive failures, and lastJob is the job of the last.
	failures         int
	lastJob          model.JobID
	quarantinedUntil model.Instant
	// quarantine is the duration of the last quarantine, 0 after a success.
	quarantine time.Duration
	// pausedUntil is the end of the last pause for start orders that were not
	// carried out, and pause its duration, 0 after one was carried out.
	pausedUntil model.Instant
	pause       time.Duration
}

// quarantined reports whether the worker gets long-running tasks only, and those
// only if no other worker has room.
func (he *health) quarantined(now model.Instant) bool {
	return now.Before(he.quarantinedUntil) || now.Before(he.pausedUntil)
}

// recordIgnoredOrder counts a start order that the worker didn't carry out, and
// reports whether a pause begins. Orders of one answer count once.
func (he *health) recordIgnoredOrder(now model.Instant) bool {
	if now.Before(he.pausedUntil) {
		return false
	}
	he.pause = min(max(minOrderPause, 2*he.pause), maxOrderPause)
	he.pausedUntil = now.Add(he.pause)
	return true
}

// recordStart notes that the worker has carried out a start order.
func (he *health) recordStart() { he.pausedUntil, he.pause = 0, 0 }

// recordFailure counts a failure of a job, and reports whether it puts the
// worker in quarantine. Consecutive failures of one job count once.
func (he *health) recordFailure(now model.Instant, id model.JobID) bool {
	if he.lastJob == id {
		return false
	}
	he.failures, he.lastJob = he.failures+1, id
	if he.failures < quarantineAfter {
		return false
	}
	he.quarantine = min(max(minQuarantine, 2*he.quarantine), maxQuarantine)
	// The first failure after the quarantine starts the next one.
	he.quarantinedUntil, he.failures = now.Add(he.quarantine), quarantineAfter-1
	return true
}

// recordOutcome updates the health of a worker with the outcome of a run.
func (pl *Planner) recordOutcome(now model.Instant, wk *worker, pr *placedRun, oc Outcome) {
	he := &wk.health
	switch {
	case oc == Succeeded:
		he.failures, he.lastJob, he.quarantine = 0, "", 0
		he.recordStart()
	case oc == Failed:
		pl.countFailure(now, wk, pr)
	case oc == NotStarted && pr.ignored() && he.recordIgnoredOrder(now):
		pl.recordEvent("workerIgnoresOrders", "", "", wk.incarnation.String(), "ms", strconv.FormatInt(he.pause.Milliseconds(), 10))
	}
}

// ignored reports whether the worker got the start order of a run that no heartbeat
// has listed, and no order to stop it.
func (pr *placedRun) ignored() bool { return pr.startSent && !pr.reported && !pr.stopping }

// countFailure counts a failed or stalled run as a failure of its worker.
func (pl *Planner) countFailure(now model.Instant, wk *worker, pr *placedRun) {
	if wk.health.recordFailure(now, pr.task.job) {
		pl.recordEvent("workerQuarantined", "", "", wk.incarnation.String(), "ms", strconv.FormatInt(wk.health.quarantine.Milliseconds(), 10))
	}
}

// evictStalled marks runs that make no progress for eviction, since some
// workers accept tasks and do not work on them. A long-running task that is
// serving, the tasks of a gang and the runs of a draining worker are never
// evicted.
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
		pl.recordEvent("runStalled", pr.task.job, pr.task.String(), wk.incarnation.String(), "attempt", strconv.Itoa(pr.attempt),
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
		// A task below 100 percent is not serving.
		return still >= notServingTimeout && pr.percent < fullPace
	case pr.spec.Filler:
		return still >= fillerStallTimeout && pr.pace == fullPace && pr.sentPace == fullPace && now.Sub(pr.paceChangedAt) >= fillerStallTimeout && pr.cheapToStop()
	}
	return still >= stallTimeout
}
