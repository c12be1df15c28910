// Package health attributes failed attempts to the worker or to the job, and
// decides which workers are put in quarantine and which jobs should fail.
//
// An attempt has run if it succeeded or ran until it was stopped on request. A
// worker or job is suspect while enough failures are attributed to it. A
// suspect worker goes into quarantine, in which it gets no tasks, and then on
// probation, in which it gets one task: if the attempt has run, the worker is
// in good standing again; if it failed, another quarantine starts.
package health

import (
	"time"

	"guavarail/core/model"
)

const (
	// suspectWorkerJobs is the number of different jobs whose failures make a
	// worker suspect: failures, since the last attempt that has run on it, of
	// jobs that are not suspect, or failures of jobs that have run on another
	// worker.
	suspectWorkerJobs = 3
	// suspectJobWorkers is the number of different workers in good standing, on
	// all of which an attempt has run without a failure, whose failures make a
	// job suspect that has run on no worker.
	suspectJobWorkers = 3
	// minAttributedFailures is the number of failures, on as many different
	// workers (all of them if there are fewer), that must be attributed to a
	// job before the job fails.
	minAttributedFailures = 4
	// maxUnattributedFailures is the number of failures, on at least
	// suspectJobWorkers workers (all of them if there are fewer), after which a
	// job fails even if they cannot be attributed because its workers are
	// suspect too; it bounds the attempts of any job.
	maxUnattributedFailures = 16
	// maxFailures is the number of failures after which a job fails, on however
	// few workers, so that its attempts stay bounded when only one worker runs
	// it.
	maxFailures = 64
	// suspectWorkerStreak is the number of failures in a row that make a
	// worker suspect when their jobs failed nowhere else. A data centre may
	// run a single job, and then a count of different jobs never grows.
	suspectWorkerStreak = 5
	// minWorkersForQuarantine is the number of workers from which one may be
	// in quarantine even if it is more than quarantinePercent of them.
	minWorkersForQuarantine = 3
	// firstQuarantine is doubled after each failed probation up to
	// longestQuarantine, and applies again once the worker is back in good
	// standing.
	firstQuarantine   = time.Minute
	longestQuarantine = time.Hour
	// quarantinePercent bounds the percentage of workers in quarantine or on
	// probation.
	quarantinePercent = 20
	// maxListLength bounds each list of jobs in a workerRecord and of workers
	// in a jobRecord; the oldest entry is dropped.
	maxListLength = 8
)

// Standing determines which tasks a worker may get.
type Standing uint8

// The standings of a worker.
const (
	// Good workers get tasks.
	Good Standing = iota
	// Quarantined workers get none.
	Quarantined
	// OnProbation workers get one task, whose outcome ends the probation.
	OnProbation
)

var standingNames = [...]string{"good", "quarantined", "onProbation"}

// String returns the name used in the API.
func (sta Standing) String() string { return standingNames[sta] }

// failedJob is a job that failed on a worker.
type failedJob struct {
	job model.JobID
	// ranElsewhere: an attempt of the job on another worker succeeded or ran
	// until it was stopped.
	ranElsewhere bool
}

// workerRecord holds the failures and the standing of a worker.
type workerRecord struct {
	standing Standing
	// quarantinedUntil is the end of the quarantine, valid while standing is
	// Quarantined.
	quarantinedUntil model.Instant
	// quarantines is the number of quarantines since the last return to good
	// standing; each doubles the next one.
	quarantines int
	// streakJobs lists the different jobs that failed in the streak, see
	// streak.
	streakJobs []model.JobID
	// streak counts the failures since the last attempt that succeeded or ran
	// until it was stopped, or since the last quarantine began.
	streak int
	// failedJobs lists the different jobs that failed on this worker, newest
	// last, since it was last put in quarantine or returned to good standing.
	failedJobs []failedJob
	// hasRun: an attempt succeeded or ran until it was stopped since the last
	// quarantine.
	hasRun bool
}

// jobRecord holds the failures of a job.
type jobRecord struct {
	// failedOn lists the different workers on which an attempt failed since the
	// last success of the job.
	failedOn []model.WorkerID
	// failures counts the failed attempts since the last success of the job.
	failures int
	// ranOn lists workers on which an attempt succeeded or ran until it was
	// stopped.
	ranOn []model.WorkerID
}

// Tracker counts failures by worker and by job. The zero value is empty and
// ready to use.
type Tracker struct {
	workers map[model.WorkerID]*workerRecord
	jobs    map[model.JobID]*jobRecord
	// restricted lists the workers that are not in good standing, in the order
	// in which they lost it.
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

// Succeeded records a successful attempt. Earlier failures of the job no
// longer count against it, so that rare failures do not add up in a job of
// many tasks. It reports whether the worker returned to good standing.
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

// markRanElsewhere marks the job as one that ran on another worker.
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
	if len(rec.failedJobs) == maxListLength {
		rec.failedJobs = append(rec.failedJobs[:0], rec.failedJobs[1:]...)
	}
	rec.failedJobs = append(rec.failedJobs, failedJob{job: id, ranElsewhere: elsewhere})
}
