package flow

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/share"
)

// setTerms puts terms in effect with the next log entry.
func (sim *simulation) setTerms(terms map[model.WorkspaceID]share.Terms) {
	if sim.terms == nil {
		sim.terms = map[int]map[model.WorkspaceID]share.Terms{}
	}
	sim.terms[len(sim.log)] = terms
	sim.commit(nil)
}

// quota returns the terms of a workspace with a quota of processors and weight 1.
func quota(milliCPU int64) share.Terms { return share.NewTerms(1, model.NewResources(milliCPU, 0, 0)) }

// inUse sums up the sizes of the runs of a workspace in the log from the records of its jobs.
func inUse(st *State, workspace model.WorkspaceID) model.Resources {
	var sum model.Resources
	for _, jb := range st.jobs {
		for _, occ := range jb.occurrences {
			for s := range occ.steps {
				for i := range occ.steps[s].tasks {
					if jb.spec.Workspace == workspace {
						sum = sum.Add(sumOf(jb.spec.Steps[s].Size, len(occ.steps[s].tasks[i].runs)))
					}
				}
			}
		}
	}
	return sum
}

// watchQuotas fails the test if a start that a VM applies brings a workspace above its
// quota, or if its accounts differ from its runs.
func (sim *simulation) watchQuotas(refused *int) {
	failed := func(format string, args ...any) {
		sim.t.Errorf("%v: "+format, append([]any{time.Duration(sim.now)}, args...)...)
	}
	sim.applied = func(vm *vmSim, op Op, verdict Verdict) {
		if op.kind != OpStart {
			return
		}
		if verdict == OverQuota {
			*refused++
		}
		workspace := vm.st.jobs[op.id].spec.Workspace
		used := inUse(&vm.st, workspace)
		limit, _ := vm.st.terms[workspace].Limit()
		if verdict == Accepted && !used.FitsIn(limit) {
			failed("the start of %v brings %s to %+v, above its quota", op.task, workspace, used)
		}
		if vm.st.used.Use(workspace).Owned() != used {
			failed("%s uses %+v, its account has %+v", workspace, used, vm.st.used.Use(workspace).Owned())
		}
	}
}

// submitMix submits tasks, gangs, fillers and long-running tasks of two workspaces.
func submitMix(sim *simulation) {
	for i := range 24 {
		step := StepSpec{Tasks: 1 + sim.rng.IntN(9), Size: model.NewResources(500+sim.rng.Int64N(2000), 200, 0), Estimate: time.Second}
		switch i % 6 {
		case 1:
			step.Gang, step.Tasks = true, 3
		case 3:
			step.Filler = true
		case 5:
			step.LongRunning, step.Tasks = i == 5, 2
		}
		sim.submit(fmt.Sprint("job", i), step)
	}
}

// Guards against starts that bring a workspace above its quota: with leaders that fail between
// proposal and commit, workers that crash, and a quota that is lowered while it is full.
func TestNoStartExceedsAQuota(t *testing.T) {
	refused := 0
	for seed := range uint64(40) {
		sim := newSimulation(t, seed, 3, 6)
		sim.unknownShare, sim.lostShare, sim.lateShare, sim.repeatedShare = 0.1, 0.02, 0.02, 0.02
		sim.workspaceOf = func(_ model.JobID) model.WorkspaceID {
			return model.WorkspaceID([]string{"odd", "even"}[len(sim.specs)%2])
		}
		sim.watchQuotas(&refused)
		choose := sim.chooseRun
		sim.chooseRun = func(wk *workerSim, id TaskID) (time.Duration, Outcome) {
			if sim.specs[id.job][0].LongRunning {
				return sim.between(time.Second, 20*time.Second), Failed
			}
			return choose(wk, id)
		}
		sim.setTerms(map[model.WorkspaceID]share.Terms{"odd": quota(11_000), "even": quota(9000)})
		submitMix(sim)
		for at := time.Second; at < 40*time.Second; at += 4 * time.Second {
			sim.at(model.Instant(at), func() {
				sim.crash(sim.workers[sim.rng.IntN(6)], time.Second)
				if sim.leader != nil {
					sim.failOver(sim.between(simLeaderLease, time.Second))
				}
			})
		}
		sim.at(model.Instant(3*time.Second), func() { sim.setTerms(map[model.WorkspaceID]share.Terms{"odd": quota(4000), "even": quota(20_000)}) })
		sim.at(model.Instant(9*time.Second), func() { sim.setTerms(map[model.WorkspaceID]share.Terms{"odd": quota(16_000), "even": quota(8000)}) })
		sim.run(model.Instant(120 * time.Second))
		for id, jb := range sim.leader.st.jobs {
			if !jb.status.Final() && !jb.longRunning() {
				t.Errorf("seed %d: %s has not ended", seed, id)
			}
		}
	}
	if refused == 0 {
		t.Error("no start was refused in log order, so the check there was not tested")
	}
}

