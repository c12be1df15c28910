package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// drainingLease is the lease of a draining worker. It is shorter than that of others,
	// because what runs when the worker exits starts again only once the lease has ended.
	drainingLease = 3 * time.Second
	// exitStopMargin and lastStopMargin are how long before the exit of a draining worker, in
	// addition to Config.StopTime, the runs are stopped that are not expected to end in time,
	// and then all others. The last ones are listed before the exit.
	exitStopMargin = 400 * time.Millisecond
	lastStopMargin = 150 * time.Millisecond
	// listDelay is the time from the end of a run until its worker has listed it.
	listDelay = 100 * time.Millisecond
)

// noteDraining records until when, at least, a draining worker goes on, as a heartbeat tells that
// was sent at sentAt.
func (wk *worker) noteDraining(sentAt model.Instant, hb *Heartbeat) {
	wk.draining = hb.Draining
	if !hb.Draining {
		wk.staysUntil = 0
		return
	}
	wk.staysUntil = max(wk.staysUntil, sentAt.Add(hb.Remaining))
}

// stopBeforeExit stops the runs of a draining worker shortly before it exits. Their ends are then
// listed, so that their tasks start again without a wait for the end of the lease, and from a
// checkpoint if they make any.
func (pl *Planner) stopBeforeExit(now model.Instant, wk *worker) {
	left := wk.staysUntil.Sub(now)
	if !wk.draining || left > pl.config.stopTime()+exitStopMargin {
		return
	}
	last := left <= pl.config.stopTime()+lastStopMargin
	for _, pr := range wk.runs {
		if !pr.planned && !pr.ending && !pr.evicting && (last || !pr.endsWithin(now, left)) {
			pl.evictFrom(wk, pr)
		}
	}
}

// endsWithin reports whether the run is expected to end, and to be listed, within a time.
func (pr *placedRun) endsWithin(now model.Instant, left time.Duration) bool {
	return !pr.spec.LongRunning && pr.remaining(now)+listDelay <= left
}

// evictFrom marks a run for eviction because its worker will be unavailable.
func (pl *Planner) evictFrom(wk *worker, pr *placedRun) {
	pr.evicting, pr.unwantedSince, pl.dirty, pl.recheckAnswers = true, 0, true, true
	wk.claims.listed = false
	pl.recordEvent("runDrained", pr.task.job, pr.task.String(), wk.incarnation.String(), "attempt", strconv.Itoa(pr.attempt),
		"percent", strconv.Itoa(pr.percent), "checkpoint", strconv.FormatBool(pr.checkpoint != ""))
}

// leaseOf returns the duration of the lease that an answer grants to a worker.
func (pl *Planner) leaseOf(wk *worker) time.Duration {
	if wk.draining {
		return min(drainingLease, pl.config.leaseDuration())
	}
	return pl.config.leaseDuration()
}

// delayBeforeExit returns the delay of the next heartbeat of a worker, so that a draining worker
// sends one whenever runs are to be stopped.
func (pl *Planner) delayBeforeExit(now model.Instant, wk *worker) time.Duration {
	delay := pl.heartbeatDelay()
	if !wk.draining || len(wk.runs) == 0 {
		return delay
	}
	for _, margin := range []time.Duration{exitStopMargin, lastStopMargin} {
		if left := wk.staysUntil.Sub(now) - pl.config.stopTime() - margin; left > 0 {
			return min(delay, max(left, idleHeartbeatDelay))
		}
	}
	return delay
}
