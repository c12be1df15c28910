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
	// ShortPause is the duration of a quarantine that is not permitted in full: waiting work
	// must not be without a worker for long.
	ShortPause = 500 * time.Millisecond
	// maxShare is the fraction of the capacity of a service that may be in quarantine. If
	// more workers fail, the workers are not the cause.
	maxShare = 0.34
)

// Permits reports whether a worker may get a full quarantine while others have one. own and
// quarantined are the capacities of the worker and of those others, and total is that of the
// service, both included. If no other worker is in quarantine, one with up to half of the
// capacity may be.
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
// due. Consecutive failures of one job count once. Failures in a quarantine are of earlier
// runs, or of work that had no other worker, and don't prolong it.
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
