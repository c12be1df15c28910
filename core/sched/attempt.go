package sched

import (
	"guavarail/core/model"
)

// liveAttempt is the leader-only state of one attempt on a worker.
type liveAttempt struct {
	ref     ref
	attempt model.Attempt
	// size is the commitment as it is counted in Planner.accounts.
	size amount
	// peak is the largest usage that was reported.
	peak amount
	// borrowed: the attempt is borrowed, see the package comment.
	borrowed bool
	// reportedRunning: the last report of the worker lists the attempt as
	// running, so the next answer renews its lease. It is cleared when a
	// stopping attempt is not renewed any longer (stopRenewalTime).
	reportedRunning bool
	// recordPending: an End or Confirm of the attempt is queued or is part of
	// the proposal in flight.
	recordPending bool
	// mayHaveRun: the start order may have been sent before the worker
	// restarted or the leader changed. It is not sent again, because an attempt
	// is started at most once (P3).
	mayHaveRun bool
	// leaseExpired: the lease has expired. It is never renewed again, because
	// the next attempt of the task may then start, and only one may run (P2).
	leaseExpired bool
	// leaseFrom is the time from which the leader counts the lease: the receipt
	// of the last report that renewed it, the issue of the start order, or the
	// time of addAttempt before either.
	leaseFrom model.Instant
	// orderedAt is the time of the last order, 0 for none. A stop request sets
	// it to 0, so that the stop order is sent at once. For an attempt that runs
	// when it is added, it is the time of addAttempt at first, from which the
	// checkpoint interval counts.
	orderedAt stamp
	// recordedAt is the time at which the attempt was added to the leader-only
	// state, replaced by the time of the stop request if there is one.
	recordedAt stamp
	// overSince is the time since which the usage exceeds a commitment that
	// cannot grow; 0 while that is not the case.
	overSince stamp
	// runTime is the expected run time of the attempt in units of stampUnit, 0
	// if it is unknown. stopping: its stop was requested.
	runTime  uint32
	stopping bool
	// throttleForGrowth and throttleForService: the attempt must be limited to
	// its commitment, because its usage exceeds it or because it slows a
	// service. throttled: the worker reported that it limits the attempt.
	throttleForGrowth, throttleForService, throttled bool
}

func (la *liveAttempt) task() *task { return la.ref.task() }

// poll is the last poll of a worker.
type poll struct {
	id       uint64
	worker   model.WorkerID
	received model.Instant
	// open: the poll has not been answered yet.
	open bool
}

// workerStatus is the leader-only state of one worker.
type workerStatus struct {
	poll poll
	// lastReport is the time of the last report. reporting is false before the
	// first report to this leader and once lastReport is older than
	// reportTimeout.
	lastReport model.Instant
	reporting  bool
	attempts   []liveAttempt
	// unrecordedOrders are the orders for unrecorded attempts: those that the
	// last report lists but the state does not have on this worker.
	// unrecordedOrdersSentAt is the time at which such orders were last sent, 0
	// for never.
	unrecordedOrders       []Order
	unrecordedOrdersSentAt model.Instant
	// lastTag is the tag of the last report that was handled, see Answer.Tag.
	lastTag uint64
	// nextExpiry is a time before which no lease on the worker expires; 0 to
	// check all leases at the next tick.
	nextExpiry model.Instant
	// reservation keeps room on the worker for a waiting task, nil for none.
	reservation *reservation
	// services lists the services on the worker whose tail latency was measured
	// within serviceTimeout.
	services []measuredService
	// shrunk: the worker reported a size smaller than its commitments.
	shrunk bool
}

// ensureStatus returns the status of the worker with the given index, and adds
// an empty one if there is none.
func (pl *Planner[P]) ensureStatus(idx int32) *workerStatus {
	for int(idx) >= len(pl.statuses) {
		pl.statuses = append(pl.statuses, workerStatus{})
	}
	return &pl.statuses[idx]
}

// addAttempt adds a live attempt to the leader-only state. Its lease counts
// from leasedSince, the checkpoint interval of a running attempt from now.
func (pl *Planner[P]) addAttempt(now model.Instant, idx int32, re ref) {
	tk := re.task()
	wst := pl.ensureStatus(idx)
	ordered, recorded := stamp(0), stampOf(now)
	switch tk.state {
	case Running:
		ordered = stampOf(now)
	case Stopping:
		recorded = stampOf(tk.since(now))
	}
	wst.attempts = append(wst.attempts, liveAttempt{
		ref: re, attempt: tk.attempt, size: tk.size, borrowed: tk.borrowed, leaseFrom: pl.leasedSince(now, idx), recordedAt: recorded, orderedAt: ordered,
		runTime: pl.expectedRunTime(&re.job.spec), stopping: tk.state == Stopping,
	})
	wst.nextExpiry = 0
	if re.job.spec.Priority == model.Batch {
		pl.batchAttempts++
	}
	pl.accounts.add(re.job.spec, tk.size.resources(), tk.borrowed)
	pl.queue.addToRack(re.job, pl.index.RackOf(pl.st.workers[idx].rack), 1)
}