// Guards against a second run of a task, a gang or a start after a restored snapshot that
// isn't counted.
func TestQuotaCountsCopiesGangsAndRestoredRuns(t *testing.T) {
	var st State
	submit := func(id model.JobID, step StepSpec) {
		jo, err := NewJob(JobSpec{ID: id, Service: "svc", Workspace: "ws", Steps: []StepSpec{step}})
		if err != nil {
			t.Fatal(err)
		}
		st.Apply(Submit(jo))
	}
	start := func(id model.JobID, index, attempt int, want Verdict) {
		t.Helper()
		if got := st.Apply(Start(NewTaskID(id, 0, 0, index), attempt, NewIncarnation("w", 1))); got != want {
			t.Errorf("start %d of task %d of %s: %v, want %v", attempt, index, id, got, want)
		}
	}
	terms := map[model.WorkspaceID]share.Terms{"ws": quota(3000)}
	st.SetTerms(terms)
	submit("copies", StepSpec{Tasks: 2, Size: model.NewResources(1000, 1, 0), Speculative: true})
	submit("gang", StepSpec{Tasks: 2, Size: model.NewResources(1000, 1, 0), Gang: true})
	submit("filler", StepSpec{Tasks: 3, Size: model.NewResources(1000, 1, 0), Filler: true})
	start("copies", 0, 1, Accepted)
	start("copies", 0, 2, Accepted)
	start("gang", 0, 1, OverQuota)
	start("gang", 1, 1, OverQuota)
	start("filler", 0, 1, Accepted)
	start("filler", 1, 1, OverQuota)
	snap := st.Snapshot()
	st.Restore(snap)
	st.SetTerms(terms)
	start("filler", 1, 1, OverQuota)
	st.Apply(End(NewTaskID("copies", 0, 0, 0), 2, Stopped, ""))
	start("filler", 1, 1, Accepted)
}

