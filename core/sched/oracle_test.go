package sched

import (
	"fmt"
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/place"
)

// fatalReporter is the part of testing.TB that the oracle uses.
type fatalReporter interface {
	Fatalf(format string, args ...any)
}

// fakeJob determines how the attempts of a job behave.
type fakeJob struct {
	length time.Duration
	usage  model.Resources
	// failing: every attempt fails.
	failing bool
}

// checkpointKey identifies a checkpoint of a task.
type checkpointKey struct {
	task model.TaskID
	cp   Checkpoint
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    model.TaskID
	attempt model.Attempt
}

// oracle checks the invariants against what the fake workers actually run.
type oracle struct {
	tb   fatalReporter
	jobs map[model.JobID]fakeJob
	// savedProgress has the progress that each checkpoint contains.
	savedProgress map[checkpointKey]time.Duration
	// startedAttempts has each attempt that any worker ever started.
	startedAttempts map[attemptKey]bool
	// cancelledAt has the time at which the cancellation of a job was applied
	// first.
	cancelledAt map[model.JobID]model.Instant
	// successes counts the attempts of each task that succeeded.
	successes map[model.TaskID]int
	// finalStates has the final state of each task that reached one.
	finalStates map[model.TaskID]TaskState
	// unplannedStarts: the starts being committed do not come from a current
	// plan, so quotas are not checked.
	unplannedStarts bool
}

func newOracle(tb fatalReporter) *oracle {
	return &oracle{
		tb: tb, jobs: map[model.JobID]fakeJob{}, savedProgress: map[checkpointKey]time.Duration{}, startedAttempts: map[attemptKey]bool{},
		cancelledAt: map[model.JobID]model.Instant{}, successes: map[model.TaskID]int{}, finalStates: map[model.TaskID]TaskState{},
	}
}

// started checks P2, P3 and P4 when a worker starts an attempt.
func (orc *oracle) started(wk *fakeWorker, fa *fakeAttempt) {
	sim := wk.sim
	key := attemptKey{fa.task, fa.attempt}
	if orc.startedAttempts[key] {
		orc.tb.Fatalf("P3: attempt %d of %s ran twice", fa.attempt, fa.task)
	}
	orc.startedAttempts[key] = true
	for _, other := range sim.workers {
		for _, run := range other.attempts {
			if run != fa && run.task == fa.task && run.state == AttemptRunning && sim.now < run.leaseUntil {
				orc.tb.Fatalf("P2: %s runs as attempt %d on %s and as %d on %s", fa.task, run.attempt, other.id, fa.attempt, wk.id)
			}
		}
	}
	// A permit renewed just before outAt lasts 2 s, and an order issued under
	// it is valid for StartWindow more.
	if sim.out && sim.now.Sub(sim.outAt) > 3*time.Second {
		orc.tb.Fatalf("P4: %s started %v after the data centre went out of service", fa.task, sim.now.Sub(sim.outAt))
	}
	if at, ok := orc.cancelledAt[fa.task.Job()]; ok && sim.now.Sub(at) > StartWindow {
		orc.tb.Fatalf("%s started %v after its job was cancelled", fa.task, sim.now.Sub(at))
	}
}

func (orc *oracle) completed(fa *fakeAttempt) { orc.successes[fa.task]++ }

// applied checks the accepted operations of a command.
func (orc *oracle) applied(sim *simulation, vm *replica, cmd Command, res Result) {
	if vm != sim.leader {
		return
	}
	for i := range cmd.ops {
		op := cmd.ops[i]
		if res.verdicts[i] != Accepted {
			continue
		}
		switch op.kind {
		case OpCancel:
			for _, id := range op.jobs {
				if _, ok := orc.cancelledAt[id]; !ok {
					orc.cancelledAt[id] = sim.now
				}
			}
		case OpStart:
			orc.withinQuota(sim, op)
			if _, ok := orc.cancelledAt[op.task.Job()]; ok {
				orc.tb.Fatalf("start of %s was recorded after its job was cancelled", op.task)
			}
		}
	}
}

// withinQuota checks that a start fits in the quota of its team unless it is
// marked as borrowed, and that only batch tasks borrow.
func (orc *oracle) withinQuota(sim *simulation, start Op) {
	if orc.unplannedStarts {
		return
	}
	st := &sim.leader.state
	team := st.jobs[start.task.Job()].spec.Team
	quo, ok := sim.preset.Quota(team)
	if start.borrowed || len(sim.preset.Quotas()) == 0 {
		if start.borrowed && st.jobs[start.task.Job()].spec.Priority != model.Batch {
			orc.tb.Fatalf("%s borrows but is not batch", start.task)
		}
		return
	}
	quotaUsed := model.Resources{}
	for _, wk := range st.workers {
		for _, re := range wk.refs {
			if re.job.spec.Team == team && !re.task().borrowed {
				quotaUsed = quotaUsed.Add(re.task().size.resources())
			}
		}
	}
	if !ok || !quotaUsed.FitsIn(quo.Limit()) {
		orc.tb.Fatalf("team %s uses %v of its quota with the start of %s; the quota is %v", team, quotaUsed, start.task, quo.Limit())
	}
}

