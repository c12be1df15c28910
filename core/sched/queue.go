package sched

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/place"
)

// waitingTask is a task that waits for a worker: its index in the job and the
// time since which it waits.
type waitingTask struct {
	index int32
	since model.Instant
}

// backlog holds the waiting tasks of one job.
type backlog struct {
	job  *job
	team *teamQueue
	// waiting holds the waiting tasks, restarts first, then oldest first. Entries
	// before head were removed; entries from head on whose task no longer waits are
	// skipped.
	waiting []waitingTask
	head    int
	// queued: the backlog is listed in team.backlogs.
	queued bool
	// racks counts the live tasks in each rack; only for services.
	racks place.Racks
	// reason is why the oldest task has not been placed.
	reason Reason
	// reservations keep room for the oldest waiting tasks.
	reservations []*reservation
	// progressAt is the time at which the job last started a task, or else was
	// queued first.
	progressAt model.Instant
	// claimAfter is the time before which no worker to claim is searched, and
	// claimRetryIn the interval up to it after a search that found none.
	claimAfter   model.Instant
	claimRetryIn time.Duration
	// renewals counts how often the present claim was compared with other
	// workers.
	renewals int
}

// teamQueue holds the backlogs of one team by priority.
type teamQueue struct {
	team     model.TeamID
	backlogs [model.Urgent + 1][]*backlog
	// cursor is the number of jobs that were tried in the call of startByShare
	// being made.
	cursor int
	// turn is, by priority, the index at which the part of the backlogs begins that
	// gets its turn in the plan being made, see tried.
	turn [model.Urgent + 1]int
	// quotaHolder is the first job in the order that waits for quota in the plan
	// being made, nil for none. heldQuota is the need of its oldest task, which
	// later jobs leave free.
	quotaHolder *backlog
	heldQuota   model.Resources
	// share is the weighted dominant share, valid during startByShare.
	share float64
}

// queue holds the waiting tasks of all teams. The zero value is empty.
type queue struct {
	jobs  map[*job]*backlog
	teams map[model.TeamID]*teamQueue
	// teamOrder lists the teams in the order in which their first task was
	// queued.
	teamOrder []*teamQueue
}

// rebuild fills the queue from the state.
func (qu *queue) rebuild(st *State, now model.Instant) {
	for _, jb := range st.inOrder() {
		qu.submit(jb, now)
	}
}

// submit queues the waiting tasks of a job, the oldest first.
func (qu *queue) submit(jb *job, now model.Instant) {
	if jb.open == 0 || jb.closeReason != NoReason {
		return
	}
	var waiting []waitingTask
	for i := range jb.tasks {
		if tk := &jb.tasks[i]; tk.state == Waiting {
			waiting = append(waiting, waitingTask{index: int32(i), since: tk.since(now)})
		}
	}
	slices.SortStableFunc(waiting, func(one, two waitingTask) int { return cmp.Compare(one.since, two.since) })
	for _, wt := range waiting {
		qu.push(ref{job: jb, index: wt.index}, wt.since)
	}
}

// backlog returns the backlog of a job, and adds an empty one if there is none.
func (qu *queue) backlog(jb *job) *backlog {
	bl, ok := qu.jobs[jb]
	if ok {
		return bl
	}
	if qu.jobs == nil {
		qu.jobs = map[*job]*backlog{}
		qu.teams = map[model.TeamID]*teamQueue{}
	}
	tq, ok := qu.teams[jb.spec.Team]
	if !ok {
		tq = &teamQueue{team: jb.spec.Team}
		qu.teams[jb.spec.Team] = tq
		qu.teamOrder = append(qu.teamOrder, tq)
	}
	bl = &backlog{job: jb, team: tq, reason: ReasonQueued}
	qu.jobs[jb] = bl
	return bl
}

// push queues a task that waits since the given time, as the newest of its job, a
// restart before the others.
func (qu *queue) push(re ref, since model.Instant) {
	bl := qu.backlog(re.job)
	if bl.progressAt == 0 {
		bl.progressAt = since
	}
	pos := len(bl.waiting)
	if re.isRestart() {
		first := slices.IndexFunc(bl.waiting[bl.head:], func(wt waitingTask) bool { return !ref{job: bl.job, index: wt.index}.isRestart() })
		if first >= 0 {
			pos = bl.head + first
		}
	}
	bl.waiting = slices.Insert(bl.waiting, pos, waitingTask{index: re.index, since: since})
	if !bl.queued {
		bl.queued = true
		pri := re.job.spec.Priority
		bl.team.backlogs[pri] = append(bl.team.backlogs[pri], bl)
	}
}

