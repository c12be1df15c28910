package flow

import (
	"slices"

	"guavarail/core/model"
)

// keptRoomTimeout bounds how long room is kept for a task for which runs were
// stopped, so that it doesn't stay idle if the task cannot use it.
const keptRoomTimeout = maxStopTime

// keptRoom is room on a worker for one task of a restart for which runs were
// stopped there. Unlike other claims it lasts from plan to plan, and binds all
// tasks but restarts of higher priority.
type keptRoom struct {
	worker *worker
	holder readyStep
	// until is when it ends unless the task has started before.
	until model.Instant
}

// binds reports whether a task of rs must leave the room free.
func (kr *keptRoom) binds(rs *readyStep) bool {
	if !rs.restart {
		return true
	}
	return rs.state() != kr.holder.state() && rs.job.spec.Priority >= kr.holder.job.spec.Priority
}

// keep keeps room on a worker for one task of rs. The caller claims it for the
// current plan.
func (pl *Planner) keep(now model.Instant, rs *readyStep, wk *worker) {
	pl.kept = append(pl.kept, keptRoom{worker: wk, holder: *rs, until: now.Add(keptRoomTimeout)})
	wk.claims.kept = append(wk.claims.kept, pl.kept[len(pl.kept)-1])
	wk.claims.markKept(rs.state())
}

// renewKept drops room that is no longer kept and claims the rest for the current
// plan, as part of the claims that it may make.
func (pl *Planner) renewKept(now model.Instant) {
	rest := pl.kept[:0]
	for _, kr := range pl.kept {
		if pl.usable(now, &kr) && countKept(rest, &kr.holder) < kr.holder.waitingTasks() {
			rest = append(rest, kr)
		}
	}
	// A part of a gang cannot use its room alone.
	rest = slices.DeleteFunc(slices.Clone(rest), func(kr keptRoom) bool {
		return kr.holder.spec.Gang && countKept(rest, &kr.holder) < kr.holder.waitingTasks()
	})
	clear(pl.kept)
	pl.kept = append(pl.kept[:0], rest...)
	for _, kr := range pl.kept {
		cl := &kr.worker.claims
		cl.add(kr.holder.state(), kr.holder.spec.reservation(), stopDelay)
		cl.markKept(kr.holder.state())
		cl.kept = append(cl.kept, kr)
	}
	pl.claimsLeft = max(0, pl.claimsLeft-len(pl.kept))
}

// usable reports whether a task can still be expected to start in the room.
func (pl *Planner) usable(now model.Instant, kr *keptRoom) bool {
	wk, ok := pl.workers.get(kr.worker.incarnation.worker)
	if !ok || wk != kr.worker || !now.Before(kr.until) || kr.holder.job.status.Final() {
		return false
	}
	// The seat of the plan in which the room was first kept is out of date.
	if kr.holder.seat = pl.seatOf(kr.holder.job); !pl.withinQuota(&kr.holder) {
		return false
	}
	free := wk.free()
	for _, pr := range wk.runs {
		if pr.leaving(now) {
			free = free.Add(pr.size)
		}
	}
	return pl.ineligible(now, wk, &kr.holder) == notRejected && kr.holder.spec.reservation().FitsIn(free)
}

// countKept counts the tasks of rs for which room is kept.
func countKept(kept []keptRoom, rs *readyStep) int {
	num := 0
	for i := range kept {
		if kept[i].holder.state() == rs.state() {
			num++
		}
	}
	return num
}

// keptFor returns for how many tasks of a restart room is kept.
func (pl *Planner) keptFor(rs *readyStep) int {
	if !rs.restart {
		return 0
	}
	return countKept(pl.kept, rs)
}

// releaseKept ends the keeping of room for one task of rs, which starts on a
// worker.
func (pl *Planner) releaseKept(rs *readyStep, wk *worker) {
	if pl.keptFor(rs) == 0 {
		return
	}
	wk.claims.drop(rs.state())
	wk.claims.kept = slices.DeleteFunc(wk.claims.kept, func(kr keptRoom) bool { return kr.holder.state() == rs.state() })
	pos := slices.IndexFunc(pl.kept, func(kr keptRoom) bool { return kr.worker == wk && kr.holder.state() == rs.state() })
	if pos >= 0 {
		pl.kept = slices.Delete(pl.kept, pos, pos+1)
	}
}

// freeFor returns what is free on the worker for a restart beside the room that is
// kept for others.
func (wk *worker) freeFor(rs *readyStep) model.Resources {
	free := wk.free()
	for i := range wk.claims.kept {
		if kr := &wk.claims.kept[i]; kr.binds(rs) {
			free = free.Sub(kr.holder.spec.reservation())
		}
	}
	return free.Max(model.Resources{})
}
