package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

// renewLeaderLease records the end of the leader lease. The time since the end of the
// last lease that was held doesn't count as silence of the workers, because this leader
// has refused their heartbeats.
func (pl *Planner) renewLeaderLease(now, until model.Instant) {
	pl.leaseUntil = until
	if !now.Before(until) {
		return
	}
	lapsedAt := pl.heldUntil
	pl.heldUntil = until
	if pl.leading && lapsedAt.Before(now) {
		pl.excuseSilence(lapsedAt, now.Sub(lapsedAt))
	}
}

// excuseSilence postpones by dur when the workers count as silent and when their runs
// are given up, unless their lease had ended at lapsedAt. A run that ended in that time
// would start again otherwise, though its worker only found no leader that took the
// report of the end.
func (pl *Planner) excuseSilence(lapsedAt model.Instant, dur time.Duration) {
	pl.recordEvent("leaseRegained", "", "", "", "lapsedMs", strconv.FormatInt(dur.Milliseconds(), 10))
	for _, workers := range [][]*worker{pl.workers.sorted, pl.formerWorkers} {
		for _, wk := range workers {
			if lapsedAt.Before(wk.leaseEnd) {
				wk.excused += dur
				wk.leaseEnd = wk.leaseEnd.Add(dur)
			}
		}
	}
}
