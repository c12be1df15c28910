package blame

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// SuspectAfter is the number of workers on which work must have failed to be suspect,
	// or all of them if there are fewer, but at least minSuspectAfter: one worker alone
	// does not tell whether it or the work is at fault.
	SuspectAfter    = 3
	minSuspectAfter = 2
	// minHold and maxHold bound how long restarts of suspect work are held back. The time
	// doubles with each failure. Work that may start must not be without a run for 3 s.
	minHold = 250 * time.Millisecond
	maxHold = 1500 * time.Millisecond
)

// Work tracks the failures of work of one kind, such as the tasks of a step. The zero value
// has none. It is small because every step has one, but few fail.
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

// Failed counts a failure on a worker and reports whether the work is suspect. workers is the
// number of workers that may run the work. Failures while it is held back are of earlier runs
// and don't prolong the time.
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
