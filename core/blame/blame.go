// Package blame tells workers that fail every task from jobs that can never
// run. Each failed attempt is attributed to the pair of worker and job.
package blame

import (
	"time"

	"guavarail/core/model"
)

const (
	// suspectJobs is the number of different jobs whose failures make a worker
	// suspect.
	suspectJobs = 3
	// suspectWorkers is the number of different workers that run other jobs
	// and on which a suspect job failed.
	suspectWorkers = 3
	// failAfter is the number of attributed attempts on different workers that
	// fail a job.
	failAfter = 4
	// failSpread fails a job whose failures cannot be attributed because its
	// workers are doubtful too; it bounds the attempts of any job.
	failSpread = 16
	// failTotal fails a job whatever its workers are, so that its attempts
	// stay bounded when only one worker takes it.
	failTotal = 64
	// suspectStreak is the number of failures in a row that make a worker
	// suspect when their jobs failed nowhere else. A data centre may run a single
	// job, so that different jobs cannot tell.
	suspectStreak = 5
	// cappedFrom is the number of workers from which one may be in quarantine
	// even if it is more than quarantinePercent of them.
	cappedFrom = 3
	// firstQuarantine is doubled after each failed probation up to
	// longestQuarantine.
	firstQuarantine   = time.Minute
	longestQuarantine = time.Hour
	// quarantinePercent bounds the workers in quarantine.
	quarantinePercent = 20
	// memory bounds the jobs kept for a worker and the workers kept for a job.
	memory = 8
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

// failure is a job that failed on a worker.
type failure struct {
	job model.JobID
	// elsewhere: the job succeeded or ran on another worker.
	elsewhere bool
}

// workerRecord is what is known of a worker.
type workerRecord struct {
	standing Standing
	until    model.Instant
	// level is the number of quarantines without a success in between.
	level int
	// row has the different jobs that failed since the last success.
	row []model.JobID
	// streak counts the failures since the last success.
	streak int
	// failed has the different jobs that failed here, newest last.
	failed []failure
	// proven: an attempt succeeded or ran here since the last quarantine.
	proven bool
}

// jobRecord is what is known of a job.
type jobRecord struct {
	// workers are the different workers on which the job failed.
	workers []model.WorkerID
	// failures counts all failed attempts.
	failures int
	// ran lists workers on which it ran.
	ran []model.WorkerID
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
	back := trk.Ran(wid, id)
	jrec := trk.job(id)
	jrec.workers, jrec.failures = jrec.workers[:0], 0
	return back
}

// Ran records an attempt that ran until it was stopped on request. It reports
// whether the worker returned to good standing.
func (trk *Tracker) Ran(wid model.WorkerID, id model.JobID) bool {
	rec := trk.worker(wid)
	rec.row, rec.streak, rec.proven = rec.row[:0], 0, true
	jrec := trk.job(id)
	jrec.ran = remember(jrec.ran, wid)
	for _, other := range jrec.workers {
		if other != wid {
			trk.worker(other).clear(id)
		}
	}
	if rec.standing != OnProbation {
		return false
	}
	trk.release(wid, rec)
	return true
}

// clear marks a failure whose job ran elsewhere.
func (rec *workerRecord) clear(id model.JobID) {
	for i := range rec.failed {
		if rec.failed[i].job == id {
			rec.failed[i].elsewhere = true
		}
	}
}

func (trk *Tracker) release(wid model.WorkerID, rec *workerRecord) {
	rec.standing, rec.level, rec.streak = Good, 0, 0
	rec.row, rec.failed = rec.row[:0], rec.failed[:0]
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
	jrec.workers = remember(jrec.workers, wid)
	rec.row = remember(rec.row, id)
	for _, fa := range rec.failed {
		if fa.job == id {
			return
		}
	}
	elsewhere := false
	for _, other := range jrec.ran {
		elsewhere = elsewhere || other != wid
	}
	if len(rec.failed) == memory {
		rec.failed = append(rec.failed[:0], rec.failed[1:]...)
	}
	rec.failed = append(rec.failed, failure{job: id, elsewhere: elsewhere})
}
