package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// placedRun is the leader's record of a run on a worker.
type placedRun struct {
	job  *job
	spec *StepSpec
	task TaskID
	// state is the state of task in job, and step that of its step.
	state   *task
	step    *step
	attempt int
	// size is what the run reserves of the worker: nothing once the worker has
	// reported its end.
	size model.Resources
	// placedAt is when this leader placed the run or recorded it as inherited.
	placedAt model.Instant
	// planned is set from the decision to start the run until its start is
	// applied to the state.
	planned bool
	// ending is set from the decision to end the run in the state until its end
	// is applied.
	ending bool
	// mayHaveEnded is set if the end was proposed and the outcome of that is unknown.
	// The end may be applied at any time, so no start order is sent any more.
	mayHaveEnded bool
	// reportedOutcome is how the run has ended according to its worker, 0 before it has
	// reported the end. No other outcome is proposed then.
	reportedOutcome Outcome
	// startSent is set once the start order was sent, in the answer to the
	// heartbeat whose Sequence is startSequence.
	startSent     bool
	startSequence uint64
	// postponedAt is when the start order was last left out of an answer without room for
	// it; 0 if it never was.
	postponedAt model.Instant
	// inherited is set for a run whose start was applied without a record of it
	// here, until a heartbeat lists the run. An earlier leader proposed the
	// start and may have sent the order, or this leader proposed it and the
	// proposal ended with an unknown outcome.
	inherited bool
	// reported is set once a heartbeat has listed the run.
	reported bool
	// stopping is set when a stop order is sent, and reset when a later
	// heartbeat still lists the run.
	stopping bool
	// checkpoint and percent are as in the latest RunReport. Before it,
	// checkpoint is where the run resumes.
	checkpoint string
	percent    int
	// sampledPercent is the progress at sampledAt, the start of the next speed
	// sample.
	sampledPercent int
	sampledAt      model.Instant
	// progressedAt is the time of the last heartbeat that showed another
	// percentage than the one before, or that a long-running task was serving.
	progressedAt model.Instant
	// use is the fraction of the worker's processors that a filler used,
	// according to the last heartbeat.
	use float64
	// fullPaceUse is the use at full pace, derived from measurements; 0 before
	// the first.
	fullPaceUse float64
	// pace is the pace that the run should have, in percent.
	pace int
	// paceChangedAt is when pace last changed.
	paceChangedAt model.Instant
	// evicting is set once the run is to be stopped so that its task can start
	// on another worker.
	evicting bool
	// unwantedSince is when the plan first counted on the stop of the run, 0
	// before.
	unwantedSince model.Instant
	// paceLimited is set once this leader, or possibly an earlier one, has sent
	// a pace order for the run. sentPace is the pace in the last order, which
	// was sent at sentPaceAt, or unknownPace.
	paceLimited bool
	sentPace    int
	sentPaceAt  model.Instant
}

func newPlacedRun(jb *job, id TaskID, attempt int, now model.Instant) *placedRun {
	spec := &jb.spec.Steps[id.step]
	sp := &jb.occurrence(id.occurrence).steps[id.step]
	return &placedRun{
		job: jb, spec: spec, task: id, state: &sp.tasks[id.index], step: sp, attempt: attempt,
		size: spec.reservation(), placedAt: now, pace: fullPace, sentPace: fullPace,
	}
}

// markInherited marks a run whose start was applied without a record of it here.
// The pace of a filler may have been limited before.
func (pr *placedRun) markInherited() *placedRun {
	pr.inherited = true
	if pr.spec.Filler {
		pr.paceLimited, pr.sentPace = true, unknownPace
	}
	return pr
}

