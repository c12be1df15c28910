package flow

import (
	"time"

	"guavarail/core/model"
)

// demandWindow is how far back the peak of a demand reaches. New long-running tasks stay
// for much longer, so they leave room for the last burst as well.
const demandWindow = 10 * time.Second

// demand is what a number of tasks need together.
type demand struct {
	size  model.Resources
	tasks int
}

// plus returns the demand with num more tasks of a size.
func (de demand) plus(size model.Resources, num int) demand {
	return demand{size: de.size.Add(sumOf(size, num)), tasks: de.tasks + num}
}

// Max returns the larger of de and other in each part.
func (de demand) Max(other demand) demand {
	return demand{size: de.size.Max(other.size), tasks: max(de.tasks, other.tasks)}
}

// atMost returns the part of the demand that is at most a limit in each dimension.
func (de demand) atMost(limit model.Resources) demand {
	over := de.size.DominantShare(limit)
	if over <= 1 {
		return de
	}
	return demand{size: de.size.Min(limit), tasks: int(float64(de.tasks) / over)}
}

// recentPeak is the peak of a value over the last half to whole of a window. The zero value
// has observed nothing.
type recentPeak[V interface{ Max(other V) V }] struct {
	// current is the peak since begunAt, and former that of the half of a window before.
	current, former V
	begunAt         model.Instant
}

// observe adds a value that is valid from now on. Times never go back.
func (rp *recentPeak[V]) observe(now model.Instant, window time.Duration, val V) {
	var none V
	switch since := now.Sub(rp.begunAt); {
	case since >= window:
		rp.former, rp.current, rp.begunAt = none, none, now
	case since >= window/2:
		rp.former, rp.current, rp.begunAt = rp.current, none, now
	}
	rp.current = rp.current.Max(val)
}

// peak returns the peak.
func (rp *recentPeak[V]) peak() V { return rp.current.Max(rp.former) }

// demandKey names what long-running tasks of a service must leave room for: the ordinary
// tasks of a priority.
type demandKey struct {
	service  model.ServiceID
	priority int
}

// ordinaryDemand is the demand of the ordinary tasks with one key: those that neither are
// fillers nor run until their job is cancelled.
type ordinaryDemand struct {
	// present sums up the open tasks of the ready steps, with and without a run.
	present demand
	recent  recentPeak[demand]
}

// followDemand observes the demand on a VM that does not lead, at most once per
// sweepInterval, so that it knows the peak if it leads next. Since it knows no workers, tasks
// count that none can hold; since it has no wall clock, jobs that repeat don't.
func (pl *Planner) followDemand(now model.Instant) {
	if now.Sub(pl.demandSeenAt) < sweepInterval {
		return
	}
	pl.demandSeenAt = now
	for _, jb := range pl.st.jobs {
		if jb.status.Final() || jb.spec.Repetitions > 0 {
			continue
		}
		occ := jb.occurrence(0)
		for s := range occ.steps {
			if spec := &jb.spec.Steps[s]; spec.ordinary() && occ.ready(spec) {
				pl.addDemand(jb, spec, occ.steps[s].openTasks)
			}
		}
	}
	pl.observeDemand(now)
}

// ordinary reports whether the tasks end by themselves and are no fillers.
func (sp *StepSpec) ordinary() bool { return !sp.LongRunning && !sp.Filler }

// addDemand adds the open tasks of a ready step to the present demand of ordinary tasks.
func (pl *Planner) addDemand(jb *job, spec *StepSpec, openTasks int) {
	if openTasks == 0 {
		return
	}
	key := demandKey{service: jb.spec.Service, priority: jb.spec.Priority}
	od, ok := pl.ordinary[key]
	if !ok {
		if pl.ordinary == nil {
			pl.ordinary = map[demandKey]*ordinaryDemand{}
		}
		od = &ordinaryDemand{}
		pl.ordinary[key] = od
	}
	od.present = od.present.plus(spec.reservation(), openTasks)
}

// demandWithinQuota returns how many of the open tasks of a ready step count as demand. What
// a workspace asks for beyond its quota must not hold back the long-running tasks of others.
func (pl *Planner) demandWithinQuota(jb *job, spec *StepSpec, openTasks int) int {
	if !pl.sharing {
		return openTasks
	}
	return pl.seatOf(jb).Customer().Demand(spec.Size, openTasks)
}

// observeDemand ends the collection of the present demand, and forgets what nobody has asked
// for in demandWindow.
func (pl *Planner) observeDemand(now model.Instant) {
	for key, od := range pl.ordinary {
		od.recent.observe(now, demandWindow, od.present)
		od.present = demand{}
		if od.recent.peak().tasks == 0 {
			delete(pl.ordinary, key)
		}
	}
}

// recentDemand returns what ordinary tasks of a service have lately asked for at a priority
// and above.
func (pl *Planner) recentDemand(service model.ServiceID, priority int) demand {
	var sum demand
	for key, od := range pl.ordinary {
		if key.service == service && key.priority <= priority {
			peak := od.recent.peak()
			sum = demand{size: sum.size.Add(peak.size), tasks: sum.tasks + peak.tasks}
		}
	}
	return sum
}
