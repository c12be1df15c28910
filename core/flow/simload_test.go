package flow

import (
	"fmt"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// simJobTasks is the number of tasks of a simulated long-running job.
	simJobTasks = 14
	// simMaxOpen is the number of open ordinary jobs from which on further ones
	// are rejected.
	simMaxOpen = 40
)

// simJob is a job as its submitter sees it.
type simJob struct {
	id       model.JobID
	steps    []StepSpec
	priority int
	// acceptedAt is when the submission was acknowledged, 0 before, and
	// cancelled is set once the cancellation was sent.
	acceptedAt model.Instant
	cancelled  bool
	// duration is how long a task takes, 0 for a long-running one.
	duration time.Duration
}

func (jb *simJob) longRunning() bool { return jb.steps[0].LongRunning }

// simLoad submits and cancels jobs: long-running ones that take a share of the
// capacity, ordinary ones in a stream with bursts, and fillers.
type simLoad struct {
	sim  *simulation
	jobs []*simJob
	byID map[model.JobID]*simJob
	// capacity is the sum of the workers' processors at the start, in thousandths.
	capacity int64
	// longRunningShare is the share of the capacity that long-running jobs
	// request, and ordinaryShare the same for ordinary ones, in processor seconds
	// a second.
	longRunningShare, ordinaryShare float64
	// lifetime is the mean time from the submission of a long-running job to its
	// cancellation.
	lifetime time.Duration
	// taskLifetime is the mean time to the failure of a long-running task.
	taskLifetime time.Duration
	// burst multiplies the rate of ordinary jobs.
	burst float64
	// over is set at the end of the traffic.
	over bool
}

func newSimLoad(sim *simulation) *simLoad {
	ld := &simLoad{sim: sim, byID: map[model.JobID]*simJob{}, burst: 1}
	for _, wk := range sim.workers {
		ld.capacity += wk.size.MilliCPU()
	}
	rng := sim.rng
	ld.longRunningShare, ld.ordinaryShare = 0.6+0.55*rng.Float64(), 0.05+0.6*rng.Float64()
	ld.lifetime, ld.taskLifetime = sim.between(8*time.Second, 60*time.Second), sim.between(8*time.Second, 90*time.Second)
	sim.chooseRun = ld.chooseRun
	return ld
}

// start begins the traffic, which ends at a time.
func (ld *simLoad) start(end model.Instant) {
	sim := ld.sim
	sim.at(sim.after(300), ld.feedLongRunning)
	sim.at(sim.after(2000), ld.feedOrdinary)
	sim.at(sim.after(2000), ld.feedFillers)
	for range sim.rng.IntN(4) {
		sim.at(sim.after(int(time.Duration(end).Milliseconds())), func() {
			ld.burst = 1.5 + 2*sim.rng.Float64()
			sim.at(sim.now.Add(sim.between(2*time.Second, 7*time.Second)), func() { ld.burst = 1 })
		})
	}
	sim.at(end, func() {
		ld.over = true
		if sim.rng.IntN(2) == 0 {
			ld.cancelMost()
		}
	})
}

// cancelMost cancels four in five of the long-running jobs.
func (ld *simLoad) cancelMost() {
	for _, jb := range ld.jobs {
		if jb.longRunning() && ld.sim.rng.IntN(5) > 0 {
			ld.cancel(jb)
		}
	}
}

// exponential returns a random time until an event, given its mean.
func (ld *simLoad) exponential(mean time.Duration) time.Duration {
	return time.Duration(ld.sim.rng.ExpFloat64() * float64(mean))
}

// feedLongRunning submits long-running jobs until they request their share, and
// cancels them after a while.
func (ld *simLoad) feedLongRunning() {
	if ld.over {
		return
	}
	requested := int64(0)
	for _, jb := range ld.jobs {
		if jb.longRunning() && !jb.cancelled {
			requested += int64(jb.steps[0].Tasks) * jb.steps[0].Size.MilliCPU()
		}
	}
	sim := ld.sim
	if float64(requested) < ld.longRunningShare*float64(ld.capacity) {
		milliCPU := 2000 + sim.rng.Int64N(7001)
		step := StepSpec{
			Tasks: simJobTasks, Size: model.NewResources(milliCPU, int64(float64(milliCPU)*(0.8+2.4*sim.rng.Float64())), 0), LongRunning: true, Image: "serves",
		}
		if sim.rng.IntN(5) == 0 {
			step.PerWorker = 1 + sim.rng.IntN(3)
		}
		if sim.rng.IntN(5) == 0 {
			step.RequiredLabel = sim.workers[sim.rng.IntN(len(sim.workers))].labels[0]
		}
		jb := ld.submit("long", sim.rng.IntN(3), 0, step)
		sim.at(sim.now.Add(ld.exponential(ld.lifetime)), func() { ld.cancel(jb) })
	}
	sim.at(sim.now.Add(sim.between(50*time.Millisecond, 600*time.Millisecond)), ld.feedLongRunning)
}

