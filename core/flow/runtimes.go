package flow

import (
	"time"

	"guavarail/core/model"
)

const (
	// runTimeWeight is the weight of the last run in the measured run times.
	runTimeWeight = 0.02
	// runTimePrior is the number of runs for which the assumption counts that declared
	// durations are right, with errors of priorSpread.
	runTimePrior = 10
	priorSpread  = 0.5
	// maxRunTimeRatio bounds the measured part or multiple of a declared duration.
	maxRunTimeRatio = 4.0
	// usualStartTime is the assumed part of the time of a run, from its placement until its
	// end is applied, in which the task does not run.
	usualStartTime = 0.2
	// minProgress is the progress, in percent, from which a run tells how long the others
	// of its step take.
	minProgress = 20
)

// runTimeKey identifies tasks whose declared durations are expected to have similar errors.
type runTimeKey struct {
	queue  string
	filler bool
}

// runTime measures how long runs hold their worker, from their placement until their end is
// applied, as a linear function of their declared duration. The zero value has no runs.
type runTime struct {
	runs int
	// declared and measured are weighted means, in seconds, spread is the variance of the
	// declared durations, and common their covariance with the measured ones.
	declared, measured, spread, common float64
}

// add adds the measured duration of a run, within bounds.
func (rt *runTime) add(declared, measured time.Duration) {
	x := declared.Seconds()
	y := min(max(measured.Seconds(), x/maxRunTimeRatio), usualStartTime+maxRunTimeRatio*x)
	if rt.runs == 0 {
		*rt = runTime{declared: x, measured: x + usualStartTime, spread: priorSpread * x * x, common: priorSpread * x * x}
	}
	rt.runs++
	weight := max(runTimeWeight, 1/float64(rt.runs+runTimePrior))
	dx, dy := x-rt.declared, y-rt.measured
	rt.declared += weight * dx
	rt.measured += weight * dy
	rt.spread += weight * ((1-weight)*dx*dx - rt.spread)
	rt.common += weight * ((1-weight)*dx*dy - rt.common)
}

// expected returns how long a run holds its worker, given its declared duration.
func (rt *runTime) expected(declared time.Duration) time.Duration {
	if rt == nil {
		return declared + time.Duration(usualStartTime*float64(time.Second))
	}
	slope := min(maxRunTimeRatio, max(0, rt.common/max(rt.spread, 1e-9)))
	sec := rt.measured + slope*(declared.Seconds()-rt.declared)
	return time.Duration(max(sec, declared.Seconds()/maxRunTimeRatio) * float64(time.Second))
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
	rt.add(pr.spec.Estimate, now.Sub(pr.placedAt))
}

// runTimeOf returns how long a run of a step is expected to hold its worker.
func (pl *Planner) runTimeOf(jo *Job, spec *StepSpec) time.Duration {
	if spec.Estimate <= 0 {
		return 0
	}
	return pl.admission.runTimes[runTimeKey{queue: jo.spec.Queue, filler: spec.Filler}].expected(spec.Estimate)
}

// stepProgress is what the runs of a step tell about it. The zero value is that of a step
// without runs.
type stepProgress struct {
	// view is the number of the view for which the runs were added, see admission.views.
	view int
	// until is the expected time until all of them have ended.
	until time.Duration
	// sum is the total of the expected run times of num of them, those with minProgress.
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
