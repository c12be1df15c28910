package flow

import (
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
)

// noteEvery bounds the lines on a job that waits to one in this time.
const noteEvery = 2 * time.Second

// refusal says why a worker does not take a task.
type refusal uint8

const (
	noRefusal refusal = iota
	// notHeard: the worker has not reported to this leader.
	notHeard
	otherService
	leaving
	centreOut
	silent
	quarantined
	noRoom
	noLabel
	tooMany
	disturbs
	// strayRuns: the worker still has runs that the state does not know, whose
	// room is not known either.
	strayRuns
	// slowWorker: the worker is far slower than the others.
	slowWorker
)

var refusalNames = [...]string{
	"none", "notHeard", "otherService", "leaving", "centreOut", "silent", "quarantined", "noRoom", "noLabel", "perWorker", "disturbs",
	"strayRuns", "slow",
}

// String returns the name for logs.
func (re refusal) String() string { return nameOf(refusalNames[:], int(re)) }

// refuse returns why a task may not be on a worker, or noRefusal.
func (pl *Planner) refuse(now model.Instant, wk *worker, wa *wanted, id TaskID, need model.Resources) refusal {
	switch {
	case !wk.known:
		return notHeard
	case wk.service != wa.job.spec.Service:
		return otherService
	case wk.draining:
		return leaving
	case pl.outage[wk.centre]:
		return centreOut
	case now.Sub(wk.heard) > freshFor:
		return silent
	case len(wk.strays) > 0:
		return strayRuns
	case now.Before(wk.slowUntil) && !wa.spec.Lasting:
		return slowWorker
	case wk.health.quarantined(now) && !wa.spec.Lasting:
		return quarantined
	case !need.FitsIn(wk.free()) || !wa.spec.Size.FitsIn(wk.size):
		return noRoom
	case wa.spec.Label != "" && !slices.Contains(wk.labels, wa.spec.Label):
		return noLabel
	case wa.spec.PerWorker > 0 && wk.sameStep(id) >= wa.spec.PerWorker:
		return tooMany
	}
	return noRefusal
}

// noteStarts logs the start of tasks of a step with what put them there.
func (pl *Planner) noteStarts(now model.Instant, wa wanted, started int) {
	if started == 0 {
		return
	}
	pl.note("tasksStarted", wa.job.ID(), "", "", "occurrence", strconv.Itoa(wa.occurrence), "step", strconv.Itoa(wa.step),
		"tasks", strconv.Itoa(started), "waiting", strconv.Itoa(wa.occ.steps[wa.step].idle-started),
		"ageMs", strconv.FormatInt(pl.wall(now)-wa.job.due(wa.occurrence), 10),
		"slackMs", strconv.FormatInt(wa.slack.Milliseconds(), 10), "starved", strconv.FormatBool(wa.starved))
}

// noteWait logs why a task found no worker: how many workers refused it for
// each reason.
func (pl *Planner) noteWait(now model.Instant, wa wanted, id TaskID) {
	if wa.job.notedAt > 0 && now.Sub(wa.job.notedAt) < noteEvery {
		return
	}
	wa.job.notedAt = now
	var counts [slowWorker + 1]int
	need := wa.spec.counted()
	for _, wk := range pl.workers.list {
		why := pl.refuse(now, wk, &wa, id, need)
		if why == noRefusal {
			// The room is there; the processors or the serving tasks are not.
			why = disturbs
		}
		counts[why]++
	}
	pairs := []string{
		"step", strconv.Itoa(wa.step), "waiting", strconv.Itoa(wa.occ.steps[wa.step].idle),
		"ageMs", strconv.FormatInt(pl.wall(now)-wa.job.due(wa.occurrence), 10),
		"milliCpu", strconv.FormatInt(wa.spec.Size.MilliCPU(), 10), "memoryMb", strconv.FormatInt(wa.spec.Size.MemoryMB(), 10),
	}
	for why, num := range counts {
		if num > 0 {
			pairs = append(pairs, refusal(why).String(), strconv.Itoa(num))
		}
	}
	pl.note("tasksWait", id.job, id.String(), "", pairs...)
}
