package flow

import (
	"time"

	"guavarail/core/model"
)

const (
	// simLeaveTimeout is how long a leaving worker waits for the acknowledgement of its
	// announcement before it exits anyway.
	simLeaveTimeout = 3 * time.Second
	// simNotedAfter is the time after which an end that a worker has listed counts as
	// known, without a fault near.
	simNotedAfter = 100 * time.Millisecond
)

// simLeaves makes workers of a simulation leave one after the other, and replaces each.
type simLeaves struct {
	sim *simulation
	// lastLists is set if workers list their last ends just before they announce their exit.
	lastLists bool
	// silent is set if workers send no heartbeats after the announcement.
	silent bool
	// stay is how long a worker drains, and early how much longer it says it will.
	stay, early time.Duration
	num         int
	// lost holds, for each task that was lost with its worker, when that exited, and
	// restarts the times from an exit to the next start of such a task.
	lost     map[TaskID]model.Instant
	restarts []time.Duration
}

// every makes a random worker leave at intervals, until a time.
func (le *simLeaves) every(interval time.Duration, until model.Instant) {
	sim := le.sim
	le.lost = map[TaskID]model.Instant{}
	sim.observer = le
	for at := sim.now.Add(interval); at < until; at = at.Add(interval) {
		sim.at(at, func() { le.drain(sim.workers[sim.rng.IntN(len(sim.workers))]) })
	}
}

func (le *simLeaves) drain(wk *workerSim) {
	sim := le.sim
	if !wk.up || wk.draining {
		return
	}
	startedAt := wk.startedAt
	wk.draining, wk.exitsAt = true, sim.now.Add(le.stay+le.early)
	sim.at(sim.now.Add(le.stay), func() {
		if !wk.up || wk.startedAt != startedAt {
			return
		}
		if le.lastLists {
			sim.sendHeartbeat(wk)
		}
		wk.silent = le.silent
		sim.announceExit(wk, func() {
			for _, id := range wk.tasks() {
				le.lost[id] = sim.now
			}
		})
		le.num++
		name := "n" + time.Duration(le.num).String()
		sim.addWorker(name, name, wk.size)
	})
}

func (le *simLeaves) started(id TaskID) {
	if at, ok := le.lost[id]; ok {
		le.restarts = append(le.restarts, le.sim.now.Sub(at))
		delete(le.lost, id)
	}
}

func (*simLeaves) ended(TaskID)         {}
func (*simLeaves) recorded(RecordEvent) {}

// announceExit makes a worker announce its exit to the leader. It exits once it gets the
// acknowledgement, or after simLeaveTimeout. before is called when it does.
func (sim *simulation) announceExit(wk *workerSim, before func()) {
	startedAt := wk.startedAt
	exit := func() {
		if wk.up && wk.startedAt == startedAt {
			sim.advance(wk)
			before()
			sim.exit(wk)
		}
	}
	sim.at(sim.now.Add(simLeaveTimeout), exit)
	sim.at(sim.after(sim.delayMs()), func() {
		if sim.leader == nil {
			return
		}
		sim.lastLeaveID++
		sim.openLeaves[sim.lastLeaveID] = exit
		sim.step(sim.leader, Leave{LeaveID: sim.lastLeaveID, Worker: model.WorkerID(wk.name), StartedAt: startedAt})
	})
}

// answerLeave delivers the acknowledgement of an announced exit, or loses it.
func (sim *simulation) answerLeave(ans LeaveAnswer) {
	exit := sim.openLeaves[ans.LeaveID]
	delete(sim.openLeaves, ans.LeaveID)
	if exit != nil && !ans.Refused && sim.rng.Float64() >= sim.lostShare {
		sim.at(sim.after(2), exit)
	}
}

// noteListed records the successes that a heartbeat lists.
func (sim *simulation) noteListed(msg Heartbeat) {
	if sim.listed == nil {
		return
	}
	for _, er := range msg.Ended {
		if _, ok := sim.listed[er.Task]; !ok && er.Outcome == Succeeded && !sim.specs[er.Task.job][er.Task.step].LongRunning {
			sim.listed[er.Task] = sim.now
		}
	}
}

// checkListed records a violation if a task starts though its success was listed.
func (sim *simulation) checkListed(id TaskID) {
	if at, ok := sim.listed[id]; ok && sim.now.Sub(at) > simNotedAfter {
		sim.violated("%v starts %v after its success was listed", id, sim.now.Sub(at))
	}
}

// delayMs is the longest time, in milliseconds, that a message takes on its way.
func (sim *simulation) delayMs() int {
	if sim.maxDelay == 0 {
		return 2
	}
	return int(sim.maxDelay.Milliseconds())
}
