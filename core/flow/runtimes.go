package flow

import (
	"time"

	"guavarail/core/model"
)

const (
	// runTimeWeight is the weight of the last run in the measured run time of a kind of
	// tasks, and runTimePrior the number of runs for which the assumption counts that
	// declared durations are right.
	runTimeWeight = 0.02
	runTimePrior  = 5
	// maxRunTimeRatio bounds the measured part or multiple of a declared duration.
	maxRunTimeRatio = 4.0
	// usualStartTime is the part of the time of a run, from its placement until its end is
	// applied, in which the task does not run.
	usualStartTime = 150 * time.Millisecond
	// minProgress is the progress, in percent, from which a run tells how long the others
	// of its step take.
	minProgress = 20
)

// runTimeKey names tasks whose declared durations are expected to be wrong alike.
type runTimeKey struct {
	queue  string
	filler bool
}

// runTime measures how long tasks run, relative to their declared duration. The zero value
// has no runs.
type runTime struct {
	ratio float64
	runs  int
}

// add adds a run.
func (rt *runTime) add(declared, measured time.Duration) {
	if rt.runs == 0 {
		rt.ratio = 1
	}
	rt.runs++
	sample := min(maxRunTimeRatio, max(1/maxRunTimeRatio, float64(measured)/float64(declared)))
	rt.ratio += max(runTimeWeight, 1/float64(rt.runs+runTimePrior)) * (sample - rt.ratio)
}

// measureRunTime measures a run that has succeeded.
func (pl *Planner) measureRunTime(now model.Instant, pr *placedRun) {
	if !pl.config.Admission || pr.inherited || pr.spec.LongRunning || pr.spec.Estimate <= 0 {
		return
	}
	key := runTimeKey{queue: pr.job.spec.Queue, filler: pr.spec.Filler}
	rt, ok := pl.admission.runTimes[key]
	if !ok {
		if pl.admission.runTimes == nil {
			pl.admission.runTimes = map[runTimeKey]*runTime{}
		}
		rt = &runTime{}
		pl.admission.runTimes[key] = rt
	}
	rt.add(pr.spec.Estimate, now.Sub(pr.placedAt)-usualStartTime)
}

// runTimeOf returns the expected run time of a task.
func (pl *Planner) runTimeOf(jb *job, spec *StepSpec) time.Duration {
	rt, ok := pl.admission.runTimes[runTimeKey{queue: jb.spec.Queue, filler: spec.Filler}]
	if !ok {
		return spec.Estimate
	}
	return time.Duration(rt.ratio * float64(spec.Estimate))
}

// stepProgress is what the runs of a step tell about it. The zero value is that of a step
// without runs.
type stepProgress struct {
	// until is the expected time until all of them have ended.
	until time.Duration
	// sum is the expected run time of num of them in total.
	sum time.Duration
	num int
}

// add adds a run that is expected to end after a time.
func (sp *stepProgress) add(now model.Instant, pr *placedRun, after time.Duration) {
	sp.until = max(sp.until, after)
	if pr.percent >= minProgress {
		sp.sum += now.Sub(pr.placedAt) + after
		sp.num++
	}
}

// duration returns the expected run time of a task, given what is expected without the
// runs.
func (sp *stepProgress) duration(usual time.Duration) time.Duration {
	if sp.num == 0 {
		return usual
	}
	return sp.sum / time.Duration(sp.num)
}
