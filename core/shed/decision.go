package shed

import "time"

// Reason says why a job is accepted or refused.
type Reason uint8

// The reasons. Those up to Returned accept the job.
const (
	// Fits means that the job is expected to end in its objective.
	Fits Reason = iota
	// Unjudged means that the forecast does not cover the job, or is not known yet.
	Unjudged
	// Known means that the job was submitted before.
	Known
	// Returned means that the job is expected to be late, but displaces no other, and that
	// its caller has returned as often as callers do: a late result is worth more to it
	// than none.
	Returned
	// TooLate means that the job would end after its objective and delay others.
	TooLate
	// OverQuota means that the job would end after its objective because other jobs of its
	// workspace use the quota.
	OverQuota
	// Displaces means that the job would make accepted jobs end after their
	// objective.
	Displaces
	// Turn means that it is the turn of jobs of another size or data centre, which
	// have been refused more often.
	Turn
)

var reasonNames = [...]string{"fits", "unjudged", "known", "returned", "tooLate", "overQuota", "displaces", "turn"}

// String returns the name for logs.
func (re Reason) String() string { return reasonNames[re] }

// Class is the size of a job among the jobs of its kind.
type Class uint8

// The classes, each with its part of the jobs.
const (
	// Usual is the smaller seven tenths.
	Usual Class = iota
	// Large is the fifth above.
	Large
	// Largest is the tenth with the most work.
	Largest
	classCount
)

var classNames = [...]string{"usual", "large", "largest"}

// String returns the name for logs.
func (cl Class) String() string { return classNames[cl] }

// Decision is the answer to the submission of a job. The zero value accepts it.
type Decision struct {
	reason     Reason
	class      Class
	end        time.Duration
	retryAfter time.Duration
}

// Accept returns the decision to accept a job that is not forecast, and why.
func Accept(re Reason) Decision { return Decision{reason: re} }

// Accepted reports whether the job is accepted.
func (de Decision) Accepted() bool { return de.reason <= Returned }

// Reason returns why the job is accepted or refused.
func (de Decision) Reason() Reason { return de.reason }

// Class returns the size of the job among those of its kind.
func (de Decision) Class() Class { return de.class }

// End returns the expected time until the job would end; 0 if it is not known.
func (de Decision) End() time.Duration { return de.end }

// RetryAfter returns the time after which the caller of a refused job should
// return: whole seconds, from MinRetry to MaxRetry.
func (de Decision) RetryAfter() time.Duration { return de.retryAfter }
