package flow

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"guavarail/core/model"
)

const (
	// maxIdle is how long a long-running task may have no run while there is room
	// for it.
	maxIdle = 6 * time.Second
	// watchInterval is the time between two looks of the watch. Each third look
	// counts, so that the looks of a violation are 1.5 s apart.
	watchInterval = 500 * time.Millisecond
	// watchSpan is the time from the first to the last look of a violation, and
	// calmSpan the calm time that ends with the last.
	watchSpan = 3 * time.Second
	calmSpan  = 7 * time.Second
	// watchMask has a bit for each look of a violation, the last one first.
	watchMask = 1<<0 | 1<<3 | 1<<6
	// minRoom is the number of tasks for which there must be room.
	minRoom = 2
)

// idleWatch records a violation if a task of an accepted job stays without a run
// while workers have room for it.
type idleWatch struct {
	sim *simulation
	ld  *simLoad
	fa  *simFaults
	// lastEnd holds when the last run of a task ended, endKnown when a leader
	// recorded an end of it, by its name, and lastStart when the last run of a job
	// started.
	lastEnd   map[TaskID]model.Instant
	endKnown  map[string]model.Instant
	lastStart map[model.JobID]model.Instant
	// idle and idleJobs hold in which of the last looks a task or job was idle, the
	// last look in the lowest bit.
	idle     map[TaskID]uint8
	idleJobs map[model.JobID]uint8
	// finishedAt is when idle jobs of all kinds count.
	finishedAt model.Instant
	// classes counts the violations by what the leader knew.
	classes map[string]int
	trace   []string
}

func newIdleWatch(sim *simulation, ld *simLoad, fa *simFaults, finishedAt model.Instant) *idleWatch {
	wa := &idleWatch{
		sim: sim, ld: ld, fa: fa, lastEnd: map[TaskID]model.Instant{}, endKnown: map[string]model.Instant{}, lastStart: map[model.JobID]model.Instant{}, idle: map[TaskID]uint8{},
		idleJobs: map[model.JobID]uint8{}, finishedAt: finishedAt, classes: map[string]int{},
	}
	sim.observer = wa
	sim.at(sim.now, wa.look)
	return wa
}

func (wa *idleWatch) started(id TaskID) { wa.lastStart[id.job] = wa.sim.now }

func (wa *idleWatch) ended(id TaskID) { wa.lastEnd[id] = wa.sim.now }

func (wa *idleWatch) recorded(ev RecordEvent) {
	if ev.Kind == "runEnded" {
		wa.endKnown[ev.Task] = wa.sim.now
	}
	wa.note("%s %s %s %s %v", ev.Kind, ev.Job, ev.Task, ev.Worker, ev.Fields)
}

// note adds a line to the trace.
func (wa *idleWatch) note(format string, args ...any) {
	if *traceSim {
		wa.trace = append(wa.trace, fmt.Sprintf("%v: ", time.Duration(wa.sim.now))+fmt.Sprintf(format, args...))
	}
}

// look checks all jobs.
func (wa *idleWatch) look() {
	sim := wa.sim
	sim.at(sim.now.Add(watchInterval), wa.look)
	for _, jb := range wa.ld.jobs {
		if jb.acceptedAt == 0 || jb.cancelled {
			continue
		}
		if jb.longRunning() {
			wa.lookAtTasks(jb)
		}
		if !sim.now.Before(wa.finishedAt) {
			wa.lookAtJob(jb)
		}
	}
}

// calm reports whether no disruption has been near.
func (wa *idleWatch) calm() bool {
	return wa.sim.leader != nil && !wa.sim.now.Before(wa.fa.disruptedUntil.Add(calmSpan))
}

// lookAtTasks checks the tasks of a long-running job, and records at most one
// violation.
func (wa *idleWatch) lookAtTasks(jb *simJob) {
	sim := wa.sim
	found := false
	for i := range jb.steps[0].Tasks {
		id := NewTaskID(jb.id, 0, 0, i)
		since, ran := wa.lastEnd[id]
		idle := ran && len(sim.liveAttempts[id]) == 0 && sim.now.Sub(since) >= maxIdle && len(sim.room(id, &jb.steps[0])) >= minRoom
		wa.idle[id] = shiftLook(wa.idle[id], idle)
		if wa.idle[id]&watchMask != watchMask || found || !wa.calm() || sim.now.Sub(wa.lastStart[jb.id]) < watchSpan {
			continue
		}
		found = true
		wa.idle[id] = 0
		wa.report(id, &jb.steps[0], since)
	}
}

// shiftLook adds a look to the bits of the former ones.
func shiftLook(bits uint8, idle bool) uint8 {
	bits <<= 1
	if idle {
		bits |= 1
	}
	return bits
}

// lookAtJob checks a job of any kind after the end of the traffic.
func (wa *idleWatch) lookAtJob(jb *simJob) {
	sim := wa.sim
	if sim.leader == nil {
		return
	}
	state, ok := sim.leader.st.jobs[jb.id]
	if !ok {
		sim.violated("%s was accepted and is unknown", jb.id)
		return
	}
	id, spec, ready := readyTask(state)
	idle := !state.status.Final() && ready && !wa.ld.running(jb) && len(sim.room(id, spec)) >= minRoom && wa.halfFree()
	wa.idleJobs[jb.id] = shiftLook(wa.idleJobs[jb.id], idle)
	if wa.idleJobs[jb.id]&watchMask == watchMask && sim.now.Sub(wa.lastStart[jb.id]) >= watchSpan {
		wa.idleJobs[jb.id] = 0
		wa.report(id, spec, jb.acceptedAt)
	}
}

