// Package blame attributes failed runs to the worker or to the work. A worker on which
// runs of several jobs fail in a row gets a quarantine. Work that fails on several workers,
// and on none of them does what it should, is suspect: its failures no longer count against
// workers, and each of its restarts is held back for a while.
package blame

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// quarantineAfter is the number of consecutive failures, each of another job than the
	// one before, after which a worker is quarantined.
	quarantineAfter = 3
	// minQuarantine is the duration of a worker's first quarantine, and of the first after
	// a run has succeeded.
	minQuarantine = 4 * time.Second
	// maxQuarantine bounds the duration, which doubles with each quarantine until a run
	// succeeds. A worker that runs only long-running tasks never has a success.
	maxQuarantine = 8 * time.Second
	// ShortPause is the duration of a quarantine for which there is no room: work that
	// waits must not be without a worker for long.
	ShortPause = 500 * time.Millisecond
	// maxShare is the fraction of the capacity of a service that may be in quarantine. If
	// more workers fail, something else is at fault than the workers.
	maxShare = 0.34
	// SuspectAfter is the number of workers on which work must have failed to be suspect,
	// or all of them if there are fewer, but at least minSuspectAfter: one worker alone
	// does not tell who is at fault.
	SuspectAfter    = 3
	minSuspectAfter = 2
	// minHold and maxHold bound how long restarts of suspect work are held back. The time
	// doubles with each failure. Work that may start must not be without a run for 3 s.
	minHold = 250 * time.Millisecond
	maxHold = 1500 * time.Millisecond
)

// Permits reports whether a worker of a capacity may get a full quarantine while others
// have one. total is the capacity of the service, quarantined and own included. Where no
// other one is in quarantine, one worker may be, up to half of the capacity.
func Permits(own, quarantined, total int64) bool {
	if quarantined == 0 && 2*own <= total {
		return true
	}
	return float64(own+quarantined) <= maxShare*float64(total)
}

// Worker tracks the failures on a worker. The zero value is a sound worker.
type Worker struct {
	// jobs are the jobs of the consecutive failures that count, at most quarantineAfter,
	// the last one at the end. Neighbours differ.
	jobs             []model.JobID
	quarantinedUntil model.Instant
	// restedUntil is the time before which no other quarantine begins.
	restedUntil model.Instant
	// quarantine is the duration of the last quarantine, 0 after a success.
	quarantine time.Duration
}

// Quarantined reports whether the worker is in quarantine.
func (wk *Worker) Quarantined(now model.Instant) bool { return now.Before(wk.quarantinedUntil) }

// Succeeded notes that a run has succeeded.
func (wk *Worker) Succeeded() { wk.jobs, wk.quarantine = wk.jobs[:0], 0 }

// Failed counts a failure of a job that is not suspect, and reports whether a quarantine is
// due. Consecutive failures of one job count once. Failures in a quarantine are of runs of
// before, or of work that had no other worker, and don't prolong it.
func (wk *Worker) Failed(now model.Instant, id model.JobID) bool {
	if num := len(wk.jobs); num > 0 && wk.jobs[num-1] == id {
		return false
	}
	if len(wk.jobs) == quarantineAfter {
		wk.jobs = append(wk.jobs[:0], wk.jobs[1:]...)
	}
	wk.jobs = append(wk.jobs, id)
	return len(wk.jobs) == quarantineAfter && !now.Before(max(wk.quarantinedUntil, wk.restedUntil))
}

// Quarantine begins a quarantine that is due and returns its duration. If a full one is not
// permitted it is ShortPause, and as long a time follows in which none begins, so that work
// without another worker gets a turn. The first failure after that makes the next one due.
func (wk *Worker) Quarantine(now model.Instant, permitted bool) time.Duration {
	if !permitted {
		wk.quarantinedUntil = now.Add(ShortPause)
		wk.restedUntil = wk.quarantinedUntil.Add(ShortPause)
		return ShortPause
	}
	wk.quarantine = min(max(minQuarantine, 2*wk.quarantine), maxQuarantine)
	wk.quarantinedUntil = now.Add(wk.quarantine)
	return wk.quarantine
}

// Exonerate takes back the failures of a job that turned out to be suspect. It reports
// whether that ends a quarantine.
func (wk *Worker) Exonerate(now model.Instant, id model.JobID) bool {
	before := len(wk.jobs)
	wk.jobs = slices.Compact(slices.DeleteFunc(wk.jobs, func(other model.JobID) bool { return other == id }))
	if len(wk.jobs) == before || !wk.Quarantined(now) || len(wk.jobs) >= quarantineAfter {
		return false
	}
	wk.quarantinedUntil, wk.quarantine = now, 0
	return true
}

// Work tracks the failures of work of one kind, as the tasks of a step. The zero value has
// none. It is small, because there is one for each step and few fail.
type Work struct {
	// rec is nil without failures.
	rec *workRecord
}

// workRecord holds the failures of work since it last did what it should.
type workRecord struct {
	// failedOn has the workers on which it failed, at most SuspectAfter.
	failedOn  []model.WorkerID
	heldUntil model.Instant
	// hold is how long the last restart was held back.
	hold time.Duration
}

// Ran notes that a run did what it should.
func (wo *Work) Ran() { wo.rec = nil }

// Failed counts a failure on a worker, one of so many that may run the work, and reports
// whether the work is suspect. Failures while it is held back come from runs of before and
// don't prolong the time.
func (wo *Work) Failed(now model.Instant, on model.WorkerID, workers int) bool {
	if wo.rec == nil {
		wo.rec = &workRecord{}
	}
	rec := wo.rec
	if len(rec.failedOn) < SuspectAfter && !slices.Contains(rec.failedOn, on) {
		rec.failedOn = append(rec.failedOn, on)
	}
	if len(rec.failedOn) < max(minSuspectAfter, min(SuspectAfter, workers)) {
		return false
	}
	if !wo.Held(now) {
		rec.hold = min(max(minHold, 2*rec.hold), maxHold)
		rec.heldUntil = now.Add(rec.hold)
	}
	return true
}

// Held reports whether the work must not start now.
func (wo *Work) Held(now model.Instant) bool { return wo.rec != nil && now.Before(wo.rec.heldUntil) }

// HeldFor returns how long the last restart was held back.
func (wo *Work) HeldFor() time.Duration {
	if wo.rec == nil {
		return 0
	}
	return wo.rec.hold
}

// FailedOn returns the workers on which the work failed since it last did what it should.
// The caller must not change it.
func (wo *Work) FailedOn() []model.WorkerID {
	if wo.rec == nil {
		return nil
	}
	return wo.rec.failedOn
}
