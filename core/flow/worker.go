package flow

import (
	"slices"

	"guavarail/core/model"
)

// placedRun is the leader's record of a run on a worker.
type placedRun struct {
	job     *job
	spec    *StepSpec
	task    TaskID
	attempt int
	// size is what the run reserves of the worker.
	size model.Resources
	// placedAt is when this leader placed the run or took it over.
	placedAt model.Instant
	// planned is set while the start is proposed and not applied yet.
	planned bool
	// ending is set while the end is proposed and not applied yet.
	ending bool
	// startSent is set once the start order was sent, in the answer to
	// heartbeat startSequence.
	startSent     bool
	startSequence uint64
	// inherited is set for a run that an earlier leader recorded, until a
	// heartbeat lists it; its start order may have been sent.
	inherited bool
	// reported is set once a heartbeat has listed the run.
	reported bool
	// stopping is set when a stop order is sent, and reset when a later
	// heartbeat still lists the run.
	stopping   bool
	checkpoint string
	percent    int
	// sampledPercent is the progress at sampledAt, the start of the next speed
	// sample.
	sampledPercent int
	sampledAt      model.Instant
	// progressedAt is when a heartbeat last showed progress, or a long-running
	// task serving.
	progressedAt model.Instant
	// use is the share of the worker that a filler used at the last heartbeat.
	use float64
	// fullPaceUse is the measured use at full pace, 0 before it was measured.
	fullPaceUse float64
	// pace is the wanted pace of the run, in percent.
	pace int
	// paceChangedAt is when pace last changed.
	paceChangedAt model.Instant
	// evicting is set when the run is to be stopped so that its task can start
	// elsewhere.
	evicting bool
	// paceLimited is set if the worker may be applying a pace of this or an
	// earlier leader. sentPace is the pace last ordered, at sentPaceAt, or
	// unknownPace.
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

// reservation returns what a task reserves on a worker. The processors of a
// filler are not reserved.
func (sp *StepSpec) reservation() model.Resources {
	if sp.Filler {
		return model.NewResources(0, sp.Size.MemoryMB(), sp.Size.Accelerators())
	}
	return sp.Size
}

// serves reports whether the tasks have latency-critical callers.
func (sp *StepSpec) serves() bool { return sp.TailTarget > 0 }

// worker is the leader's record of one incarnation of a worker.
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
	// reported is set by the first heartbeat to this leader.
	reported      bool
	sequence      uint64
	lastHeartbeat model.Instant
	// leaseEnd is when all runs of the worker have certainly ended unless the
	// lease is renewed.
	leaseEnd model.Instant
	expired  bool
	runs     []*placedRun
	// pollID identifies the open heartbeat, which arrived at pollStart; polling
	// is set while there is one.
	pollID    uint64
	polling   bool
	pollStart model.Instant
	// reportedEnds are the ended runs in the last heartbeat, by number.
	reportedEnds []EndReport
	// unknownRuns are runs in the last heartbeat that the state does not list for
	// this worker.
	unknownRuns []StopOrder
	health      health
	speed       speed
	// slowUntil is the end of the pause in which a slow worker gets no tasks.
	slowUntil model.Instant
	// servingRuns and fillerRuns count the runs with a tail target and the
	// fillers.
	servingRuns, fillerRuns int
	// fillerMilliCPU and servingMilliCPU are the processors that the fillers
	// and the serving tasks request, in thousandths of a processor.
	fillerMilliCPU, servingMilliCPU int64
	// overTargetSince is since when some serving task has exceeded its target,
	// 0 while none does.
	overTargetSince model.Instant
	// fillerUses are the shares that the fillers use, by image. servedJobs are
	// the serving jobs with the pressure of the fillers on them.
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

// runsOfStep counts the runs on the worker of the same step and occurrence.
func (wk *worker) runsOfStep(task TaskID) int {
	num := 0
	for _, pr := range wk.runs {
		if pr.task.job == task.job && pr.task.occurrence == task.occurrence && pr.task.step == task.step {
			num++
		}
	}
	return num
}
