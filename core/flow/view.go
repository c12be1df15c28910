package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/share"
	"guavarail/core/shed"
)

// buildView returns the view of the cell for the forecast. It is valid until the next call.
func (pl *Planner) buildView(now model.Instant) *shed.View {
	ad := &pl.admission
	vi := &ad.view
	vi.Workers, vi.Runs, vi.Jobs, vi.Full = vi.Workers[:0], vi.Runs[:0], vi.Jobs[:0], vi.Full[:0]
	ad.steps = ad.steps[:0]
	pl.addQuotasToView()
	ad.views++
	stride := 1 + len(pl.placed)/maxViewRuns
	use := map[model.ServiceID]*serviceUse{}
	var su *serviceUse
	var service model.ServiceID
	for i := ad.views % stride; i < len(pl.workers.sorted); i += stride {
		wk := pl.workers.sorted[i]
		if !wk.reported || wk.closed() || pl.outage[wk.centre] || pl.stale(wk) {
			continue
		}
		pl.addWorkerToView(now, wk, stride)
		if su == nil || wk.service != service {
			service, su = wk.service, use[wk.service]
			if su == nil {
				su = &serviceUse{}
				use[service] = su
			}
		}
		su.add(wk, stride)
	}
	wall := pl.wall(now)
	for _, jb := range pl.openJobs {
		if !jb.status.Final() {
			pl.addJobToView(jb, wall, use[jb.spec.Service])
		}
	}
	pl.addFullToView(use)
	return vi
}

// addWorkerToView adds a worker, which stands for count of them, and its runs to the view.
func (pl *Planner) addWorkerToView(now model.Instant, wk *worker, count int) {
	vi := &pl.admission.view
	vi.Workers = append(vi.Workers, shed.Worker{
		Service: wk.service, Labels: wk.labels, Room: wk.freeForLong(), Count: count, IdleMilliCPU: (1 - servingLoadRatio) * float64(wk.servingMilliCPU),
	})
	for _, pr := range wk.runs {
		switch {
		case pr.ending:
			continue
		case !pr.spec.LongRunning:
			pl.addRunToView(now, wk, pr, count)
		case len(vi.Quotas) > 0:
			vi.Runs = append(vi.Runs, shed.Run{Service: wk.service, Size: pr.spec.Size, Pinned: true, Workspace: pr.job.spec.Workspace, Count: count, After: -1})
		}
		pl.admission.addUse(pr, count)
	}
}

// addFullToView adds the services whose tasks find no further room to the view.
func (pl *Planner) addFullToView(use map[model.ServiceID]*serviceUse) {
	vi := &pl.admission.view
	for name, su := range use {
		if su.ordinary+su.ordinaryWait >= su.room {
			vi.Full = append(vi.Full, shed.Full{Service: name, MilliCPU: su.ordinary})
		}
		if su.fillersWait > 0 {
			vi.Full = append(vi.Full, shed.Full{Service: name, Filler: true, MilliCPU: su.fillers})
		}
	}
}

// addQuotasToView adds the quotas of workspaces to the view.
func (pl *Planner) addQuotasToView() {
	ad := &pl.admission
	clear(ad.used)
	clear(ad.view.Quotas)
	for id, te := range pl.st.terms {
		if te.Quota().IsZero() {
			continue
		}
		if ad.view.Quotas == nil {
			ad.view.Quotas, ad.used = map[model.WorkspaceID]model.Resources{}, map[model.WorkspaceID]model.Resources{}
		}
		ad.view.Quotas[id] = te.Quota()
	}
}

// addUse adds what a run, which stands for count of them, uses of the quota of its workspace.
func (ad *admission) addUse(pr *placedRun, count int) {
	if _, ok := ad.view.Quotas[pr.job.spec.Workspace]; ok {
		ad.used[pr.job.spec.Workspace] = ad.used[pr.job.spec.Workspace].Add(sumOf(pr.spec.Size, count))
	}
}

// atQuota reports whether the quota of a workspace permits no further task of a size.
func (ad *admission) atQuota(id model.WorkspaceID, size model.Resources) bool {
	limit, limited := share.NewTerms(0, ad.view.Quotas[id]).Limit()
	return limited && !share.Fits(ad.used[id], size, limit)
}

// addRunToView adds a run, which stands for count of them, to the view.
func (pl *Planner) addRunToView(now model.Instant, wk *worker, pr *placedRun, count int) {
	size := pr.size
	if pr.spec.Filler {
		size = size.Add(model.NewResources(pr.spec.Size.MilliCPU(), 0, 0))
	}
	after := pr.remaining(now)
	if pr.percent == 0 {
		after = max(after, pl.runTimeOf(&pr.job.Job, pr.spec)-now.Sub(pr.placedAt))
	}
	vi := &pl.admission.view
	vi.Runs = append(vi.Runs, shed.Run{Service: wk.service, Size: size, Filler: pr.spec.Filler, Workspace: pr.job.spec.Workspace, Count: count, After: after})
	if pr.step.progress.view != pl.admission.views {
		pr.step.progress = stepProgress{view: pl.admission.views}
	}
	pr.step.progress.add(now, pr, after)
}