// readyTask returns the first task of a job that may start.
func readyTask(jb *job) (TaskID, *StepSpec, bool) {
	occ := jb.occurrence(0)
	for s := range occ.steps {
		if !occ.ready(&jb.spec.Steps[s]) {
			continue
		}
		for i := range occ.steps[s].tasks {
			if !occ.steps[s].tasks[i].done {
				return NewTaskID(jb.ID(), 0, s, i), &jb.spec.Steps[s], true
			}
		}
	}
	return TaskID{}, nil, false
}

// halfFree reports whether under half of the workers' capacity is in use.
func (wa *idleWatch) halfFree() bool {
	var total, free model.Resources
	for _, wk := range wa.sim.workers {
		if wk.up {
			total, free = total.Add(wk.size), free.Add(wk.free())
		}
	}
	return total.Sub(free).DominantShare(total) < 0.5
}

// report records a violation with what the leader knows of the task and of the
// workers that have room for it.
func (wa *idleWatch) report(id TaskID, spec *StepSpec, since model.Instant) {
	sim := wa.sim
	var lines []string
	class := wa.taskClass(id, &lines)
	if class == "" {
		reasons := map[string]bool{}
		for _, wk := range slices.Compact(sim.room(id, spec)) {
			reasons[wa.workerClass(id, wk, &lines)] = true
		}
		class = strings.Join(slices.Sorted(maps.Keys(reasons)), ",")
	}
	wa.classes[class]++
	sim.violated("%v has no run since %v, of priority %d: %s\n\tneeds %+v\n\t%s", id, time.Duration(since), wa.ld.byID[id.job].priority, class,
		spec.reservation(), strings.Join(lines, "\n\t"))
}

// taskClass returns what the leader knows of a task that is not waiting, or "".
func (wa *idleWatch) taskClass(id TaskID, lines *[]string) string {
	pl, st := wa.sim.leader.pl, &wa.sim.leader.st
	*lines = append(*lines, fmt.Sprintf("its end is known since %v", time.Duration(wa.endKnown[id.String()])))
	_, _, tk, ok := st.find(id)
	switch {
	case !ok:
		return "unknown"
	case wa.endKnown[id.String()] > wa.lastEnd[id] && wa.sim.now.Sub(wa.endKnown[id.String()]) < watchSpan:
		return "own end known late"
	case tk.plannedStarts > 0:
		return "start planned"
	case len(tk.runs) == 0:
		*lines = append(*lines, fmt.Sprintf("the leader knows since %v", time.Duration(tk.idleSince)))
		if wa.sim.now.Sub(tk.idleSince) < watchSpan {
			return "own end known late"
		}
		return ""
	}
	wk, pr := pl.findRun(id, tk.attempt)
	if pr == nil {
		return "run without a record"
	}
	*lines = append(*lines, fmt.Sprintf("run %d on %v: placed %v, sent %v, inherited %v, reported %v, ending %v, lease until %v, last heartbeat %v", pr.attempt,
		wk.incarnation, time.Duration(pr.placedAt), pr.startSent, pr.inherited, pr.reported, pr.ending, time.Duration(wk.leaseEnd), time.Duration(wk.lastHeartbeat)))
	if pr.reported || pr.inherited {
		return "own end not known"
	}
	return "start not picked up"
}

// workerClass returns why the leader doesn't use the room on a worker.
func (wa *idleWatch) workerClass(id TaskID, ws *workerSim, lines *[]string) string {
	pl := wa.sim.leader.pl
	wk, ok := pl.workers.get(model.WorkerID(ws.name))
	if !ok {
		return "worker not known"
	}
	jb := wa.sim.leader.st.jobs[id.job]
	occ := jb.occurrence(0)
	rs := &readyStep{job: jb, occ: occ, step: id.step, spec: &jb.spec.Steps[id.step], restart: occ.steps[id.step].tasks[id.index].ran}
	why := pl.rejectionFor(wa.sim.now, wk, rs, id, rs.spec.reservation())
	coming, gone := model.Resources{}, model.Resources{}
	for _, pr := range wk.runs {
		if ru := ws.runs[pr.task]; ru != nil && ru.attempt == pr.attempt {
			continue
		}
		if pr.reported || pr.ending {
			gone = gone.Add(pr.size)
		} else {
			coming = coming.Add(pr.size)
		}
	}
	*lines = append(*lines, fmt.Sprintf("%s: free %+v, for the leader %+v, claimed %+v; %s; coming %+v, gone %+v, last heartbeat %v, restart %v", ws.name, ws.free(),
		wk.free(), wk.claims.size, why, coming, gone, time.Duration(wk.lastHeartbeat), rs.restart))
	need := rs.spec.reservation()
	switch {
	case why == notRejected && !rs.restart && !pl.leavesRoom(rs, 1):
		return "held back"
	case why == notRejected:
		return "room not used"
	case why != noCapacity:
		return why.String()
	case need.FitsIn(wk.free()):
		return "claimed"
	case need.FitsIn(wk.free().Add(gone)):
		return "end not known"
	case need.FitsIn(wk.free().Add(coming).Add(gone)):
		return "start on its way"
	}
	return "other"
}
