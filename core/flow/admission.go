package flow

import (
	"time"

	"guavarail/core/model"
	"guavarail/core/shed"
)

// admissionDelay is how long a new leader accepts all jobs. By then the workers have sent
// heartbeats and the runs have shown progress.
const admissionDelay = 3 * time.Second

// admission decides which jobs the leader accepts. The zero value accepts all.
type admission struct {
	control shed.Controller
	// since is when this leader's term began.
	since model.Instant
	// runTimes are the measured run times.
	runTimes map[runTimeKey]*runTime
	// view is the view of the last forecast, whose memory the next one uses.
	view shed.View
	// progress is scratch space of look, by step.
	progress map[*step]stepProgress
}

// Admit decides whether to accept a job that a caller in a data centre submits. A job that
// is accepted must be proposed, and one that is refused must not. Config.Admission must be
// set.
func (pl *Planner) Admit(now model.Instant, jo Job, centre model.CentreID) shed.Decision {
	if _, ok := pl.st.jobs[jo.ID()]; ok {
		return shed.Accept(shed.Known)
	}
	if !pl.hasLeaderLease(now) || !pl.knowsCell(now) || jo.longRunning() || jo.spec.Repetitions > 0 {
		return shed.Accept(shed.Unjudged)
	}
	jb := job{Job: jo}
	occ := newOccurrence(jo.spec.Steps)
	sub := pl.shedJob(&jb, occ, 0)
	sub.Centre = centre
	return pl.admission.control.Decide(now, func() shed.View { return pl.look(now) }, sub)
}

// knowsCell reports whether this leader knows enough of the workers to refuse jobs.
func (pl *Planner) knowsCell(now model.Instant) bool {
	if now.Sub(pl.admission.since) < admissionDelay {
		return false
	}
	const unknownDivisor = 10
	unknown := 0
	for _, wk := range pl.workers.sorted {
		if !wk.reported {
			unknown++
		}
	}
	return len(pl.workers.sorted) > 0 && unknown <= len(pl.workers.sorted)/unknownDivisor
}

// look returns the view of the cell for the forecast. It is valid until the next call.
func (pl *Planner) look(now model.Instant) shed.View {
	ad := &pl.admission
	vi := &ad.view
	vi.Workers, vi.Runs, vi.Jobs, vi.FillerMilliCPU = vi.Workers[:0], vi.Runs[:0], vi.Jobs[:0], map[model.ServiceID]float64{}
	if ad.progress == nil {
		ad.progress = map[*step]stepProgress{}
	}
	clear(ad.progress)
	fillers := map[model.ServiceID]float64{}
	for _, wk := range pl.workers.sorted {
		if !wk.reported || wk.draining || pl.outage[wk.centre] || pl.stale(wk) {
			continue
		}
		vi.Workers = append(vi.Workers, shed.Worker{
			Service: wk.service, Labels: wk.labels, Room: wk.freeForLong(), IdleMilliCPU: (1 - servingLoadRatio) * float64(wk.servingMilliCPU),
		})
		for _, pr := range wk.runs {
			if !pr.spec.LongRunning && !pr.ending {
				pl.lookAtRun(now, wk, pr)
			}
		}
		fillers[wk.service] += float64(wk.fillerMilliCPU)
	}
	wall := pl.wall(now)
	for _, jb := range pl.openJobs {
		if !jb.status.Final() {
			pl.lookAtJob(jb, wall, fillers)
		}
	}
	return *vi
}

// lookAtRun adds a run to the view.
func (pl *Planner) lookAtRun(now model.Instant, wk *worker, pr *placedRun) {
	size := pr.size
	if pr.spec.Filler {
		size = size.Add(model.NewResources(pr.spec.Size.MilliCPU(), 0, 0))
	}
	after := pr.remaining(now)
	if pr.percent == 0 {
		after = max(after, pl.runTimeOf(pr.job, pr.spec)-now.Sub(pr.placedAt))
	}
	vi := &pl.admission.view
	vi.Runs = append(vi.Runs, shed.Run{Service: wk.service, Size: size, Filler: pr.spec.Filler, After: after})
	occ, ok := pr.job.occurrences[pr.task.occurrence]
	if !ok {
		return
	}
	sp := &occ.steps[pr.task.step]
	pro := pl.admission.progress[sp]
	pro.add(now, pr, after)
	pl.admission.progress[sp] = pro
}

// lookAtJob adds the open occurrences of a job that are due to the view. A long-running job
// adds the tasks that wait for a restart. fillers are the processors that fillers use, by
// service.
func (pl *Planner) lookAtJob(jb *job, wall int64, fillers map[model.ServiceID]float64) {
	vi := &pl.admission.view
	long := jb.longRunning()
	for k := range jb.occurrenceCount() {
		if jb.spec.Repetitions > 0 && jb.due(k) > wall {
			return
		}
		occ := jb.occurrence(k)
		switch {
		case occ.openSteps == 0:
			continue
		case long:
			pl.lookAtRestarts(jb, occ)
			continue
		}
		age := time.Duration(wall-jb.due(k)) * time.Millisecond
		vi.Jobs = append(vi.Jobs, pl.shedJob(jb, occ, age))
		if age > starvationTime && occ.fillersWait(jb.spec.Steps) {
			vi.FillerMilliCPU[jb.spec.Service] = fillers[jb.spec.Service]
		}
	}
}

// lookAtRestarts adds the long-running tasks that wait for a restart to the view.
func (pl *Planner) lookAtRestarts(jb *job, occ *occurrence) {
	vi := &pl.admission.view
	for s := range occ.steps {
		spec := &jb.spec.Steps[s]
		if !spec.LongRunning || occ.steps[s].idleTasks == 0 {
			continue
		}
		for i := range occ.steps[s].tasks {
			if tk := &occ.steps[s].tasks[i]; tk.waiting() && tk.ran {
				vi.Runs = append(vi.Runs, shed.Run{Service: jb.spec.Service, Size: spec.reservation(), After: -1})
			}
		}
	}
}

// fillersWait reports whether fillers of a ready step wait.
func (occ *occurrence) fillersWait(steps []StepSpec) bool {
	for s := range occ.steps {
		if steps[s].Filler && occ.steps[s].idleTasks > 0 && occ.ready(&steps[s]) {
			return true
		}
	}
	return false
}

// shedJob returns an occurrence of a job for the forecast.
func (pl *Planner) shedJob(jb *job, occ *occurrence, age time.Duration) shed.Job {
	work := occ.workLeft(jb.spec.Steps)
	out := shed.Job{
		ID: jb.ID(), Service: jb.spec.Service, Priority: jb.spec.Priority, Kind: jb.spec.Queue, Left: jb.Objective() - age,
		Rank: stepRank(work, age, jb.Objective()), Work: work, Steps: make([]shed.Step, len(occ.steps)),
	}
	for s := range occ.steps {
		spec, sp := &jb.spec.Steps[s], &occ.steps[s]
		st := &out.Steps[s]
		pro := pl.admission.progress[sp]
		*st = shed.Step{
			Size: spec.Size, Duration: pro.duration(pl.runTimeOf(jb, spec)), RunningFor: pro.until, After: spec.After,
			Label: spec.RequiredLabel, PerWorker: spec.PerWorker, Gang: spec.Gang, Filler: spec.Filler,
		}
		if sp.openTasks == 0 {
			continue
		}
		out.Late = out.Late || out.Left < jb.chainFrom[s] && occ.ready(spec)
		if sp.idleTasks > 0 {
			for i := range sp.tasks {
				if sp.tasks[i].waiting() {
					st.Tasks++
				}
			}
		}
	}
	return out
}
