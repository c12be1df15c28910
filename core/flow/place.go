package flow

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// farCost is what a worker away from the data or the rack of a step costs
	// against the share of processors that stays free, which is 0 to 1.
	farCost = 4.0
	// otherImage is the cost of each other serving image on a worker.
	otherImage = 3.0
	// fillerRoom is the cost of taking a worker without serving tasks, and
	// fillerBeside that of each filler on it.
	fillerRoom   = 1.5
	fillerBeside = 0.05
	// besideServing is the cost for a filler of a worker with serving tasks.
	besideServing = 0.4
	// agingWeight is how much faster a job moves up as its time passes.
	agingWeight = 1.0
	// lastResort is the cost of a quarantined worker for a lasting task, which
	// must not be down while any worker has room.
	lastResort = 100.0
	// starveTime is how long a job may have nothing running before one of its
	// fillers starts on the least bad worker. A job is never forgotten.
	starveTime = 1500 * time.Millisecond
	// fillerSqueeze is the share of its processors that a filler may lack.
	fillerSqueeze = 0.3
	// servedLoad is the share of its processors that a serving task uses.
	servedLoad = 0.4
)

// wanted is a step of an occurrence with tasks that wait.
type wanted struct {
	job        *job
	occ        *occurrence
	occurrence int
	step       int
	spec       *StepSpec
	// slack is the time that is left before the step must start for the job
	// to meet its objective.
	slack time.Duration
	// rank orders the steps of one priority, the lowest first.
	rank float64
	// starved: nothing of the job has run for starveTime.
	starved bool
}

// plan starts what can start.
func (pl *Planner) plan(now model.Instant) {
	for _, wa := range pl.wants(now) {
		if wa.spec.Gang {
			pl.startGang(now, wa)
			continue
		}
		pl.startTasks(now, wa)
	}
}

// wants lists the steps with waiting tasks in the order in which they are
// served: by priority, then lasting tasks, then jobs that can meet their
// objective, then by rank.
func (pl *Planner) wants(now model.Instant) []wanted {
	wall := pl.wall(now)
	var out []wanted
	for _, jb := range pl.open {
		if jb.status.Final() {
			continue
		}
		for k := range jb.times() {
			if jb.spec.Times > 0 && jb.due(k) > wall {
				break
			}
			occ := jb.occurrence(k)
			if occ.open == 0 {
				continue
			}
			out = pl.wantedSteps(now, out, jb, occ, k, wall)
		}
	}
	slices.SortStableFunc(out, order)
	return out
}

func (pl *Planner) wantedSteps(now model.Instant, out []wanted, jb *job, occ *occurrence, k int, wall int64) []wanted {
	if jb.live > 0 {
		jb.idleSince = 0
	} else if jb.idleSince == 0 {
		jb.idleSince = now
	}
	work := occ.workLeft(jb.spec.Steps)
	starved := jb.idleSince > 0 && now.Sub(jb.idleSince) > starveTime
	for s := range occ.steps {
		spec := &jb.spec.Steps[s]
		if occ.steps[s].idle == 0 || !occ.ready(spec) {
			continue
		}
		age := time.Duration(wall-jb.due(k)) * time.Millisecond
		out = append(out, wanted{
			job: jb, occ: occ, occurrence: k, step: s, spec: spec, slack: jb.Objective() - age - jb.tails[s], starved: starved,
			rank: rankOf(work, age, jb.Objective()),
		})
	}
	return out
}

// order compares two steps by who is served first.
func order(wa, wb wanted) int {
	return cmp.Or(
		cmp.Compare(wa.job.spec.Priority, wb.job.spec.Priority),
		before(wa.spec.Lasting, wb.spec.Lasting),
		before(wa.slack >= 0, wb.slack >= 0),
		cmp.Compare(wa.rank, wb.rank),
	)
}

// rankOf orders the steps of one priority: by the work that is left of their
// job, lowered the more of its time has gone, so that a large job is not passed
// over for good. When not all jobs can be on time, the least work first lets
// the most of them be.
func rankOf(work float64, age, objective time.Duration) float64 {
	gone := float64(age) / float64(max(objective, time.Millisecond))
	return work / (1 + agingWeight*max(0, gone))
}

// workLeft returns the declared processor seconds of the open tasks of an
// occurrence.
func (occ *occurrence) workLeft(steps []StepSpec) float64 {
	sum := 0.0
	for s := range occ.steps {
		each := float64(steps[s].Size.MilliCPU()) / 1000 * max(steps[s].Estimate, time.Millisecond).Seconds()
		sum += float64(occ.steps[s].open) * each
	}
	return sum
}

// before puts true first.
func before(va, vb bool) int {
	switch {
	case va == vb:
		return 0
	case va:
		return -1
	}
	return 1
}

// startTasks places the waiting tasks of a step one by one.
func (pl *Planner) startTasks(now model.Instant, wa wanted) {
	sp := &wa.occ.steps[wa.step]
	started := 0
	defer func() { pl.noteStarts(now, wa, started) }()
	for i := range sp.tasks {
		tk := &sp.tasks[i]
		if !tk.waiting() {
			continue
		}
		id := NewTaskID(wa.job.ID(), wa.occurrence, wa.step, i)
		wk := pl.choose(now, wa, id, nil)
		if wk == nil {
			pl.noteWait(now, wa, id)
			return
		}
		started++
		pl.propose(now, wa, tk, id, tk.attempt+1, wk)
		// One task ends the wait of a starved job.
		wa.starved = false
		wa.job.idleSince = 0
	}
}