// Guards against a wide step or a gang that waits for its quota and holds up other work of its
// workspace, or keeps room, or takes an overdue turn; and against a quota that is not used up.
func TestStepsThatWaitForQuotaHoldUpNoOthers(t *testing.T) {
	clu := newCluster(t, 1, 4)
	clu.st.SetTerms(map[model.WorkspaceID]share.Terms{"ws": quota(4000)})
	submit := func(id model.JobID, duration time.Duration, step StepSpec) { clu.submitFor("ws", id, duration, step) }
	submit("gang", time.Second, StepSpec{Tasks: 5, Size: model.NewResources(1000, 100, 0), Gang: true})
	submit("wide", 2*time.Second, StepSpec{Tasks: 10, Size: model.NewResources(1500, 100, 0)})
	most := 0
	clu.play(2*time.Second, func() {})
	submit("narrow", time.Second, StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	clu.play(30*time.Second, func() {
		most = max(most, clu.runs("wide"))
		for _, wk := range clu.pl.workers.sorted {
			if len(wk.claims.made) > 0 {
				t.Fatalf("%v: %s keeps room", time.Duration(clu.now), wk.incarnation)
			}
		}
		if clu.pl.turns[0] != nil && len(clu.pl.turns[0].turns) > 0 {
			t.Fatalf("%v: overdue turn", time.Duration(clu.now))
		}
	})
	if clu.started("narrow") != 1 || most != 2 || clu.started("gang") != 0 || clu.st.jobs["wide"].status != Completed {
		t.Errorf("narrow started %d, at most %d wide tasks, gang started %d, wide %v", clu.started("narrow"), most, clu.started("gang"), clu.st.jobs["wide"].status)
	}
	if !slices.ContainsFunc(clu.events, func(ev RecordEvent) bool { return ev.Kind == "tasksWait" && ev.Job == "gang" }) {
		t.Error("no event tells that the gang waits")
	}
	uses := len(slices.DeleteFunc(slices.Clone(clu.events), func(ev RecordEvent) bool { return ev.Kind != "workspaceUse" }))
	if uses == 0 || uses > int(time.Duration(clu.now)/useEventInterval) {
		t.Errorf("%d events tell the use of the workspace in %v", uses, time.Duration(clu.now))
	}
	clu.st.SetTerms(map[model.WorkspaceID]share.Terms{"ws": quota(5000)})
	clu.play(2*time.Second, func() {})
	if clu.started("gang") != 5 {
		t.Errorf("%d members of the gang started after the quota was raised", clu.started("gang"))
	}
}

// submitFor submits a job of one step that a workspace owns.
func (clu *cluster) submitFor(workspace model.WorkspaceID, id model.JobID, duration time.Duration, step StepSpec) {
	step.Estimate = duration
	jo, err := NewJob(JobSpec{
		ID: id, Service: "svc", Workspace: workspace, Steps: []StepSpec{step}, MaxFailures: 9, ObjectiveFactor: 2, ObjectiveBase: time.Second,
		AcceptedMs: time.Duration(clu.now).Milliseconds(),
	})
	if err != nil {
		clu.t.Fatal(err)
	}
	clu.durations[id] = duration
	clu.step(clu.commit(Submit(jo)))
}

// Guards against a gang or a restart that never starts because smaller tasks of its own
// workspace use each part of the quota that becomes free, and against other work of the
// workspace that waits all the time for it.
func TestSmallTasksDoNotUseUpTheQuotaForever(t *testing.T) {
	for _, tt := range []StepSpec{
		{Tasks: 2, Size: model.NewResources(2000, 100, 0), Gang: true},
		{Tasks: 1, Size: model.NewResources(3500, 100, 0), LongRunning: true},
	} {
		clu := newCluster(t, 1, 5)
		clu.st.SetTerms(map[model.WorkspaceID]share.Terms{"ws": quota(8000)})
		feed := func() {
			for clu.submitted-clu.completed < 30 {
				clu.submitFor("ws", model.JobID(fmt.Sprint("small", clu.submitted)), 800*time.Millisecond, StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
				clu.submitted++
			}
		}
		if tt.LongRunning {
			clu.submitFor("ws", "large", 0, tt)
			clu.play(2*time.Second, func() {})
			clu.lose(clu.running[NewTaskID("large", 0, 0, 0)])
		}
		clu.play(3*time.Second, feed)
		if !tt.LongRunning {
			clu.submitFor("ws", "large", 5*time.Second, tt)
		}
		idle := 0
		for begun := clu.now; clu.runs("large") < tt.Tasks && clu.now.Sub(begun) < 20*time.Second; {
			clu.play(TickInterval, feed)
			if len(clu.running) < 3 {
				idle++
			}
		}
		if clu.runs("large") < tt.Tasks || idle > 2 {
			t.Errorf("%+v: %d tasks run, %d times others had less than half of the quota", tt, clu.runs("large"), idle)
		}
	}
}
