package flow

import (
	"fmt"
	"math"
	"testing"
	"time"

	"guavarail/core/model"
)

// rush is a load on a large cell: long-running tasks hold most of the processors, jobs of
// short tasks and jobs of fillers arrive without a pause, and each worker sends a
// heartbeat in up to a second. It tells which jobs of short tasks end in their objective.
type rush struct {
	sim *simulation
	// rate is the number of jobs of short tasks a second, and fillerRate and
	// longRunningRate the same for jobs of fillers and of long-running tasks.
	rate, fillerRate, longRunningRate float64
	// longRunningAfter is how long after the others the jobs of long-running tasks begin.
	// Jobs that end before are not counted.
	longRunningAfter time.Duration
	open             []*rushJob
	durations        map[model.JobID]time.Duration
	submitted        int
	// ended and onTime count the jobs of short tasks that were due to end, and those of
	// them that ended in their objective.
	ended, onTime int
	// over are the jobs that ended counts.
	over []*rushJob
}

// rushJob is a job of short tasks.
type rushJob struct {
	id  model.JobID
	due model.Instant
	// work is the work of all its tasks, in processor seconds.
	work float64
	// onTime is set if it has ended in its objective.
	onTime bool
}

// newRush returns a load on a number of workers of which long-running tasks hold a share.
func newRush(t *testing.T, seed uint64, workers int, longRunningShare float64) *rush {
	sim := newSimulation(t, seed, 1, 0)
	sim.minCommit, sim.maxCommit = 10*time.Millisecond, 40*time.Millisecond
	ru := &rush{sim: sim, durations: map[model.JobID]time.Duration{}}
	capacity := int64(0)
	for i := range workers {
		size := model.NewResources(32_000, 125_000, 0)
		if i%3 == 2 {
			size = model.NewResources(48_000, 187_000, 0)
		}
		wk := sim.addWorker(fmt.Sprintf("w%04d", i), fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), size)
		wk.centre, wk.rack = model.CentreID(fmt.Sprint("c", i%5)), fmt.Sprint("r", i/8)
		capacity += size.MilliCPU()
	}
	sim.chooseRun = func(_ *workerSim, id TaskID) (time.Duration, Outcome) {
		return ru.spread(ru.durations[id.job], 0.1), Succeeded
	}
	held := int64(0)
	for num := 0; float64(held) < longRunningShare*float64(capacity); num++ {
		step := ru.longRunningStep(num)
		held += int64(step.Tasks) * step.Size.MilliCPU()
		sim.submit(fmt.Sprint("long", num), step)
	}
	return ru
}

// longRunningStep returns the step of the long-running job with a number.
func (ru *rush) longRunningStep(num int) StepSpec {
	step := StepSpec{
		Tasks: 24, Size: model.NewResources(int64(ru.vary(6400, 0.25, 10_000)), int64(ru.vary(13_000, 0.3, 26_000)), 0), LongRunning: true,
		Image: fmt.Sprint("serves", num%16), TailTarget: 100 * time.Millisecond,
	}
	if num%2 == 0 {
		step.PerWorker = 1 + num%3
	}
	return step
}

// vary returns a number around a mean, log-normal with a spread, and at most a maximum.
func (ru *rush) vary(mean, spread, most float64) float64 {
	return min(most, mean*math.Exp(spread*ru.sim.rng.NormFloat64()-spread*spread/2))
}

// spread returns a duration around a mean.
func (ru *rush) spread(mean time.Duration, spread float64) time.Duration {
	return time.Duration(ru.vary(float64(mean), spread, 4*float64(mean)))
}

// play plays the load for a time, after a time in which the long-running tasks start.
func (ru *rush) play(settle, dur time.Duration) {
	sim := ru.sim
	feeds := []struct {
		rate   float64
		after  time.Duration
		submit func()
	}{{ru.rate, settle, ru.submitShort}, {ru.fillerRate, settle, ru.submitFillers}, {ru.longRunningRate, settle + ru.longRunningAfter, ru.submitLongRunning}}
	for _, feed := range feeds {
		if feed.rate > 0 {
			sim.at(model.Instant(feed.after), feed.submit)
		}
	}
	sim.at(model.Instant(settle), ru.look)
	sim.at(model.Instant(settle+ru.longRunningAfter), func() { ru.ended, ru.onTime, ru.over = 0, 0, nil })
	sim.run(model.Instant(settle + dur))
}

