// Package blame tells workers that fail every task from jobs that can never
// run. Each failed attempt is attributed to the pair of worker and job.
package blame

import (
	"time"

	"guavarail/core/model"
)

const (
	// suspectWorkerJobs is the number of different jobs whose failures make a worker
	// suspect.
	suspectWorkerJobs = 3
	// suspectJobWorkers is the number of different workers that run other jobs
	// and on which a suspect job failed.
	suspectJobWorkers = 3
	// minAttributedFailures is the number of attributed attempts on different workers that
	// fail a job.
	minAttributedFailures = 4
	// maxUnattributedFailures fails a job whose failures cannot be attributed because its
	// workers are doubtful too; it bounds the attempts of any job.
	maxUnattributedFailures = 16
	// maxFailures fails a job whatever its workers are, so that its attempts
	// stay bounded when only one worker takes it.
	maxFailures = 64
	// suspectWorkerStreak is the number of failures in a row that make a worker
	// suspect when their jobs failed nowhere else. A data centre may run a single
	// job, so that different jobs cannot tell.
	suspectWorkerStreak = 5
	// minWorkersForQuarantine is the number of workers from which one may be in quarantine
	// even if it is more than quarantinePercent of them.
	minWorkersForQuarantine = 3
	// firstQuarantine is doubled after each failed probation up to
	// longestQuarantine.
	firstQuarantine   = time.Minute
	longestQuarantine = time.Hour
	// quarantinePercent bounds the workers in quarantine.
	quarantinePercent = 20
	// maxRemembered bounds the jobs kept for a worker and the workers kept for a job.
	maxRemembered = 8
)

// Standing says what a worker may be given.
type Standing uint8

// The standings of a worker.
const (
	// Good workers take tasks.
	Good Standing = iota
	// Quarantined workers take none.
	Quarantined
	// OnProbation workers take one task, and its outcome decides.
	OnProbation
)

var standingNames = [...]string{"good", "quarantined", "onProbation"}

// String returns the name used in the API.
func (sta Standing) String() string { return standingNames[sta] }

// failedJob is a job that failed on a worker.
type failedJob struct {
	job model.JobID
	// ranElsewhere: the job succeeded or ran on another worker.
	ranElsewhere bool
}

// workerRecord is what is known of a worker.
type workerRecord struct {
	standing Standing
	until    model.Instant
	// quarantines is the number of quarantines without a success in between.
	quarantines int
	// streakJobs has the different jobs that failed since the last success.
	streakJobs []model.JobID
	// streak counts the failures since the last success.
	streak int
	// failedJobs has the different jobs that failed here, newest last.
	failedJobs []failedJob
	// hasRun: an attempt succeeded or ran here since the last quarantine.
	hasRun bool
}

// jobRecord is what is known of a job.
type jobRecord struct {
	// failedOn are the different workers on which the job failed.
	failedOn []model.WorkerID
	// failures counts all failed attempts.
	failures int
	// ranOn lists workers on which it ran.
	ranOn []model.WorkerID
}

// Tracker counts failures by worker and by job. The zero value is empty and
// ready to use.
type Tracker struct {
	workers map[model.WorkerID]*workerRecord
	jobs    map[model.JobID]*jobRecord
	// restricted lists the workers that are not in good standing, in the order
	// in which that began.
	restricted []model.WorkerID
}

func (trk *Tracker) worker(id model.WorkerID) *workerRecord {
	rec, ok := trk.workers[id]
	if !ok {
		if trk.workers == nil {
			trk.workers = map[model.WorkerID]*workerRecord{}
		}
		rec = &workerRecord{}
		trk.workers[id] = rec
	}
	return rec
}

func (trk *Tracker) job(id model.JobID) *jobRecord {
	jrec, ok := trk.jobs[id]
	if !ok {
		if trk.jobs == nil {
			trk.jobs = map[model.JobID]*jobRecord{}
		}
		jrec = &jobRecord{}
		trk.jobs[id] = jrec
	}
	return jrec
}

// Succeeded records an attempt that succeeded. Failures of the job before it
// no longer count against the job, so that rare failures never add up in a job
// of many tasks. It reports whether the worker returned to good standing.
func (trk *Tracker) Succeeded(wid model.WorkerID, id model.JobID) bool {
	restored := trk.Ran(wid, id)
	jrec := trk.job(id)
	jrec.failedOn, jrec.failures = jrec.failedOn[:0], 0
	return restored
}

// Ran records an attempt that ran until it was stopped on request. It reports
// whether the worker returned to good standing.
func (trk *Tracker) Ran(wid model.WorkerID, id model.JobID) bool {
	rec := trk.worker(wid)
	rec.streakJobs, rec.streak, rec.hasRun = rec.streakJobs[:0], 0, true
	jrec := trk.job(id)
	jrec.ranOn = appendBounded(jrec.ranOn, wid)
	for _, other := range jrec.failedOn {
		if other != wid {
			trk.worker(other).markRanElsewhere(id)
		}
	}
	if rec.standing != OnProbation {
		return false
	}
	trk.restoreGood(wid, rec)
	return true
}

// markRanElsewhere marks a failure whose job ran elsewhere.
func (rec *workerRecord) markRanElsewhere(id model.JobID) {
	for i := range rec.failedJobs {
		if rec.failedJobs[i].job == id {
			rec.failedJobs[i].ranElsewhere = true
		}
	}
}

func (trk *Tracker) restoreGood(wid model.WorkerID, rec *workerRecord) {
	rec.standing, rec.quarantines, rec.streak = Good, 0, 0
	rec.streakJobs, rec.failedJobs = rec.streakJobs[:0], rec.failedJobs[:0]
	for i, other := range trk.restricted {
		if other == wid {
			trk.restricted = append(trk.restricted[:i], trk.restricted[i+1:]...)
			break
		}
	}
}

// Failed records a failed attempt.
func (trk *Tracker) Failed(wid model.WorkerID, id model.JobID) {
	rec, jrec := trk.worker(wid), trk.job(id)
	jrec.failures++
	rec.streak++
	jrec.failedOn = appendBounded(jrec.failedOn, wid)
	rec.streakJobs = appendBounded(rec.streakJobs, id)
	for _, fj := range rec.failedJobs {
		if fj.job == id {
			return
		}
	}
	elsewhere := false
	for _, other := range jrec.ranOn {
		elsewhere = elsewhere || other != wid
	}
	if len(rec.failedJobs) == maxRemembered {
		rec.failedJobs = append(rec.failedJobs[:0], rec.failedJobs[1:]...)
	}
	rec.failedJobs = append(rec.failedJobs, failedJob{job: id, ranElsewhere: elsewhere})
}
