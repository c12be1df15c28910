package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

// capacityEventInterval is the minimum time between two events about the use of
// the workers' capacity.
const capacityEventInterval = time.Second

// capacityUse is the sum of what the runs on a set of workers reserve, by kind
// of run.
type capacityUse struct {
	workers int
	// total is the sum of the sizes of the workers.
	total model.Resources
	// longRunning, filler and ordinary sum up the runs that go on: those of
	// long-running tasks, of fillers and of all other tasks.
	longRunning, filler, ordinary model.Resources
	// ending sums up the runs whose end is not applied yet, and unreported those
	// that no heartbeat has listed.
	ending, unreported model.Resources
	// emptiest is the worker whose reported runs leave the most processors unused,
	// unused what they leave, and oldestStart when the first of the runs was placed
	// there that no heartbeat has listed, 0 if there is none.
	emptiest    Incarnation
	unused      model.Resources
	oldestStart model.Instant
	// restartsWaiting, longRunningWaiting and ordinaryWaiting sum up what the waiting
	// tasks need: the restarts and first starts of long-running tasks, and all others
	// but fillers.
	restartsWaiting, longRunningWaiting, ordinaryWaiting model.Resources
}

// addWaiting adds the waiting tasks of a ready step.
func (cu *capacityUse) addWaiting(rs *readyStep) {
	sum := &cu.ordinaryWaiting
	switch {
	case rs.spec.Filler:
		return
	case rs.restart:
		sum = &cu.restartsWaiting
	case rs.spec.LongRunning:
		sum = &cu.longRunningWaiting
	}
	*sum = sum.Add(sumOf(rs.spec.reservation(), rs.waitingTasks()))
}

// add adds the runs of a worker.
func (cu *capacityUse) add(wk *worker) {
	cu.workers++
	cu.total = cu.total.Add(wk.size)
	unused := wk.size
	oldest := model.Instant(0)
	for _, pr := range wk.runs {
		if pr.reported && !pr.ending {
			unused = unused.Sub(pr.size)
		}
		if !pr.reported && (oldest == 0 || pr.placedAt < oldest) {
			oldest = pr.placedAt
		}
		sum := &cu.ordinary
		switch {
		case pr.ending:
			sum = &cu.ending
		case !pr.reported:
			sum = &cu.unreported
		case pr.spec.LongRunning:
			sum = &cu.longRunning
		case pr.spec.Filler:
			sum = &cu.filler
		}
		*sum = sum.Add(pr.size)
	}
	if unused.MilliCPU() > cu.unused.MilliCPU() {
		cu.emptiest, cu.unused, cu.oldestStart = wk.incarnation, unused, oldest
	}
}

// free returns what no run reserves.
func (cu *capacityUse) free() model.Resources {
	reserved := cu.longRunning.Add(cu.filler).Add(cu.ordinary).Add(cu.ending).Add(cu.unreported)
	return cu.total.Sub(reserved)
}

// recordCapacity records how the capacity of the workers that may get tasks is
// used, at most once per capacityEventInterval.
func (pl *Planner) recordCapacity(now model.Instant) {
	if pl.capacityRecordedAt > 0 && now.Sub(pl.capacityRecordedAt) < capacityEventInterval {
		return
	}
	var use capacityUse
	for _, wk := range pl.workers.sorted {
		if wk.reported && !wk.closed() && !pl.outage[wk.centre] && !pl.stale(wk) {
			use.add(wk)
		}
	}
	if use.workers == 0 {
		return
	}
	pl.capacityRecordedAt = now
	for i := range pl.sorter.collected {
		use.addWaiting(&pl.sorter.collected[i])
	}
	pairs := []string{"workers", strconv.Itoa(use.workers)}
	for _, part := range []struct {
		name string
		sum  model.Resources
	}{
		{"total", use.total},
		{"free", use.free()},
		{"longRunning", use.longRunning},
		{"filler", use.filler},
		{"ordinary", use.ordinary},
		{"ending", use.ending},
		{"unreported", use.unreported},
		{"restartsWaiting", use.restartsWaiting},
		{"longRunningWaiting", use.longRunningWaiting},
		{"ordinaryWaiting", use.ordinaryWaiting},
	} {
		pairs = append(pairs, part.name+"MilliCpu", strconv.FormatInt(part.sum.MilliCPU(), 10), part.name+"MemoryMb", strconv.FormatInt(part.sum.MemoryMB(), 10))
	}
	pairs = append(pairs, "unusedMilliCpu", strconv.FormatInt(use.unused.MilliCPU(), 10), "unusedMemoryMb", strconv.FormatInt(use.unused.MemoryMB(), 10))
	if use.oldestStart > 0 {
		pairs = append(pairs, "startAgeMs", strconv.FormatInt(now.Sub(use.oldestStart).Milliseconds(), 10))
	}
	pl.recordEvent("capacityUsed", "", "", use.emptiest.String(), pairs...)
}

// shortage counts the workers that have no room for a task, by what they lack
// and by which runs hold it. A worker may count in several fields.
type shortage struct {
	// processors and memory count the workers that lack them.
	processors, memory int
	// withoutLower and withoutOrdinary count the workers that would have room
	// without the runs of jobs of lower priority, and without all runs that are
	// not long-running.
	withoutLower, withoutOrdinary int
}

// add counts a worker that has no room for a task of rs.
func (sh *shortage) add(wk *worker, rs *readyStep, need model.Resources) {
	free := wk.free()
	if free.MilliCPU() < need.MilliCPU() {
		sh.processors++
	}
	if free.MemoryMB() < need.MemoryMB() {
		sh.memory++
	}
	lower, ordinary := free, free
	for _, pr := range wk.runs {
		if pr.job.spec.Priority > rs.job.spec.Priority {
			lower = lower.Add(pr.size)
		}
		if !pr.spec.LongRunning {
			ordinary = ordinary.Add(pr.size)
		}
	}
	if need.FitsIn(lower) {
		sh.withoutLower++
	}
	if need.FitsIn(ordinary) {
		sh.withoutOrdinary++
	}
}

// pairs returns the counts as keys and values of an event.
func (sh *shortage) pairs() []string {
	return []string{
		"noProcessors", strconv.Itoa(sh.processors), "noMemory", strconv.Itoa(sh.memory),
		"roomWithoutLower", strconv.Itoa(sh.withoutLower), "roomWithoutOrdinary", strconv.Itoa(sh.withoutOrdinary),
	}
}