// removeJob removes a job whose tasks are all final.
func (qu *queue) removeJob(jb *job) {
	if bl, ok := qu.jobs[jb]; ok {
		bl.waiting, bl.head = nil, 0
		delete(qu.jobs, jb)
	}
}

// addToRack changes the number of live tasks of a service in a rack by delta.
func (qu *queue) addToRack(jb *job, rack, delta int32) {
	if jb.spec.Priority == model.Service {
		qu.backlog(jb).racks.Add(rack, delta)
	}
}

// peek returns the oldest task that still waits, false if there is none.
func (bl *backlog) peek() (waitingTask, bool) {
	if bl.job.closeReason != NoReason {
		bl.waiting, bl.head = nil, 0
	}
	for bl.head < len(bl.waiting) {
		wt := bl.waiting[bl.head]
		if bl.job.tasks[wt.index].state == Waiting {
			return wt, true
		}
		bl.head++
	}
	bl.waiting, bl.head = bl.waiting[:0], 0
	return waitingTask{}, false
}

// restartSince returns since when the first waiting task has waited if it is a
// restart, else false.
func (bl *backlog) restartSince() (model.Instant, bool) {
	wt, ok := bl.peek()
	return wt.since, ok && ref{job: bl.job, index: wt.index}.isRestart()
}

// compareBacklogs orders jobs with restarts before others, those that have waited
// longest first.
func compareBacklogs(one, two *backlog) int {
	oneSince, oneRestarts := one.restartSince()
	twoSince, twoRestarts := two.restartSince()
	switch {
	case oneRestarts && twoRestarts:
		return cmp.Compare(oneSince, twoSince)
	case oneRestarts:
		return -1
	case twoRestarts:
		return 1
	}
	return 0
}

// tried returns the job that is tried as number num, from 0, in a call of
// startByShare: the first jobsInOrder of the order, and then those whose turn it
// is among the others.
func (tq *teamQueue) tried(pri model.Priority, num int) *backlog {
	jobs := tq.backlogs[pri]
	if num < jobsInOrder {
		return jobs[num]
	}
	others := jobs[jobsInOrder:]
	return others[(tq.turn[pri]+num-jobsInOrder)%len(others)]
}

// nextTurn gives the turn to the jobs after those that the plan has tried.
func (tq *teamQueue) nextTurn() {
	for pri, jobs := range tq.backlogs {
		tq.turn[pri] += maxJobsPerTeam - jobsInOrder
		if len(jobs) <= maxJobsPerTeam || tq.turn[pri] >= len(jobs)-jobsInOrder {
			tq.turn[pri] = 0
		}
	}
}

// compact removes the backlogs of one priority without waiting tasks and
// returns the others, in the order in which their tasks start.
func (tq *teamQueue) compact(pri model.Priority) []*backlog {
	remaining := tq.backlogs[pri][:0]
	for _, bl := range tq.backlogs[pri] {
		if _, ok := bl.peek(); ok {
			remaining = append(remaining, bl)
			continue
		}
		bl.queued = false
	}
	clear(tq.backlogs[pri][len(remaining):])
	if pri == model.Service {
		slices.SortStableFunc(remaining, compareBacklogs)
	}
	tq.backlogs[pri] = remaining
	return remaining
}

// shareHeap is a heap of teams by their weighted dominant share, lowest first.
type shareHeap []*teamQueue

func (sh shareHeap) Len() int           { return len(sh) }
func (sh shareHeap) Less(i, j int) bool { return sh[i].share < sh[j].share }
func (sh shareHeap) Swap(i, j int)      { sh[i], sh[j] = sh[j], sh[i] }

// Push implements heap.Interface.
func (sh *shareHeap) Push(val any) { *sh = append(*sh, val.(*teamQueue)) }

// Pop implements heap.Interface.
func (sh *shareHeap) Pop() any {
	last := len(*sh) - 1
	val := (*sh)[last]
	*sh = (*sh)[:last]
	return val
}
