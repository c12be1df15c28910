package flow

import (
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

// waitEventInterval is the minimum time between two events about waiting tasks
// of a job.
const waitEventInterval = 2 * time.Second

// maxExplained bounds the workers that events about waiting tasks look at in each
// explainWindow, because each event looks at all of them.
const (
	maxExplained  = 20_000
	explainWindow = time.Second
)

// explainBudget bounds the work for events about waiting tasks. The zero value permits it.
type explainBudget struct {
	windowStart model.Instant
	// explained counts the workers that were looked at since windowStart.
	explained int
}

// permit reports whether an event may look at a number of workers now. The first one of a
// window always may.
func (eb *explainBudget) permit(now model.Instant, workers int) bool {
	if now.Sub(eb.windowStart) >= explainWindow {
		*eb = explainBudget{windowStart: now}
	}
	if eb.explained > 0 && eb.explained+workers > maxExplained {
		return false
	}
	eb.explained += workers
	return true
}

// rejection is the reason why a task may not be placed on a worker.
type rejection uint8

const (
	notRejected rejection = iota
	// noHeartbeat means that the worker has not sent a heartbeat to this leader
	// yet.
	noHeartbeat
	otherService
	drainingWorker
	centreOut
	// staleHeartbeat means that the last heartbeat is older than
	// maxHeartbeatAge.
	staleHeartbeat
	quarantinedWorker
	noCapacity
	labelMissing
	perWorkerLimit
	// wouldInterfere means that a filler would lack processors on the worker or
	// make its serving tasks miss their target.
	wouldInterfere
	// hasUnknownRuns means that the worker still has runs that the state does not
	// list; what they reserve is unknown.
	hasUnknownRuns
	// slowWorker means that the worker is far slower than the others.
	slowWorker
	// unstorableWorker means that the log cannot hold a start on the worker.
	unstorableWorker
)

var rejectionNames = [...]string{
	"none", "notHeard", "otherService", "leaving", "centreOut", "silent", "quarantined", "noRoom", "noLabel", "perWorker", "disturbs",
	"strayRuns", "slow", "unstorable",
}

// String returns the name in events, for example "silent" for staleHeartbeat.
func (rj rejection) String() string { return nameOf(rejectionNames[:], int(rj)) }

// rejectionFor returns why a task may not be placed on a worker, or notRejected.
func (pl *Planner) rejectionFor(now model.Instant, wk *worker, rs *readyStep, id TaskID, need model.Resources) rejection {
	if why := pl.ineligible(now, wk, rs); why != notRejected {
		return why
	}
	return wk.noCapacityFor(rs, id, need)
}

// noCapacityFor returns why a task of a step for which a worker is eligible may
// not be placed there, or notRejected.
func (wk *worker) noCapacityFor(rs *readyStep, id TaskID, need model.Resources) rejection {
	switch {
	case !rs.spec.Size.FitsIn(wk.size) || !wk.hasRoom(rs, need):
		return noCapacity
	case rs.spec.PerWorker > 0 && wk.runsOfStep(id) >= rs.spec.PerWorker:
		return perWorkerLimit
	}
	return notRejected
}

// ineligible returns why no task of a step may be placed on a worker, whatever
// capacity is free, or notRejected.
func (pl *Planner) ineligible(now model.Instant, wk *worker, rs *readyStep) rejection {
	why := pl.unavailable(wk)
	if why == noHeartbeat || why != notRejected && wk.service == rs.job.spec.Service {
		return why
	}
	return wk.unsuitable(now, rs)
}

// unavailable returns why no task of any step may be placed on a worker, or
// notRejected.
func (pl *Planner) unavailable(wk *worker) rejection {
	switch {
	case !wk.reported:
		return noHeartbeat
	case wk.unstorable:
		return unstorableWorker
	case wk.closed():
		return drainingWorker
	case pl.outage[wk.centre]:
		return centreOut
	case pl.stale(wk):
		return staleHeartbeat
	case len(wk.unknownRuns) > 0:
		return hasUnknownRuns
	}
	return notRejected
}

// unsuitable returns why no task of a step may be placed on a worker that may get
// tasks, or notRejected.
func (wk *worker) unsuitable(now model.Instant, rs *readyStep) rejection {
	switch {
	case wk.service != rs.job.spec.Service:
		return otherService
	case now.Before(wk.slowUntil) && !rs.spec.LongRunning:
		return slowWorker
	case wk.health.quarantined(now) && !rs.spec.LongRunning:
		return quarantinedWorker
	case rs.spec.RequiredLabel != "" && !slices.Contains(wk.labels, rs.spec.RequiredLabel):
		return labelMissing
	}
	return notRejected
}

// recordStarts records an event with the number of tasks of a step that were
// placed, their kind, the time since the occurrence was due, the slack of the step,
// and whether its job was starved.
func (pl *Planner) recordStarts(now model.Instant, rs readyStep, started int) {
	if started == 0 {
		return
	}
	pl.recordEvent("tasksStarted", rs.job.ID(), "", "", "occurrence", strconv.Itoa(rs.occurrenceIndex), "step", strconv.Itoa(rs.step),
		"kind", rs.kind(), "tasks", strconv.Itoa(started), "waiting", strconv.Itoa(rs.occ.steps[rs.step].idleTasks-started),
		"ageMs", strconv.FormatInt(pl.wall(now)-rs.job.due(rs.occurrenceIndex), 10),
		"slackMs", strconv.FormatInt(rs.slack.Milliseconds(), 10), "starved", strconv.FormatBool(rs.starved))
}

// kind returns the kind of the tasks of rs in events.
func (rs *readyStep) kind() string {
	switch {
	case rs.restart:
		return "restart"
	case rs.spec.LongRunning:
		return "longRunning"
	case rs.spec.Filler:
		return "filler"
	}
	return "ordinary"
}

// recordWait records an event for a task for which no worker is eligible, with
// the number of workers by reason of rejection, at most once per job and
// waitEventInterval, and within the explainBudget. For workers without room it has what
// they lack and which runs hold it, and for the restart of a long-running task how long
// it has had no run and for how many tasks capacity is claimed.
func (pl *Planner) recordWait(now model.Instant, rs readyStep, id TaskID, claimed int) {
	if rs.job.waitRecordedAt > 0 && now.Sub(rs.job.waitRecordedAt) < waitEventInterval || !pl.explain.permit(now, len(pl.workers.sorted)) {
		return
	}
	rs.job.waitRecordedAt = now
	var counts [len(rejectionNames)]int
	var short shortage
	need := rs.spec.reservation()
	for _, wk := range pl.workers.sorted {
		why := pl.rejectionFor(now, wk, &rs, id, need)
		if why == notRejected {
			// The task is a filler: what it reserves fits, but it would lack
			// processors or make serving tasks miss their target.
			why = wouldInterfere
		}
		if why == noCapacity {
			short.add(wk, &rs, need)
		}
		counts[why]++
	}
	pairs := []string{
		"step", strconv.Itoa(rs.step), "waiting", strconv.Itoa(rs.occ.steps[rs.step].idleTasks),
		"ageMs", strconv.FormatInt(pl.wall(now)-rs.job.due(rs.occurrenceIndex), 10),
		"milliCpu", strconv.FormatInt(rs.spec.Size.MilliCPU(), 10), "memoryMb", strconv.FormatInt(rs.spec.Size.MemoryMB(), 10),
	}
	for why, num := range counts {
		if num > 0 {
			pairs = append(pairs, rejection(why).String(), strconv.Itoa(num))
		}
	}
	if counts[noCapacity] > 0 {
		pairs = append(pairs, short.pairs()...)
	}
	if rs.beyondShare {
		pairs = append(pairs, "reason", "share", "workspace", string(rs.job.spec.Workspace))
	}
	if rs.spec.LongRunning {
		pairs = append(pairs, "longRunning", "true")
	}
	if rs.restart {
		pairs = append(pairs, "downMs", strconv.FormatInt(now.Sub(rs.waitingSince).Milliseconds(), 10), "claimed", strconv.Itoa(claimed))
	}
	pl.recordEvent("tasksWait", id.job, id.String(), "", pairs...)
}

// recordQuotaWait records an event for a step that waits for the quota of its workspace, as
// often as recordWait. A gang that exceeds the whole quota waits until the quota changes.
func (pl *Planner) recordQuotaWait(now model.Instant, rs *readyStep, id TaskID) {
	if rs.job.waitRecordedAt > 0 && now.Sub(rs.job.waitRecordedAt) < waitEventInterval || !pl.explain.permit(now, len(pl.workers.sorted)) {
		return
	}
	rs.job.waitRecordedAt = now
	cu, need := rs.seat.Customer(), rs.quotaNeed()
	pl.recordEvent("tasksWait", id.job, id.String(), "", "step", strconv.Itoa(rs.step), "waiting", strconv.Itoa(rs.state().idleTasks),
		"reason", "quota", "workspace", string(rs.job.spec.Workspace),
		"milliCpu", strconv.FormatInt(need.MilliCPU(), 10), "memoryMb", strconv.FormatInt(need.MemoryMB(), 10), "gpus", strconv.FormatInt(need.Accelerators(), 10),
		"usedMilliCpu", strconv.FormatInt(cu.Used().MilliCPU(), 10), "usedMemoryMb", strconv.FormatInt(cu.Used().MemoryMB(), 10),
		"exceedsQuota", strconv.FormatBool(!cu.CanEverHave(need)))
}

// recordHeldBack records an event for a new long-running task that would take the room which
// endangered ones need or ordinary ones ask for, at most once per job and
// waitEventInterval.
func (pl *Planner) recordHeldBack(now model.Instant, rs *readyStep, id TaskID) {
	if rs.job.waitRecordedAt > 0 && now.Sub(rs.job.waitRecordedAt) < waitEventInterval {
		return
	}
	rs.job.waitRecordedAt = now
	ro := pl.roomOf(rs.job.spec.Service)
	ordinary := ro.headroom[rs.job.spec.Priority].size.Sub(ro.endangered.size)
	pl.recordEvent("startHeldBack", id.job, id.String(), "", "waiting", strconv.Itoa(rs.waitingTasks()),
		"milliCpu", strconv.FormatInt(rs.spec.Size.MilliCPU(), 10), "memoryMb", strconv.FormatInt(rs.spec.Size.MemoryMB(), 10),
		"roomMilliCpu", strconv.FormatInt(ro.room.MilliCPU(), 10), "roomMemoryMb", strconv.FormatInt(ro.room.MemoryMB(), 10),
		"endangeredMilliCpu", strconv.FormatInt(ro.endangered.size.MilliCPU(), 10), "endangeredMemoryMb", strconv.FormatInt(ro.endangered.size.MemoryMB(), 10),
		"ordinaryMilliCpu", strconv.FormatInt(ordinary.MilliCPU(), 10), "ordinaryMemoryMb", strconv.FormatInt(ordinary.MemoryMB(), 10))
}