// feedOrdinary submits ordinary jobs at a rate.
func (ld *simLoad) feedOrdinary() {
	const milliCPU = 3500
	if ld.over {
		return
	}
	sim := ld.sim
	steps := make([]StepSpec, 1+sim.rng.IntN(2))
	dur := sim.between(800*time.Millisecond, 2700*time.Millisecond)
	work := 0.0
	for i := range steps {
		estimate := time.Duration(float64(dur) * (0.5 + sim.rng.Float64()))
		steps[i] = StepSpec{Tasks: 10 + sim.rng.IntN(11), Size: model.NewResources(milliCPU, 1000+sim.rng.Int64N(5000), 0), Estimate: estimate}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
		work += float64(steps[i].Tasks) * milliCPU * dur.Seconds()
	}
	if ld.open() < simMaxOpen {
		ld.submit("ordinary", sim.rng.IntN(3), dur, steps...)
	}
	interval := time.Duration(work / (ld.ordinaryShare * ld.burst * float64(ld.capacity)) * float64(time.Second))
	sim.at(sim.now.Add(ld.exponential(interval)), ld.feedOrdinary)
}

// open counts the ordinary jobs that have not ended.
func (ld *simLoad) open() int {
	if ld.sim.leader == nil {
		return simMaxOpen
	}
	num := 0
	for _, jb := range ld.sim.leader.st.jobs {
		if !jb.status.Final() && !jb.longRunning() {
			num++
		}
	}
	return num
}

// feedFillers submits jobs of fillers.
func (ld *simLoad) feedFillers() {
	if ld.over {
		return
	}
	sim := ld.sim
	ld.submit("filler", 2, sim.between(time.Second, 4*time.Second), StepSpec{
		Tasks: 5 + sim.rng.IntN(10), Size: model.NewResources(2000, 500+sim.rng.Int64N(4000), 0), Estimate: 2 * time.Second, Filler: true, Image: "fills",
	})
	sim.at(sim.now.Add(sim.between(time.Second, 6*time.Second)), ld.feedFillers)
}

// submit submits a job until it is accepted.
func (ld *simLoad) submit(kind string, priority int, dur time.Duration, steps ...StepSpec) *simJob {
	jb := &simJob{id: model.JobID(fmt.Sprint(kind, len(ld.jobs))), steps: steps, priority: priority, duration: dur}
	ld.jobs = append(ld.jobs, jb)
	ld.byID[jb.id] = jb
	ld.propose(ld.sim.newJob(jb.id, priority, steps), func() { jb.acceptedAt = ld.sim.now })
	return jb
}

// cancel cancels a job until that is acknowledged.
func (ld *simLoad) cancel(jb *simJob) {
	if !jb.cancelled {
		jb.cancelled = true
		ld.propose(Cancel(jb.id), func() {})
	}
}

// propose commits an operation of a caller, who repeats it until it is
// acknowledged.
func (ld *simLoad) propose(op Op, acknowledged func()) {
	sim := ld.sim
	leader, term := sim.leader, sim.term
	sim.at(sim.now.Add(sim.between(sim.minCommit, sim.maxCommit)), func() {
		if leader == nil || sim.leader != leader || sim.term != term {
			sim.at(sim.after(400), func() { ld.propose(op, acknowledged) })
			return
		}
		sim.commit([]Op{op})
		acknowledged()
	})
}

// chooseRun is simulation.chooseRun.
func (ld *simLoad) chooseRun(_ *workerSim, id TaskID) (time.Duration, Outcome) {
	jb := ld.byID[id.job]
	switch {
	case jb.longRunning():
		return ld.exponential(ld.taskLifetime), Failed
	case ld.sim.rng.IntN(50) == 0:
		return ld.sim.between(0, jb.duration), Failed
	}
	return time.Duration(float64(jb.duration) * (0.9 + 0.2*ld.sim.rng.Float64())), Succeeded
}

// running reports whether a task of the job runs on a worker.
func (ld *simLoad) running(jb *simJob) bool {
	for s := range jb.steps {
		for i := range jb.steps[s].Tasks {
			if len(ld.sim.liveAttempts[NewTaskID(jb.id, 0, s, i)]) > 0 {
				return true
			}
		}
	}
	return false
}

// room returns the sound workers that have room for a task, counting one with
// twice the room as two.
func (sim *simulation) room(id TaskID, spec *StepSpec) []*workerSim {
	var out []*workerSim
	need := spec.reservation()
	for _, wk := range sim.workers {
		switch {
		case !wk.sound(sim.now) || sim.outage[wk.centre]:
			continue
		case spec.PerWorker > 0 && wk.runsOf(id) >= spec.PerWorker:
			continue
		case spec.RequiredLabel != "" && !slices.Contains(wk.labels, spec.RequiredLabel):
			continue
		}
		free := wk.free()
		if need.FitsIn(free) {
			out = append(out, wk)
			if need.Add(need).FitsIn(free) && (spec.PerWorker == 0 || wk.runsOf(id)+2 <= spec.PerWorker) {
				out = append(out, wk)
			}
		}
	}
	return out
}

// sound reports whether a worker is up and no fault affects it.
func (wk *workerSim) sound(now model.Instant) bool {
	return wk.up && !wk.draining && slices.Max([]model.Instant{wk.unheardUntil, wk.unansweredUntil, wk.failingUntil, wk.hangingUntil, wk.slowUntil}) <= now
}

// runsOf counts the runs of a step on the worker.
func (wk *workerSim) runsOf(id TaskID) int {
	num := 0
	for other := range wk.runs {
		if other.job == id.job && other.step == id.step {
			num++
		}
	}
	return num
}