// serviceUse is what the runs of a service hold besides long-running ones.
type serviceUse struct {
	// room is what they may hold, and ordinary and fillers what they hold, in thousandths of
	// a processor.
	room, ordinary, fillers float64
	// ordinaryWait and fillersWait are what tasks need that have waited for starvationTime
	// and that any worker may run.
	ordinaryWait, fillersWait float64
}

// add adds what the runs of a worker hold, which stands for count of them.
func (su *serviceUse) add(wk *worker, count int) {
	num := float64(count)
	su.room += num * float64(wk.freeForLong().MilliCPU())
	su.ordinary += num * float64(wk.reserved.Sub(wk.longRunning).MilliCPU())
	su.fillers += num * float64(wk.fillerMilliCPU)
}

// addJobToView adds the open occurrences of a job that are due to the view. A long-running job
// adds the tasks that wait for a restart. su is the use of its service, nil without workers.
func (pl *Planner) addJobToView(jb *job, wall int64, su *serviceUse) {
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
			pl.addRestartsToView(jb, occ)
			continue
		}
		age := time.Duration(wall-jb.due(k)) * time.Millisecond
		// A slice of an earlier array stays valid when the array is replaced.
		from := len(pl.admission.steps)
		pl.admission.steps = slices.Grow(pl.admission.steps, len(occ.steps))
		jo := pl.shedJob(&jb.Job, occ, age, pl.admission.steps[from:from:cap(pl.admission.steps)])
		pl.admission.steps = pl.admission.steps[:from+len(occ.steps)]
		vi.Jobs = append(vi.Jobs, jo)
		if su != nil && age > starvationTime {
			pl.addWaiting(jb, occ, su)
		}
	}
}

// addRestartsToView adds the long-running tasks that wait for a restart to the view.
func (pl *Planner) addRestartsToView(jb *job, occ *occurrence) {
	vi := &pl.admission.view
	for s := range occ.steps {
		spec := &jb.spec.Steps[s]
		if !spec.LongRunning || occ.steps[s].idleTasks == 0 {
			continue
		}
		for i := range occ.steps[s].tasks {
			if tk := &occ.steps[s].tasks[i]; tk.waiting() && tk.ran {
				vi.Runs = append(vi.Runs, shed.Run{Service: jb.spec.Service, Size: spec.reservation(), Workspace: jb.spec.Workspace, Count: 1, After: -1})
			}
		}
	}
}

// unconstrained reports whether each task may run on any worker that has room for it.
func (sp *StepSpec) unconstrained() bool {
	return sp.RequiredLabel == "" && sp.PerWorker <= 0 && !sp.Gang
}

// addWaiting adds what the waiting tasks of ready, unconstrained steps need.
func (pl *Planner) addWaiting(jb *job, occ *occurrence, su *serviceUse) {
	for s := range occ.steps {
		spec, idle := &jb.spec.Steps[s], occ.steps[s].idleTasks
		if idle == 0 || !spec.unconstrained() || pl.admission.atQuota(jb.spec.Workspace, spec.Size) {
			continue
		}
		if !occ.ready(spec) || !pl.canHold(jb.spec.Service, spec) {
			continue
		}
		need := float64(idle) * float64(spec.Size.MilliCPU())
		if spec.Filler {
			su.fillersWait += need
		} else {
			su.ordinaryWait += need
		}
	}
}

// shedJob returns an occurrence of a job for the forecast, with its steps appended to steps.
// occ is nil for a job that has not been accepted.
func (pl *Planner) shedJob(jo *Job, occ *occurrence, age time.Duration, steps []shed.Step) shed.Job {
	out := shed.Job{
		ID: jo.ID(), Service: jo.spec.Service, Priority: jo.spec.Priority, Workspace: jo.spec.Workspace, Kind: jo.spec.Queue, Left: jo.Objective() - age,
	}
	for s := range jo.spec.Steps {
		spec := &jo.spec.Steps[s]
		st := shed.Step{
			Tasks: spec.Tasks, Size: spec.Size, Duration: pl.runTimeOf(jo, spec), After: spec.After,
			Label: spec.RequiredLabel, PerWorker: spec.PerWorker, Gang: spec.Gang, Filler: spec.Filler,
		}
		if occ != nil {
			pl.setStepState(&occ.steps[s], &st)
			out.Late = out.Late || out.Left < jo.chainFrom[s] && occ.steps[s].openTasks > 0 && occ.ready(spec)
			out.Work += spec.workOf(occ.steps[s].openTasks)
		} else {
			out.Work += spec.workOf(spec.Tasks)
		}
		steps = append(steps, st)
	}
	out.Rank, out.Steps = stepRank(out.Work, age, jo.Objective()), steps
	return out
}

// setStepState sets the number of waiting tasks of a step and the times expected from its runs.
func (pl *Planner) setStepState(sp *step, st *shed.Step) {
	if sp.progress.view == pl.admission.views {
		st.Duration, st.RunningFor = sp.progress.duration(st.Duration), sp.progress.until
	}
	st.Tasks = 0
	if sp.idleTasks == 0 {
		return
	}
	for i := range sp.tasks {
		if sp.tasks[i].waiting() {
			st.Tasks++
		}
	}
}
