package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// compareWithin is the age up to which the readings of two tasks are of the
// same load.
const compareWithin = 250 * time.Millisecond

// compare learns from the difference between the readings of two tasks of one
// job on different workers: their callers are the same, so that what remains is
// due to the fillers beside them.
func (pl *Planner) compare(now model.Instant, wk *worker, pd *placed, pressure float64, uses []imageUse) {
	image := pl.pairs.number(pd.spec.Image)
	job := pd.job
	kept := job.readings[:0]
	for _, re := range job.readings {
		if re.task != pd.task && now.Sub(re.at) <= compareWithin {
			kept = append(kept, re)
		}
	}
	job.readings = kept
	for _, re := range kept {
		if re.worker == wk.life {
			continue
		}
		pl.diffs = append(pl.diffs[:0], uses...)
		for _, us := range re.uses {
			pl.diffs = addUse(pl.diffs, us.image, -us.share)
		}
		pl.pairs.learn(image, pressure-re.pressure, pl.diffs)
	}
	job.readings = append(job.readings, reading{
		task: pd.task, worker: wk.life, at: now, pressure: pressure, uses: slices.Clone(uses),
	})
}

// reading is the last reading of a serving task.
type reading struct {
	task     TaskID
	worker   Life
	at       model.Instant
	pressure float64
	uses     []imageUse
}
