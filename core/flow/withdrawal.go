package flow

import (
	"time"

	"guavarail/core/model"
)

const (
	// withdrawalRetention is for how long a cancellation of an unknown job is kept. Calls are
	// on their way for less: callers wait for seconds, and a frozen VM is cut off.
	withdrawalRetention = 2 * time.Minute
	// maxWithdrawals bounds the cancellations that are kept; the oldest one is dropped.
	maxWithdrawals = 4096
	// maxWithdrawnID bounds the identifier of a job, in bytes, whose cancellation is kept.
	maxWithdrawnID = maxName
)

// Withdrawal is the cancellation of a job that the state did not know. The submission may
// still be on its way, and must not be accepted when it arrives.
type Withdrawal struct {
	Job model.JobID
	// Workspace is that of the caller, "" for none.
	Workspace model.WorkspaceID
	// AtMs is when the leader got the cancellation, in milliseconds since 1970.
	AtMs int64
}

// withdrawnJob identifies a withdrawn job. Workspaces may use the same identifier.
type withdrawnJob struct {
	id        model.JobID
	workspace model.WorkspaceID
}

// withdrawals holds the cancellations of unknown jobs. The zero value has none.
type withdrawals struct {
	// byAge has them in log order, each job once, at most maxWithdrawals.
	byAge []Withdrawal
	// atMs has Withdrawal.AtMs of each.
	atMs map[withdrawnJob]int64
}

// add keeps a cancellation and drops those that are out of date. One without a time, from a
// leader of an earlier version, is not kept.
func (wi *withdrawals) add(wd Withdrawal) {
	if wd.AtMs == 0 || len(wd.Job) > maxWithdrawnID {
		return
	}
	for len(wi.byAge) > 0 && outdated(wi.byAge[0].AtMs, wd.AtMs) {
		wi.dropOldest()
	}
	key := withdrawnJob{id: wd.Job, workspace: wd.Workspace}
	if _, known := wi.atMs[key]; known {
		return
	}
	if len(wi.byAge) == maxWithdrawals {
		wi.dropOldest()
	}
	if wi.atMs == nil {
		wi.atMs = map[withdrawnJob]int64{}
	}
	wi.byAge = append(wi.byAge, wd)
	wi.atMs[key] = wd.AtMs
}

// dropOldest drops the oldest cancellation.
func (wi *withdrawals) dropOldest() {
	oldest := wi.byAge[0]
	delete(wi.atMs, withdrawnJob{id: oldest.Job, workspace: oldest.Workspace})
	wi.byAge = wi.byAge[1:]
}

// has reports whether a job that is submitted has been cancelled before.
func (wi *withdrawals) has(jo Job) bool {
	atMs, ok := wi.atMs[withdrawnJob{id: jo.ID(), workspace: jo.spec.Workspace}]
	return ok && !outdated(atMs, jo.spec.AcceptedMs)
}

// outdated reports whether a cancellation is no longer kept at a time.
func outdated(atMs, nowMs int64) bool { return nowMs-atMs > withdrawalRetention.Milliseconds() }
