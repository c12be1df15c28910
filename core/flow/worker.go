package flow

import (
	"slices"

	"guavarail/core/model"
)

// placedRun is a run on a worker, as the leader sees it.
type placedRun struct {
	job     *job
	spec    *StepSpec
	task    TaskID
	attempt int
	// size is what the run takes of the worker.
	size model.Resources
	// placedAt is when the run was decided or taken over.
	placedAt model.Instant
	// planned: the start is proposed and not applied yet.
	planned bool
	// ending: the end is proposed and not applied yet.
	ending bool
	// startSent: the start order went out as the answer to report toldIn.
	startSent     bool
	startSequence uint64
	// inherited: an earlier leader recorded the run, so that its order may have
	// been sent.
	inherited bool
	// reported: a report listed the run.
	reported bool
	// stopping: a stop order went out.
	stopping   bool
	checkpoint string
	percent    int
	// sampledPercent is the progress at gaugedAt, from which the next one is measured.
	sampledPercent int
	sampledAt      model.Instant
	// progressedAt is when a report last showed progress, or a lasting task at work.
	progressedAt model.Instant
	// use is the share of the worker that a filler used at the last report.
	use float64
	// fullPaceUse is the share at full pace, 0 before it was read.
	fullPaceUse float64
	// pace is the share of its speed at which the run may work, in percent.
	pace int
	// paceChangedAt is when the pace was changed last.
	paceChangedAt model.Instant
	// evicting: the run is to be stopped so that it starts elsewhere.
	evicting bool
	// paceLimited: the worker may apply a pace of this or an earlier leader. toldPace
	// is the last that was ordered, at toldPaceAt, or unknownPace.
	paceLimited bool
	sentPace    int
	sentPaceAt  model.Instant
}

func newPlacedRun(jb *job, task TaskID, attempt int, now model.Instant) *placedRun {
	spec := &jb.spec.Steps[task.step]
	return &placedRun{job: jb, spec: spec, task: task, attempt: attempt, size: spec.reservation(), placedAt: now, pace: fullPace, sentPace: fullPace}
}

// markInherited marks a run that an earlier leader recorded.
func (pr *placedRun) markInherited() *placedRun {
	pr.inherited = true
	if pr.spec.Filler {
		pr.paceLimited, pr.sentPace = true, unknownPace
	}
	return pr
}

// reservation returns what a task takes of a worker. The processors of a filler
// are not counted.
func (sp *StepSpec) reservation() model.Resources {
	if sp.Filler {
		return model.NewResources(0, sp.Size.MemoryMB(), sp.Size.Accelerators())
	}
	return sp.Size
}

// serves reports whether the tasks have callers of their own.
func (sp *StepSpec) serves() bool { return sp.TailTarget > 0 }

// worker is what the leader knows about one life of a worker.
type worker struct {
	incarnation Incarnation
	service     model.ServiceID
	centre      model.CentreID
	address     string
	rack        string
	labels      []string
	size        model.Resources
	used        model.Resources
	draining    bool
	// reported is set by the first report to this leader.
	reported      bool
	sequence      uint64
	lastHeartbeat model.Instant
	// leaseEnd is when everything that this worker runs is over for certain
	// unless it is renewed.
	leaseEnd model.Instant
	expired  bool
	runs     []*placedRun
	// pollID is the report that waits for its answer while polled is set.
	pollID    uint64
	polling   bool
	pollStart model.Instant
	// reportedEnds are the ended runs of the last report, by number.
	reportedEnds []EndReport
	// strays are runs that the state does not have on this worker.
	strays []StopOrder
	health health
	speed  speed
	// slowUntil is until when the worker gets no tasks because it is slow.
	slowUntil model.Instant
	// servingRuns counts the runs with a tail target, fillers the fillers.
	servingRuns, fillerRuns int
	// fillerMilliCPU is what the fillers ask for, served what the serving tasks ask
	// for, in thousandths of a processor.
	fillerMilliCPU, servingMilliCPU int64
	// overTargetSince is since when some serving task is over its target, 0 while
	// none is.
	overTargetSince model.Instant
	// fillerUses and expected are the shares of the fillers and the tails to expect
	// of the serving images.
	fillerUses []imageUse
	servedJobs []servedJob
	endedUses  []endedUse
}

func (wk *worker) free() model.Resources { return wk.size.Sub(wk.used) }

func (wk *worker) add(pr *placedRun) {
	wk.runs = append(wk.runs, pr)
	wk.used = wk.used.Add(pr.size)
	wk.countRun(pr, 1)
}

func (wk *worker) countRun(pr *placedRun, by int) {
	if pr.spec.serves() {
		wk.servingRuns += by
		wk.servingMilliCPU += int64(by) * pr.spec.Size.MilliCPU()
	}
	if pr.spec.Filler {
		wk.fillerRuns += by
		wk.fillerMilliCPU += int64(by) * pr.spec.Size.MilliCPU()
	}
}

func (wk *worker) remove(pr *placedRun) {
	pos := slices.Index(wk.runs, pr)
	if pos < 0 {
		return
	}
	wk.runs = slices.Delete(wk.runs, pos, pos+1)
	wk.used = wk.used.Sub(pr.size)
	wk.countRun(pr, -1)
}

func (wk *worker) find(task TaskID, attempt int) *placedRun {
	for _, pr := range wk.runs {
		if pr.attempt == attempt && pr.task == task {
			return pr
		}
	}
	return nil
}

// runsOfStep counts the runs of one step of one occurrence.
func (wk *worker) runsOfStep(task TaskID) int {
	num := 0
	for _, pr := range wk.runs {
		if pr.task.job == task.job && pr.task.occurrence == task.occurrence && pr.task.step == task.step {
			num++
		}
	}
	return num
}
