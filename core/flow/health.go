package flow

import (
	"strconv"
	"time"

	"guavarail/core/blame"
	"guavarail/core/model"
)

const (
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
	// blame counts the failures of runs.
	blame blame.Worker
	// pausedUntil is the end of the last pause for start orders that were not
	// carried out, and pause its duration, 0 after one was carried out.
	pausedUntil model.Instant
	pause       time.Duration
}

// quarantined reports whether the worker gets long-running tasks only, and those
// only if no other worker has room.
func (he *health) quarantined(now model.Instant) bool {
	return he.blame.Quarantined(now) || now.Before(he.pausedUntil)
}

// recordIgnoredOrder counts a start order that the worker didn't carry out, and
// reports whether a pause begins, which is minOrderPause long unless a longer one is
// permitted. Orders of one answer count once.
func (he *health) recordIgnoredOrder(now model.Instant, permitted bool) bool {
	if now.Before(he.pausedUntil) {
		return false
	}
	he.pause = min(max(minOrderPause, 2*he.pause), maxOrderPause)
	if !permitted {
		he.pause = minOrderPause
	}
	he.pausedUntil = now.Add(he.pause)
	return true
}

// recordStart notes that the worker has carried out a start order.
func (he *health) recordStart() { he.pausedUntil, he.pause = 0, 0 }

// recordOutcome updates the health of a worker with the outcome of a run.
func (pl *Planner) recordOutcome(now model.Instant, wk *worker, pr *placedRun, oc Outcome) {
	he := &wk.health
	switch {
	case oc == Succeeded:
		he.blame.Succeeded()
		he.recordStart()
		pr.step.work.Ran()
	case oc == Failed:
		pl.countFailure(now, wk, pr)
	case oc == NotStarted && pr.ignored() && he.recordIgnoredOrder(now, pl.mayQuarantine(now, wk)):
		pl.recordEvent("workerIgnoresOrders", "", "", wk.incarnation.String(), "ms", strconv.FormatInt(he.pause.Milliseconds(), 10))
	}
}

// ignored reports whether the worker got the start order of a run that no heartbeat
// has listed, and no order to stop it.
func (pr *placedRun) ignored() bool { return pr.startSent && !pr.reported && !pr.stopping }

// countFailure counts a failed or stalled run as a failure of its work, or of its worker
// unless the work fails on others, too.
func (pl *Planner) countFailure(now model.Instant, wk *worker, pr *placedRun) {
	if pr.step.work.Failed(now, wk.incarnation.worker, pl.countWorkers(wk.service, blame.SuspectAfter)) {
		pl.exonerate(now, pr)
		return
	}
	if wk.health.blame.Failed(now, pr.task.job) {
		dur := wk.health.blame.Quarantine(now, pl.mayQuarantine(now, wk))
		pl.recordEvent("workerQuarantined", "", "", wk.incarnation.String(), "ms", strconv.FormatInt(dur.Milliseconds(), 10))
	}
}

// exonerate takes back the failures of a job from the workers on which the step of a run
// failed, because the step fails everywhere.
func (pl *Planner) exonerate(now model.Instant, pr *placedRun) {
	for _, name := range pr.step.work.FailedOn() {
		if wk, ok := pl.workers.get(name); ok && wk.health.blame.Exonerate(now, pr.task.job) {
			pl.recordEvent("workerExonerated", pr.task.job, "", wk.incarnation.String())
		}
	}
	if pr.job.suspectRecordedAt == 0 || now.Sub(pr.job.suspectRecordedAt) >= waitEventInterval {
		pr.job.suspectRecordedAt = now
		pl.recordEvent("workSuspect", pr.task.job, pr.task.String(), "", "workers", strconv.Itoa(len(pr.step.work.FailedOn())),
			"heldMs", strconv.FormatInt(pr.step.work.HeldFor().Milliseconds(), 10))
	}
}

// countWorkers returns the number of workers of a service, or limit if there are more.
func (pl *Planner) countWorkers(name model.ServiceID, limit int) int {
	num := 0
	for _, wk := range pl.workers.sorted {
		if wk.service == name && wk.reported {
			num++
		}
		if num == limit {
			break
		}
	}
	return num
}

// mayQuarantine reports whether enough capacity of the service is left for a full quarantine
// of a worker.
func (pl *Planner) mayQuarantine(now model.Instant, wk *worker) bool {
	quarantined, total := int64(0), wk.size.MilliCPU()
	for _, other := range pl.workers.sorted {
		if other == wk || other.service != wk.service || pl.unavailable(other) != notRejected {
			continue
		}
		total += other.size.MilliCPU()
		if other.health.quarantined(now) {
			quarantined += other.size.MilliCPU()
		}
	}
	return blame.Permits(wk.size.MilliCPU(), quarantined, total)
}

// servesLong reports whether a long-running task is serving and has got past its start.
func (pr *placedRun) servesLong(now model.Instant) bool {
	return pr.spec.LongRunning && pr.percent >= fullPace && now.Sub(pr.placedAt) >= notServingTimeout
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
