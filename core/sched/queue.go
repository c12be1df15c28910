package sched

import (
	"guavarail/core/model"
	"guavarail/core/place"
)

// waiting is one task that waits for a worker.
type waiting struct {
	index int32
	since model.Instant
}

// backlog is a job with tasks that wait.
type backlog struct {
	job  *job
	team *line
	// tasks wait from head on, oldest first.
	tasks []waiting
	head  int
	// listed: the backlog is in its team's line.
	listed bool
	// racks counts the live tasks of a service in each rack.
	racks place.Racks
	// reason is why the oldest task waits.
	reason Reason
	// holds are workers where room is being made for the oldest tasks.
	holds []int32
}

// line is the queue of one team, by priority.
type line struct {
	team model.TeamID
	jobs [model.Urgent + 1][]*backlog
	// cursor is the job to try next in the current round.
	cursor int
	share  float64
}

// queue holds the waiting tasks of all teams. The zero value is empty.
type queue struct {
	jobs  map[*job]*backlog
	teams map[model.TeamID]*line
	// lines has the teams in the order in which they first had a task.
	lines []*line
}

// rebuild fills the queue from the state; all tasks count as waiting since
// now.
func (qu *queue) rebuild(st *State, now model.Instant) {
	for _, jb := range st.inOrder() {
		qu.submit(jb, now)
	}
}

// submit queues the waiting tasks of a job.
func (qu *queue) submit(jb *job, now model.Instant) {
	if jb.open == 0 || jb.closed != NoReason {
		return
	}
	for i := range jb.tasks {
		if jb.tasks[i].state == Waiting {
			qu.push(ref{job: jb, index: int32(i)}, now)
		}
	}
}

func (qu *queue) backlog(jb *job) *backlog {
	bl, ok := qu.jobs[jb]
	if ok {
		return bl
	}
	if qu.jobs == nil {
		qu.jobs = map[*job]*backlog{}
		qu.teams = map[model.TeamID]*line{}
	}
	ln, ok := qu.teams[jb.spec.Team]
	if !ok {
		ln = &line{team: jb.spec.Team}
		qu.teams[jb.spec.Team] = ln
		qu.lines = append(qu.lines, ln)
	}
	bl = &backlog{job: jb, team: ln, reason: ReasonQueued}
	qu.jobs[jb] = bl
	return bl
}

func (qu *queue) push(re ref, since model.Instant) {
	bl := qu.backlog(re.job)
	bl.tasks = append(bl.tasks, waiting{index: re.index, since: since})
	if !bl.listed {
		bl.listed = true
		pri := re.job.spec.Priority
		bl.team.jobs[pri] = append(bl.team.jobs[pri], bl)
	}
}

// forget drops a job that has no open task.
func (qu *queue) forget(jb *job) {
	if bl, ok := qu.jobs[jb]; ok {
		bl.tasks, bl.head = nil, 0
		delete(qu.jobs, jb)
	}
}

// occupy counts a live task of a service in a rack.
func (qu *queue) occupy(jb *job, rack, delta int32) {
	if jb.spec.Priority == model.Service {
		qu.backlog(jb).racks.Add(rack, delta)
	}
}

// peek returns the oldest task that still waits.
func (bl *backlog) peek() (waiting, bool) {
	if bl.job.closed != NoReason {
		bl.tasks, bl.head = nil, 0
	}
	for bl.head < len(bl.tasks) {
		wt := bl.tasks[bl.head]
		if bl.job.tasks[wt.index].state == Waiting {
			return wt, true
		}
		bl.head++
	}
	bl.tasks, bl.head = bl.tasks[:0], 0
	return waiting{}, false
}

// compact removes the jobs without waiting tasks.
func (ln *line) compact(pri model.Priority) []*backlog {
	kept := ln.jobs[pri][:0]
	for _, bl := range ln.jobs[pri] {
		if _, ok := bl.peek(); ok {
			kept = append(kept, bl)
			continue
		}
		bl.listed = false
	}
	clear(ln.jobs[pri][len(kept):])
	ln.jobs[pri] = kept
	return kept
}

// fairness orders teams by their weighted dominant share, lowest first.
type fairness []*line

func (fa fairness) Len() int           { return len(fa) }
func (fa fairness) Less(i, j int) bool { return fa[i].share < fa[j].share }
func (fa fairness) Swap(i, j int)      { fa[i], fa[j] = fa[j], fa[i] }

// Push implements heap.Interface.
func (fa *fairness) Push(val any) { *fa = append(*fa, val.(*line)) }

// Pop implements heap.Interface.
func (fa *fairness) Pop() any {
	last := len(*fa) - 1
	val := (*fa)[last]
	*fa = (*fa)[:last]
	return val
}
