package health

import (
	"time"

	"guavarail/core/model"
)

// suspectWorker reports whether the failures are attributed to the worker. In
// the streak, jobs that are suspect themselves do not count towards
// suspectWorkerJobs.
func (trk *Tracker) suspectWorker(rec *workerRecord) bool {
	elsewhere, streak := 0, 0
	for _, fj := range rec.failedJobs {
		if fj.ranElsewhere {
			elsewhere++
		}
	}
	for _, id := range rec.streakJobs {
		if !trk.suspectJob(id) {
			streak++
		}
	}
	return streak >= suspectWorkerJobs || elsewhere >= suspectWorkerJobs || rec.streak >= suspectWorkerStreak && trk.failedOnlyHere(rec)
}

// failedOnlyHere reports whether the jobs of the streak failed on no other
// worker.
func (trk *Tracker) failedOnlyHere(rec *workerRecord) bool {
	for _, id := range rec.streakJobs {
		if jrec, ok := trk.jobs[id]; !ok || len(jrec.failedOn) > 1 {
			return false
		}
	}
	return true
}

// suspectJob reports whether the job failed on suspectJobWorkers workers that
// are in good standing and have run other attempts, and ran on no worker.
func (trk *Tracker) suspectJob(id model.JobID) bool {
	jrec, ok := trk.jobs[id]
	if !ok || len(jrec.ranOn) > 0 {
		return false
	}
	good := 0
	for _, wid := range jrec.failedOn {
		if rec := trk.workers[wid]; rec != nil && rec.standing == Good && rec.hasRun {
			good++
		}
	}
	return good >= suspectJobWorkers
}

// Quarantine puts the worker in quarantine if it failed its probation, or if it
// is suspect and quarantineCap allows it. workers is the number of registered
// workers. It returns the duration of the quarantine and whether it began.
func (trk *Tracker) Quarantine(now model.Instant, wid model.WorkerID, workers int) (time.Duration, bool) {
	rec := trk.worker(wid)
	failedProbation := rec.standing == OnProbation && len(rec.streakJobs) > 0
	if rec.standing == Quarantined || !failedProbation && !trk.suspectWorker(rec) {
		return 0, false
	}
	if !failedProbation {
		if len(trk.restricted) >= quarantineCap(workers) {
			return 0, false
		}
		trk.restricted = append(trk.restricted, wid)
	}
	dur := min(firstQuarantine<<min(rec.quarantines, 10), longestQuarantine)
	rec.quarantines++
	rec.standing, rec.quarantinedUntil, rec.hasRun = Quarantined, now.Add(dur), false
	rec.streakJobs, rec.failedJobs, rec.streak = rec.streakJobs[:0], rec.failedJobs[:0], 0
	return dur, true
}

// quarantineCap returns how many workers may be in quarantine or on probation
// when the given number is registered.
func quarantineCap(workers int) int {
	num := workers * quarantinePercent / 100
	if workers >= minWorkersForQuarantine {
		return max(num, 1)
	}
	return num
}

// EndQuarantines moves the workers whose quarantine has passed to probation and
// returns them.
func (trk *Tracker) EndQuarantines(now model.Instant) []model.WorkerID {
	var out []model.WorkerID
	for _, wid := range trk.restricted {
		if rec := trk.workers[wid]; rec.standing == Quarantined && !now.Before(rec.quarantinedUntil) {
			rec.standing = OnProbation
			out = append(out, wid)
		}
	}
	return out
}

// Standing returns the standing of the worker.
func (trk *Tracker) Standing(wid model.WorkerID) Standing {
	if rec, ok := trk.workers[wid]; ok {
		return rec.standing
	}
	return Good
}

// KeepsFailing reports whether the job should fail: enough failures on
// different workers are attributed to it, or it failed too often in all.
// workers is the number of registered workers.
func (trk *Tracker) KeepsFailing(id model.JobID, workers int) bool {
	jrec, ok := trk.jobs[id]
	if !ok {
		return false
	}
	attributed := 0
	for _, wid := range jrec.failedOn {
		if trk.countsAgainst(wid, id) {
			attributed++
		}
	}
	need := min(minAttributedFailures, max(workers, 1))
	spread := len(jrec.failedOn) >= min(suspectJobWorkers, max(workers, 1))
	return attributed >= need && jrec.failures >= minAttributedFailures ||
		jrec.failures >= maxUnattributedFailures && spread || jrec.failures >= maxFailures
}

// countsAgainst reports whether a failure on the worker counts against the job:
// the worker is in good standing, and it has run other tasks or only this job
// failed there. A failure on a worker that was removed counts too.
func (trk *Tracker) countsAgainst(wid model.WorkerID, id model.JobID) bool {
	rec := trk.workers[wid]
	if rec == nil {
		return true
	}
	if rec.standing != Good {
		return false
	}
	if rec.hasRun {
		return true
	}
	others := 0
	for _, fj := range rec.failedJobs {
		if fj.job != id {
			others++
		}
	}
	return others == 0
}

// FailedOn reports whether the job failed on the worker since its last success,
// so that its next attempt can be placed elsewhere.
func (trk *Tracker) FailedOn(id model.JobID, wid model.WorkerID) bool {
	jrec, ok := trk.jobs[id]
	if !ok {
		return false
	}
	for _, other := range jrec.failedOn {
		if other == wid {
			return true
		}
	}
	return false
}

// HasFailures reports whether any attempt of the job failed since its last
// success.
func (trk *Tracker) HasFailures(id model.JobID) bool {
	jrec, ok := trk.jobs[id]
	return ok && len(jrec.failedOn) > 0
}

// RemoveJob discards the record of a job whose tasks are all final.
func (trk *Tracker) RemoveJob(id model.JobID) { delete(trk.jobs, id) }

// RemoveWorker discards the record of a worker that was deregistered.
func (trk *Tracker) RemoveWorker(wid model.WorkerID) {
	if rec, ok := trk.workers[wid]; ok {
		trk.restoreGood(wid, rec)
		delete(trk.workers, wid)
	}
}

// appendBounded appends a value that is not in the list and drops the oldest
// value when the list is full.
func appendBounded[T comparable](list []T, val T) []T {
	for _, other := range list {
		if other == val {
			return list
		}
	}
	if len(list) == maxListLength {
		list = append(list[:0], list[1:]...)
	}
	return append(list, val)
}
