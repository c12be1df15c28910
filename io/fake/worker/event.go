package worker

import (
	"time"

	"guavarail/core/model"
)

// AttemptEvent is the start or the end of an attempt.
type AttemptEvent struct {
	worker      string
	task        string
	attempt     uint32
	state       string
	reason      string
	at          model.Instant
	resumedFrom time.Duration
}

// Worker returns the name of the worker.
func (ev AttemptEvent) Worker() string { return ev.worker }

// Task returns the id of the task in the form JOB/INDEX.
func (ev AttemptEvent) Task() string { return ev.task }

// Attempt returns the number of the attempt.
func (ev AttemptEvent) Attempt() uint32 { return ev.attempt }

// State returns running for a start, and succeeded, failed or stopped for an
// end.
func (ev AttemptEvent) State() string { return ev.state }

// Reason returns why the attempt ended; empty for a start and for a success.
func (ev AttemptEvent) Reason() string { return ev.reason }

// At returns the time of the start or end on the clock of the worker.
func (ev AttemptEvent) At() model.Instant { return ev.at }

// ResumedFrom returns the progress at which an attempt started, in run time at full
// speed; 0 for a start without a checkpoint, and for an end.
func (ev AttemptEvent) ResumedFrom() time.Duration { return ev.resumedFrom }