// wait returns a random time until the next of some events a second.
func (ru *rush) wait(rate float64) model.Instant {
	return ru.sim.now.Add(time.Duration(ru.sim.rng.ExpFloat64() / rate * float64(time.Second)))
}

// submitShort submits a job of one to three steps of short tasks, and the next later.
func (ru *rush) submitShort() {
	steps := make([]StepSpec, 1+ru.sim.rng.IntN(2)+ru.sim.rng.IntN(4)/3)
	for i := range steps {
		steps[i] = StepSpec{
			Tasks: 1 + int(ru.vary(12, 0.8, 80)), Size: model.NewResources(int64(ru.vary(6000, 0.45, 18_000)), int64(ru.vary(12_000, 0.3, 24_000)), 0),
		}
	}
	ru.submit("short", 0, ru.spread(time.Second, 0.5), steps)
	ru.sim.at(ru.wait(ru.rate), ru.submitShort)
}

// submitFillers submits a job of two steps of fillers, and the next later.
func (ru *rush) submitFillers() {
	steps := make([]StepSpec, 2)
	for i := range steps {
		steps[i] = StepSpec{
			Tasks: 1 + int(ru.vary(39, 0.6, 160)), Size: model.NewResources(int64(ru.vary(3500, 0.3, 7000)), int64(ru.vary(6400, 0.3, 13_000)), 0),
			Filler: true, Checkpoints: true, Image: fmt.Sprint("fills", ru.submitted%30),
		}
	}
	ru.submit("filler", 2, ru.spread(2700*time.Millisecond, 0.5), steps)
	ru.sim.at(ru.wait(ru.fillerRate), ru.submitFillers)
}

// submitLongRunning submits a job of long-running tasks, and the next later.
func (ru *rush) submitLongRunning() {
	ru.submitted++
	ru.sim.submit(fmt.Sprint("late", ru.submitted), ru.longRunningStep(ru.submitted))
	ru.sim.at(ru.wait(ru.longRunningRate), ru.submitLongRunning)
}

// submit submits a job whose steps follow each other, with estimates that are wrong by
// up to half.
func (ru *rush) submit(kind string, priority int, duration time.Duration, steps []StepSpec) {
	ru.submitted++
	id := model.JobID(fmt.Sprint(kind, ru.submitted))
	for i := range steps {
		steps[i].Estimate = time.Duration(float64(duration) * (0.5 + ru.sim.rng.Float64()))
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	ru.durations[id] = duration
	ru.sim.commit([]Op{ru.sim.newJob(id, priority, steps)})
	if kind == "short" {
		objective := time.Duration(len(steps))*duration*3/2 + 1200*time.Millisecond
		work := 0.0
		for _, step := range steps {
			work += float64(step.Tasks) * float64(step.Size.MilliCPU()) / 1000 * duration.Seconds()
		}
		ru.open = append(ru.open, &rushJob{id: id, due: ru.sim.now.Add(objective), work: work})
	}
}

// look counts the jobs of short tasks that have ended or are late.
func (ru *rush) look() {
	st := &ru.sim.leader.st
	open := ru.open[:0]
	for _, jb := range ru.open {
		switch {
		case st.jobs[jb.id].status == Completed:
			jb.onTime = true
			ru.ended++
			ru.onTime++
			ru.over = append(ru.over, jb)
		case ru.sim.now > jb.due:
			ru.ended++
			ru.over = append(ru.over, jb)
		default:
			open = append(open, jb)
		}
	}
	ru.open = open
	ru.sim.at(ru.sim.now.Add(TickInterval), ru.look)
}

// Guards against short tasks that miss their objective in a large cell because their
// start orders wait for the next heartbeat of their workers, while others have room, or
// because plans do not come to them beside a backlog of fillers.
func TestShortJobsAreOnTimeInALargeCell(t *testing.T) {
	// There is room for all of the short tasks, so nearly all of the jobs can be on time.
	const minOnTime = 0.9
	for _, fillerRate := range []float64{20, 80} {
		ru := newRush(t, 1, 1100, 0.8)
		ru.rate, ru.fillerRate = 16.5, fillerRate
		ru.play(3*time.Second, 8*time.Second)
		if share := float64(ru.onTime) / float64(max(1, ru.ended)); share < minOnTime {
			t.Errorf("%v jobs of fillers a second: %d of %d short jobs on time, want %v of them", fillerRate, ru.onTime, ru.ended, minOnTime)
		}
		ru.sim.reportViolations(1)
	}
}
