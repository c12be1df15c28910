package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
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