// reservation returns what a task reserves on a worker. A filler reserves no
// processors.
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
	// size is the total of the worker's resources.
	size model.Resources
	// reserved is the sum of the reservations of runs.
	reserved model.Resources
	// draining is set if the worker is about to exit, and staysUntil is when it does at the
	// earliest, as far as it has told.
	draining   bool
	staysUntil model.Instant
	// drained is set while the planner is told to drain the worker.
	drained bool
	// left is set once the worker has announced its exit. It gets no lease and no start
	// orders then.
	left bool
	// reported is set by the first heartbeat to this leader.
	reported bool
	// sequence is the Sequence of the last heartbeat.
	sequence uint64
	// lastHeartbeat is when the last heartbeat arrived, or was sent if it was late.
	lastHeartbeat model.Instant
	// excused is how much of the time since lastHeartbeat this leader has refused all
	// heartbeats.
	excused time.Duration
	// fastest is what the lateness of a heartbeat is measured by.
	fastest fastestHeartbeat
	// leaseEnd is when all runs of the worker have certainly ended unless the
	// lease is renewed.
	leaseEnd model.Instant
	// expired is set when the expiry of the lease is recorded as an event, until
	// the next answer renews the lease.
	expired bool
	// unstorable is set once the log could not hold a start on the worker.
	unstorable bool
	// silent is set from the decision to mark the worker as silent, or from the
	// start of the term if an earlier leader has marked it, until the removal of the
	// mark is applied. A silent worker gets no lease and no start orders.
	silent bool
	// heardProposed is set from the decision to remove the mark until that is
	// applied or the outcome of the proposal is unknown.
	heardProposed bool
	// unproven is set for a worker with runs of an earlier leader, until a heartbeat
	// proves that it is alive. Until then its lease isn't prolonged.
	unproven bool
	// probe is the last heartbeat of a silent or unproven worker.
	probe probe
	runs  []*placedRun
	// longRuns are the runs of long-running tasks, in the order of runs.
	longRuns []*placedRun
	// answerPending is set while a heartbeat is open, that is, not answered yet.
	// heartbeatID identifies that heartbeat, which arrived at
	// answerPendingSince.
	heartbeatID   uint64
	answerPending bool
	// listedOpen is set while the worker is in Planner.openHeartbeats.
	listedOpen         bool
	answerPendingSince model.Instant
	// nextHeartbeat is when the worker is expected to send its next heartbeat at the
	// latest, as the last answer has asked for; 0 before the first.
	nextHeartbeat model.Instant
	// reportedEnds are the ended runs in the last heartbeat, ordered by Number, and
	// plansBefore is how many plans this leader had made before it arrived.
	reportedEnds []EndReport
	plansBefore  uint64
	// lateSuccesses is set if these ends may have a success that is proposed though the run
	// has another end.
	lateSuccesses bool
	// unknownRuns are the runs in the last heartbeat that have no record in runs.
	// What they reserve is unknown, and the next answer orders to stop them.
	unknownRuns []StopOrder
	health      health
	speed       speed
	// slowUntil is the end of the pause during which a slow worker gets no
	// further tasks, except long-running ones.
	slowUntil model.Instant
	// servingRuns and fillerRuns count the runs of serving tasks and of fillers.
	servingRuns, fillerRuns int
	// fillerMilliCPU and servingMilliCPU are the processors that the fillers
	// and the serving tasks request, in thousandths of a processor.
	fillerMilliCPU, servingMilliCPU int64
	// longRunning is the sum of the reservations of long-running tasks.
	longRunning model.Resources
	// indexed is the position of the worker in Planner.room, if that holds it.
	indexed int
	// claims is the capacity that the current plan keeps for waiting tasks.
	claims claims
	// overTargetSince is the time since which some serving task has exceeded
	// its target, 0 while none does.
	overTargetSince model.Instant
	// fillerUses is the buffer in which measureFillers and updateServingJobs
	// collect the uses of the fillers, by image.
	fillerUses []imageUse
	// servingJobs are the serving jobs that have tasks on the worker.
	servingJobs []servingJob
	// endedUses are the uses of fillers that ended within readingWindow.
	endedUses []endedUse
}

// orderWait returns the expected time until a start order can be sent to the worker: none
// while a heartbeat is open.
func (wk *worker) orderWait(now model.Instant) time.Duration {
	if wk.answerPending {
		return 0
	}
	return max(0, wk.nextHeartbeat.Sub(now))
}

// closed reports whether the worker gets no further tasks because it is about to leave.
func (wk *worker) closed() bool { return wk.draining || wk.drained || wk.left }

// free returns what no run has reserved.
func (wk *worker) free() model.Resources { return wk.size.Sub(wk.reserved) }

// stoppable returns what the runs on the worker reserve that are not long-running
// or are being stopped already.
func (wk *worker) stoppable() model.Resources {
	sum := wk.reserved.Sub(wk.longRunning)
	for _, pr := range wk.longRuns {
		if pr.ending || pr.evicting {
			sum = sum.Add(pr.size)
		}
	}
	return sum
}

func (wk *worker) add(pr *placedRun) {
	wk.runs = append(wk.runs, pr)
	wk.reserved = wk.reserved.Add(pr.size)
	if pr.spec.LongRunning {
		wk.longRuns = append(wk.longRuns, pr)
		wk.longRunning = wk.longRunning.Add(pr.size)
	}
	wk.countRun(pr, 1)
}

// countRun adds by, 1 or -1, to the counts that a run is part of.
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
	wk.release(pr)
	wk.countRun(pr, -1)
}

// release frees what a run reserves, because the worker has reported its end.
func (wk *worker) release(pr *placedRun) {
	wk.reserved = wk.reserved.Sub(pr.size)
	if pr.spec.LongRunning {
		wk.longRuns = slices.DeleteFunc(wk.longRuns, func(other *placedRun) bool { return other == pr })
		wk.longRunning = wk.longRunning.Sub(pr.size)
	}
	pr.size = model.Resources{}
}

// find returns the record of a run on the worker, or nil.
func (wk *worker) find(task TaskID, attempt int) *placedRun {
	for _, pr := range wk.runs {
		// Most runs differ in the numbers, which are compared faster than names.
		if pr.attempt == attempt && pr.task.index == task.index && pr.task == task {
			return pr
		}
	}
	return nil
}

// runsOfStep counts the runs on the worker whose tasks belong to the same step
// and occurrence as task.
func (wk *worker) runsOfStep(task TaskID) int {
	num := 0
	for _, pr := range wk.runs {
		if pr.task.job == task.job && pr.task.occurrence == task.occurrence && pr.task.step == task.step {
			num++
		}
	}
	return num
}