// check checks after each step that the commitments add up and fit (P1), that
// final states do not change, and that the planner agrees with the state.
func (orc *oracle) check(sim *simulation) {
	st := &sim.leader.state
	for _, wk := range st.workers {
		sum := model.Resources{}
		for _, re := range wk.refs {
			sum = sum.Add(re.task().size.resources())
		}
		if sum != wk.committed || !sum.FitsIn(wk.size) {
			orc.tb.Fatalf("P1: the commitments on %s add up to %v, the state has %v, the size is %v", wk.id, sum, wk.committed, wk.size)
		}
	}
	for id := range orc.jobs {
		jb, ok := st.jobs[id]
		if !ok {
			continue
		}
		for i := range jb.tasks {
			tid, state := model.NewTaskID(id, i), jb.tasks[i].state
			if earlier, ok := orc.finalStates[tid]; ok && earlier != state {
				orc.tb.Fatalf("%s was %s and is %s", tid, earlier, state)
			}
			if state.Final() {
				orc.finalStates[tid] = state
			}
		}
	}
	orc.checkPlanner(sim)
}

// checkPlanner compares the leader-only state with the replicated state.
func (orc *oracle) checkPlanner(sim *simulation) {
	pl := sim.leader.planner
	committed := model.Resources{}
	for idx, wk := range pl.st.workers {
		committed = committed.Add(wk.committed)
		attempts := 0
		if idx < len(pl.statuses) {
			attempts = len(pl.statuses[idx].attempts)
		}
		if attempts != len(wk.refs) {
			orc.tb.Fatalf("planner has %d attempts on %s, state %d", attempts, wk.id, len(wk.refs))
		}
	}
	if committed != pl.accounts.committed {
		orc.tb.Fatalf("planner counts commitments of %v, state %v", pl.accounts.committed, committed)
	}
	orc.checkReservations(pl)
}

// checkReservations checks that the sums over the reservations add up, that
// their number is bounded, and that no room is withheld without one.
func (orc *oracle) checkReservations(pl *Planner[place.BestFit]) {
	claims, withheld := 0, [2]int64{}
	for _, res := range pl.reservations {
		if pl.statuses[res.workerIndex].reservation != res || !slices.Contains(res.bl.reservations, res) {
			orc.tb.Fatalf("the reservation on worker %d for %s is not listed", res.workerIndex, res.bl.job.spec.ID)
		}
		if !res.evicting {
			claims++
		}
		if int(res.rank) < len(withheld) {
			withheld[res.rank] += res.withheld.MilliCPU()
		}
	}
	if claims != pl.claims || withheld != pl.withheldBatch || claims > maxClaims {
		orc.tb.Fatalf("%d claims, counted as %d; they withhold %v, counted as %v", claims, pl.claims, withheld, pl.withheldBatch)
	}
	for idx, wk := range pl.st.workers {
		free := pl.freeRoom(int32(idx))
		if !pl.inFlight.active && pl.index.Listed(int32(idx)) && free != wk.free() {
			orc.tb.Fatalf("planner counts %v as free on %s, the state %v", free, wk.id, wk.free())
		}
	}
}

// allFinal reports whether every task is in a final state.
func (orc *oracle) allFinal(sim *simulation) bool {
	for id := range orc.jobs {
		if jb, ok := sim.leader.state.jobs[id]; !ok || jb.open > 0 {
			return false
		}
	}
	return true
}

// checkAllFinal checks, after all faults have ended, that no job or task was
// lost.
func (orc *oracle) checkAllFinal(sim *simulation) {
	st := &sim.leader.state
	for id := range orc.jobs {
		jb, ok := st.jobs[id]
		if !ok {
			orc.tb.Fatalf("job %s is lost", id)
			continue
		}
		for i := range jb.tasks {
			if tk := &jb.tasks[i]; !tk.state.Final() {
				orc.tb.Fatalf("task %s/%d is still %s: %s", id, i, tk.state, historyText(st, tk))
			}
		}
	}
}

func historyText(st *State, tk *task) string {
	out := ""
	for _, hi := range tk.historyEntries() {
		out += fmt.Sprintf(" %s:%d@%s(%s)", hi.kind, hi.attempt, st.workerName(hi.workerNumber), hi.reason)
	}
	return out
}
