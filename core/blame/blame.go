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
	// hopeless fails a job whose failures cannot be attributed because its
	// workers are doubtful too; it bounds the attempts of any job.
	hopeless = 16
	// hopelessAnywhere fails a job whatever its workers are, so that its attempts
	// stay bounded when only one worker takes it.
	hopelessAnywhere = 64
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

// record is what is known of a worker.
type record struct {
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

// trial is what is known of a job.
type trial struct {
	// workers are the different workers on which the job failed.
	workers []model.WorkerID
	// failures counts all failed attempts.
	failures int
	// ran lists workers on which it ran.
	ran []model.WorkerID
}

// Book counts failures by worker and by job. The zero value is empty and
// ready to use.
type Book struct {
	workers map[model.WorkerID]*record
	jobs    map[model.JobID]*trial
	// confined lists the workers that are not in good standing, in the order
	// in which that began.
	confined []model.WorkerID
}

func (bk *Book) worker(id model.WorkerID) *record {
	rec, ok := bk.workers[id]
	if !ok {
		if bk.workers == nil {
			bk.workers = map[model.WorkerID]*record{}
		}
		rec = &record{}
		bk.workers[id] = rec
	}
	return rec
}

func (bk *Book) job(id model.JobID) *trial {
	tri, ok := bk.jobs[id]
	if !ok {
		if bk.jobs == nil {
			bk.jobs = map[model.JobID]*trial{}
		}
		tri = &trial{}
		bk.jobs[id] = tri
	}
	return tri
}

// Succeeded records an attempt that succeeded. Failures of the job before it
// no longer count against the job, so that rare failures never add up in a job
// of many tasks. It reports whether the worker returned to good standing.
func (bk *Book) Succeeded(wid model.WorkerID, id model.JobID) bool {
	back := bk.Ran(wid, id)
	tri := bk.job(id)
	tri.workers, tri.failures = tri.workers[:0], 0
	return back
}

// Ran records an attempt that ran until it was stopped on request. It reports
// whether the worker returned to good standing.
func (bk *Book) Ran(wid model.WorkerID, id model.JobID) bool {
	rec := bk.worker(wid)
	rec.row, rec.streak, rec.proven = rec.row[:0], 0, true
	tri := bk.job(id)
	tri.ran = remember(tri.ran, wid)
	for _, other := range tri.workers {
		if other != wid {
			bk.worker(other).clear(id)
		}
	}
	if rec.standing != OnProbation {
		return false
	}
	bk.release(wid, rec)
	return true
}

// clear marks a failure whose job ran elsewhere.
func (rec *record) clear(id model.JobID) {
	for i := range rec.failed {
		if rec.failed[i].job == id {
			rec.failed[i].elsewhere = true
		}
	}
}

func (bk *Book) release(wid model.WorkerID, rec *record) {
	rec.standing, rec.level, rec.streak = Good, 0, 0
	rec.row, rec.failed = rec.row[:0], rec.failed[:0]
	for i, other := range bk.confined {
		if other == wid {
			bk.confined = append(bk.confined[:i], bk.confined[i+1:]...)
			break
		}
	}
}

// Failed records a failed attempt.
func (bk *Book) Failed(wid model.WorkerID, id model.JobID) {
	rec, tri := bk.worker(wid), bk.job(id)
	tri.failures++
	rec.streak++
	tri.workers = remember(tri.workers, wid)
	rec.row = remember(rec.row, id)
	for _, fa := range rec.failed {
		if fa.job == id {
			return
		}
	}
	elsewhere := false
	for _, other := range tri.ran {
		elsewhere = elsewhere || other != wid
	}
	if len(rec.failed) == memory {
		rec.failed = append(rec.failed[:0], rec.failed[1:]...)
	}
	rec.failed = append(rec.failed, failure{job: id, elsewhere: elsewhere})
}

// suspect reports whether the failures speak against the worker. Failures of
// jobs that are suspect themselves do not.
func (bk *Book) suspect(rec *record) bool {
	elsewhere, row := 0, 0
	for _, fa := range rec.failed {
		if fa.elsewhere {
			elsewhere++
		}
	}
	for _, id := range rec.row {
		if !bk.suspectJob(id) {
			row++
		}
	}
	return row >= suspectJobs || elsewhere >= suspectJobs || rec.streak >= suspectStreak && bk.onlyHere(rec)
}

// onlyHere reports whether the jobs of the streak failed on no other worker.
func (bk *Book) onlyHere(rec *record) bool {
	for _, id := range rec.row {
		if tri, ok := bk.jobs[id]; !ok || len(tri.workers) > 1 {
			return false
		}
	}
	return true
}

// suspectJob reports whether the job failed on enough workers that are not in
// doubt, and ran nowhere.
func (bk *Book) suspectJob(id model.JobID) bool {
	tri, ok := bk.jobs[id]
	if !ok || len(tri.ran) > 0 {
		return false
	}
	good := 0
	for _, wid := range tri.workers {
		if rec := bk.workers[wid]; rec != nil && rec.standing == Good && rec.proven {
			good++
		}
	}
	return good >= suspectWorkers
}

// Quarantine puts the worker in quarantine if it is suspect, or failed its
// probation, and the cap over workers allows it. It returns the duration.
func (bk *Book) Quarantine(now model.Instant, wid model.WorkerID, workers int) (time.Duration, bool) {
	rec := bk.worker(wid)
	again := rec.standing == OnProbation && len(rec.row) > 0
	if rec.standing == Quarantined || !again && !bk.suspect(rec) {
		return 0, false
	}
	if !again {
		if len(bk.confined) >= quarantineCap(workers) {
			return 0, false
		}
		bk.confined = append(bk.confined, wid)
	}
	dur := min(firstQuarantine<<min(rec.level, 10), longestQuarantine)
	rec.level++
	rec.standing, rec.until, rec.proven = Quarantined, now.Add(dur), false
	rec.row, rec.failed, rec.streak = rec.row[:0], rec.failed[:0], 0
	return dur, true
}

// quarantineCap returns how many of the workers may be in quarantine.
func quarantineCap(workers int) int {
	num := workers * quarantinePercent / 100
	if workers >= cappedFrom {
		return max(num, 1)
	}
	return num
}

// Paroled moves the workers whose quarantine has passed to probation and
// returns them.
func (bk *Book) Paroled(now model.Instant) []model.WorkerID {
	var out []model.WorkerID
	for _, wid := range bk.confined {
		if rec := bk.workers[wid]; rec.standing == Quarantined && !now.Before(rec.until) {
			rec.standing = OnProbation
			out = append(out, wid)
		}
	}
	return out
}

// Standing returns what the worker may be given.
func (bk *Book) Standing(wid model.WorkerID) Standing {
	if rec, ok := bk.workers[wid]; ok {
		return rec.standing
	}
	return Good
}

// Hopeless reports whether the job should end: it failed on enough different
// workers that are not in doubt themselves, or far too often.
func (bk *Book) Hopeless(id model.JobID, workers int) bool {
	tri, ok := bk.jobs[id]
	if !ok {
		return false
	}
	attributed := 0
	for _, wid := range tri.workers {
		if bk.vouched(wid, id) {
			attributed++
		}
	}
	need := min(failAfter, max(workers, 1))
	spread := len(tri.workers) >= min(suspectWorkers, max(workers, 1))
	return attributed >= need && tri.failures >= failAfter ||
		tri.failures >= hopeless && spread || tri.failures >= hopelessAnywhere
}

// vouched reports whether a failure on the worker counts against the job: the
// worker runs other jobs, or nothing but this job failed there.
func (bk *Book) vouched(wid model.WorkerID, id model.JobID) bool {
	rec := bk.workers[wid]
	if rec == nil {
		return true
	}
	if rec.standing != Good {
		return false
	}
	if rec.proven {
		return true
	}
	others := 0
	for _, fa := range rec.failed {
		if fa.job != id {
			others++
		}
	}
	return others == 0
}

// FailedOn reports whether the job failed on the worker, so that its next
// attempt can be placed elsewhere.
func (bk *Book) FailedOn(id model.JobID, wid model.WorkerID) bool {
	tri, ok := bk.jobs[id]
	if !ok {
		return false
	}
	for _, other := range tri.workers {
		if other == wid {
			return true
		}
	}
	return false
}

// HasFailures reports whether any attempt of the job failed.
func (bk *Book) HasFailures(id model.JobID) bool {
	tri, ok := bk.jobs[id]
	return ok && len(tri.workers) > 0
}

// Forget drops a job that ended.
func (bk *Book) Forget(id model.JobID) { delete(bk.jobs, id) }

// Dismiss drops a worker that was removed.
func (bk *Book) Dismiss(wid model.WorkerID) {
	if rec, ok := bk.workers[wid]; ok {
		bk.release(wid, rec)
		delete(bk.workers, wid)
	}
}

// remember adds a value that is not in the list and drops the oldest one when
// the list is full.
func remember[T comparable](list []T, val T) []T {
	for _, old := range list {
		if old == val {
			return list
		}
	}
	if len(list) == memory {
		list = append(list[:0], list[1:]...)
	}
	return append(list, val)
}
