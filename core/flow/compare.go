package flow

import (
	"slices"
	"time"

	"guavarail/core/model"
)

// maxReadingSkew is the maximum time between two readings that are compared, as
// if the job had the same load at both.
const maxReadingSkew = 250 * time.Millisecond

// learnFromPeers compares the reading of a serving task with the recent readings
// of the other tasks of its job on other workers, and adds a sample to
// interference for each. Both tasks have the load of the job in common, so the
// difference comes from the fillers on their workers.
func (pl *Planner) learnFromPeers(now model.Instant, wk *worker, pr *placedRun, pressure float64, uses []imageUse) {
	image := pl.interference.imageIndex(pr.spec.Image)
	job := pr.job
	recent := job.readings[:0]
	for _, re := range job.readings {
		if re.task != pr.task && now.Sub(re.at) <= maxReadingSkew {
			recent = append(recent, re)
		}
	}
	job.readings = recent
	for _, re := range recent {
		if re.worker == wk.incarnation {
			continue
		}
		pl.useDiffs = append(pl.useDiffs[:0], uses...)
		for _, us := range re.uses {
			pl.useDiffs = addUse(pl.useDiffs, us.image, -us.fraction)
		}
		pl.interference.addSample(image, pressure-re.pressure, pl.useDiffs)
	}
	job.readings = append(job.readings, pressureReading{
		task: pr.task, worker: wk.incarnation, at: now, pressure: pressure, uses: slices.Clone(uses),
	})
}

// pressureReading is the pressure on a serving task that its last reading
// implies, with the uses of the fillers on the same worker.
type pressureReading struct {
	task     TaskID
	worker   Incarnation
	at       model.Instant
	pressure float64
	uses     []imageUse
}
