package flow

import (
	"time"

	"guavarail/core/model"
)

// Config holds the durations that a deployment sets. Zero values select the
// defaults.
type Config struct {
	// LeaseDuration is how long the runs of a worker may go on after the worker
	// sent the last heartbeat that was answered.
	LeaseDuration time.Duration
	// JobRetention is how long the status of an ended job can be read.
	JobRetention time.Duration
	// PaceDelay is the time from a pace order until the worker applies it.
	PaceDelay time.Duration
	// StopTime is the longest time from a stop order until the run has ended.
	StopTime time.Duration
	// Admission is set if Planner.Admit is called.
	Admission bool
}

func (cfg Config) leaseDuration() time.Duration {
	if cfg.LeaseDuration <= 0 {
		return defaultLease
	}
	return cfg.LeaseDuration
}

func (cfg Config) jobRetention() time.Duration {
	if cfg.JobRetention <= 0 {
		return defaultJobRetention
	}
	return cfg.JobRetention
}

func (cfg Config) paceDelay() time.Duration {
	if cfg.PaceDelay <= 0 {
		return defaultPaceDelay
	}
	return cfg.PaceDelay
}

func (cfg Config) stopTime() time.Duration {
	if cfg.StopTime <= 0 {
		return defaultStopTime
	}
	return cfg.StopTime
}

// leaseEnd returns when a whole lease that was renewed at now has certainly ended on
// the worker.
func (cfg Config) leaseEnd(now model.Instant) model.Instant {
	return leaseEndOf(now, cfg.leaseDuration())
}

// leaseEndOf returns when a lease of a duration that was granted at now has certainly ended
// on the worker.
func leaseEndOf(now model.Instant, lease time.Duration) model.Instant {
	return now.Add(lease + lease/leaseDriftDivisor + leaseMargin)
}

// leaseUntil returns the longest lease, counted from a heartbeat that arrived at now, that
// has certainly ended at end; 0 if there is none.
func (cfg Config) leaseUntil(now, end model.Instant) time.Duration {
	left := end.Sub(now) - leaseMargin
	return max(0, min(left-left/(leaseDriftDivisor+1)-time.Millisecond, cfg.leaseDuration()))
}
