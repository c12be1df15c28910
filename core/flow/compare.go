package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// maxReadingSkew is the maximum time between two readings that are taken to
// show the same load.
const maxReadingSkew = 250 * time.Millisecond

// learnFromPeers learns from the difference between the readings of two tasks
// of one job on different workers. Both tasks share the load of the job, so the
// rest of the difference comes from the fillers beside them.
func (pl *Planner) learnFromPeers(now model.Instant, wk *worker, pr *placedRun, pressure float64, uses []imageUse) {
	image := pl.interference.imageIndex(pr.spec.Image)
	job := pr.job
	kept := job.readings[:0]
	for _, re := range job.readings {
		if re.task != pr.task && now.Sub(re.at) <= maxReadingSkew {
			kept = append(kept, re)
		}
	}
	job.readings = kept
	for _, re := range kept {
		if re.worker == wk.incarnation {
			continue
		}
		pl.useDiffs = append(pl.useDiffs[:0], uses...)
		for _, us := range re.uses {
			pl.useDiffs = addUse(pl.useDiffs, us.image, -us.share)
		}
		pl.interference.addSample(image, pressure-re.pressure, pl.useDiffs)
	}
	job.readings = append(job.readings, reading{
		task: pr.task, worker: wk.incarnation, at: now, pressure: pressure, uses: slices.Clone(uses),
	})
}

// reading is the last reading of a serving task, with the fillers beside it.
type reading struct {
	task     TaskID
	worker   Incarnation
	at       model.Instant
	pressure float64
	uses     []imageUse
}