// startGang places all tasks of a step or none. All of them get the same
// number, which is above all earlier ones.
func (pl *Planner) startGang(now model.Instant, wa wanted) {
	sp := &wa.occ.steps[wa.step]
	attempt := 0
	for i := range sp.tasks {
		if !sp.tasks[i].waiting() {
			return
		}
		attempt = max(attempt, sp.tasks[i].attempt+1)
	}
	var first *worker
	placed := make([]*worker, 0, len(sp.tasks))
	for i := range sp.tasks {
		id := NewTaskID(wa.job.ID(), wa.occurrence, wa.step, i)
		wk := pl.choose(now, wa, id, first)
		if wk == nil {
			for j, old := range placed {
				pl.retract(old, NewTaskID(wa.job.ID(), wa.occurrence, wa.step, j), attempt, &sp.tasks[j])
			}
			return
		}
		if first == nil {
			first = wk
		}
		placed = append(placed, wk)
		pl.hold(now, wa, &sp.tasks[i], id, attempt, wk)
	}
	for i, wk := range placed {
		id := NewTaskID(wa.job.ID(), wa.occurrence, wa.step, i)
		pl.queued = append(pl.queued, Start(id, attempt, wk.life))
	}
}

// propose starts one task on a worker.
func (pl *Planner) propose(now model.Instant, wa wanted, tk *task, id TaskID, attempt int, wk *worker) {
	pl.hold(now, wa, tk, id, attempt, wk)
	pl.queued = append(pl.queued, Start(id, attempt, wk.life))
}

// hold takes room for a run that is about to be proposed.
func (pl *Planner) hold(now model.Instant, wa wanted, tk *task, id TaskID, attempt int, wk *worker) {
	tk.planned++
	pd := newPlaced(wa.job, id, attempt, now)
	pd.planned, pd.checkpoint = true, tk.checkpoint
	wk.add(pd)
	if wa.spec.Filler || wa.spec.serves() {
		wk.refresh(pl)
	}
}

// retract gives back the room of a run that was not proposed.
func (pl *Planner) retract(wk *worker, id TaskID, attempt int, tk *task) {
	if pd := wk.find(id, attempt); pd != nil {
		wk.drop(pd)
		tk.planned--
	}
}

// choose returns the worker with the lowest cost for a task, or nil. near is
// the worker of another task that should be on the same rack.
func (pl *Planner) choose(now model.Instant, wa wanted, id TaskID, near *worker) *worker {
	need := wa.spec.counted()
	image := pl.pairs.number(wa.spec.Image)
	var best *worker
	lowest := 0.0
	for _, wk := range pl.workers.list {
		if pl.refuse(now, wk, &wa, id, need) != noRefusal {
			continue
		}
		cost, ok := pl.cost(wk, wa, image, need)
		if !ok {
			continue
		}
		cost += far(wk, wa.spec, near)
		if wk.health.quarantined(now) {
			cost += lastResort
		}
		if best == nil || cost < lowest {
			best, lowest = wk, cost
		}
	}
	return best
}

// far returns the cost of a worker away from the data or the rack of a step.
func far(wk *worker, spec *StepSpec, near *worker) float64 {
	cost := 0.0
	if spec.Rack != "" && spec.Rack != wk.rack {
		cost += farCost
	}
	if near != nil && spec.OneRack && wk.rack != near.rack {
		cost += farCost
	}
	return cost
}

// cost compares the workers that have room for a task, and reports false for
// one on which the task would do harm.
func (pl *Planner) cost(wk *worker, wa wanted, image int, need model.Resources) (float64, bool) {
	total := float64(max(1, wk.size.MilliCPU()))
	left := float64(wk.free().MilliCPU()-need.MilliCPU()) / total
	switch {
	case wa.spec.Filler:
		return pl.fillerCost(wk, wa, image)
	case wa.spec.serves():
		return left + pl.servingCost(wk, image), true
	case wk.serving == 0:
		// What is free of serving tasks is of most use to fillers.
		return left + fillerRoom, true
	}
	return left, true
}

// servingCost keeps serving tasks of one image together, and on as few workers
// as possible, so that fillers find workers where they disturb nothing.
func (pl *Planner) servingCost(wk *worker, image int) float64 {
	if wk.serving == 0 {
		return fillerRoom + fillerBeside*float64(wk.fillers)
	}
	cost := 0.0
	for _, ex := range wk.expected {
		if ex.image != image {
			cost += otherImage
		}
	}
	return cost + fillerBeside*float64(wk.fillers)
}

// fillerCost prefers workers with nothing to disturb and processors to spare.
// A worker whose serving tasks would miss their target is not used, nor one
// whose processors are taken.
func (pl *Planner) fillerCost(wk *worker, wa wanted, image int) (float64, bool) {
	total := float64(max(1, wk.size.MilliCPU()))
	need := float64(wa.spec.Size.MilliCPU())
	spare := wk.spare() - need
	if spare < -need*fillerSqueeze && !wa.starved {
		return 0, false
	}
	cost := 1 - spare/total
	if wk.serving == 0 {
		return cost, true
	}
	over := pl.over(wk, image, need/total)
	if over > 0 && !wa.starved {
		return 0, false
	}
	return cost + besideServing + 2*(1+over), true
}

// spare estimates the thousandths of a processor that fillers find unused.
func (wk *worker) spare() float64 {
	busy := float64(wk.used.MilliCPU()-wk.served) + servedLoad*float64(wk.served)
	return float64(wk.size.MilliCPU()) - busy - float64(wk.filling)
}
