package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// fullPace lets a run work without a limit, in percent.
	fullPace = 100
	// paceStep is what a filler gains in one report while the serving tasks
	// beside it are well under their target, in percent.
	paceStep = 20
	// calmShare is the share of the target, in percent, under which a serving
	// task counts as undisturbed.
	calmShare = 60
	// warnShare is the share of the target, in percent, from which fillers
	// are slowed.
	warnShare = 85
)

const (
	// quarantineAfter is the number of different jobs in a row whose tasks
	// failed on a worker.
	quarantineAfter = 3
	// quarantineTime is how long such a worker gets no task the first time.
	quarantineTime = 4 * time.Second
	// quarantineMost bounds the doubling of that time.
	quarantineMost = 60 * time.Second
)

// health counts the failures of a worker. The zero value is good.
type health struct {
	fails int
	last  model.JobID
	until model.Instant
	time  time.Duration
}

func (he *health) quarantined(now model.Instant) bool { return now.Before(he.until) }

// judge takes note of how a run ended.
func (pl *Planner) judge(now model.Instant, wk *worker, pd *placed, oc Outcome) {
	he := &wk.health
	switch {
	case oc == Succeeded:
		he.fails, he.last, he.time = 0, "", 0
	case oc == Failed && he.last != pd.task.job:
		he.fails, he.last = he.fails+1, pd.task.job
		if he.fails < quarantineAfter {
			return
		}
		he.time = min(max(quarantineTime, 2*he.time), quarantineMost)
		// One more failure after the quarantine repeats it.
		he.until, he.fails = now.Add(he.time), quarantineAfter-1
		pl.note("workerQuarantined", "", "", wk.life.String(), "ms", strconv.FormatInt(he.time.Milliseconds(), 10))
	}
}

// guard sets the pace of the fillers on a worker by the readings of the
// serving tasks beside them.
func (pl *Planner) guard(_ model.Instant, wk *worker, be *Beat) {
	if wk.fillers == 0 || wk.serving == 0 {
		pl.release(wk)
		return
	}
	worst := 0
	for i := range be.Runs {
		rr := &be.Runs[i]
		pd := wk.find(rr.Task, rr.Attempt)
		if pd == nil || pd.spec.TailTarget <= 0 {
			continue
		}
		worst = max(worst, int(rr.Tail*100/pd.spec.TailTarget))
	}
	for _, pd := range wk.placed {
		if pd.spec.Filler {
			pl.setPace(wk, pd, paceFor(pd.pace, worst), worst)
		}
	}
}

// paceFor returns the next pace of a filler beside a serving task whose
// reading is worst percent of its target.
func paceFor(pace, worst int) int {
	switch {
	case worst >= fullPace:
		return 0
	case worst >= warnShare:
		return pace / 2
	case worst <= calmShare:
		return min(fullPace, pace+paceStep)
	}
	return pace
}

func (pl *Planner) setPace(wk *worker, pd *placed, pace, worst int) {
	if pd.pace == pace {
		return
	}
	if pace == 0 || pd.pace == 0 {
		pl.note("fillerPaced", pd.task.job, pd.task.String(), wk.life.String(), "percent", strconv.Itoa(pace),
			"worstOfTargetPercent", strconv.Itoa(worst))
	}
	pd.slowed = pd.slowed || pd.pace < fullPace
	pd.pace = pace
}

// release lets fillers run freely where nothing is served.
func (pl *Planner) release(wk *worker) {
	for _, pd := range wk.placed {
		if pd.pace < fullPace {
			pl.setPace(wk, pd, fullPace, 0)
		}
	}
}
