package health

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

func wid(num int) model.WorkerID { return model.WorkerID(fmt.Sprintf("worker-%d", num)) }

// Guards against jobs that fail because of a faulty worker: the worker is
// quarantined, and no job fails.
func TestBadWorkerIsQuarantined(t *testing.T) {
	var trk Tracker
	for i := range 3 {
		id := model.JobID(fmt.Sprintf("job-%d", i))
		trk.Failed(wid(0), id)
		trk.Ran(wid(1+i), id)
	}
	dur, ok := trk.Quarantine(0, wid(0), 10)
	if !ok || dur != time.Minute {
		t.Fatalf("quarantine of %v, began: %v, want 1m", dur, ok)
	}
	for i := range 3 {
		if trk.KeepsFailing(model.JobID(fmt.Sprintf("job-%d", i)), 10) {
			t.Errorf("job-%d failed because of the faulty worker", i)
		}
	}
	if got := trk.EndQuarantines(model.Instant(time.Minute)); len(got) != 1 || trk.Standing(wid(0)) != OnProbation {
		t.Fatalf("moved to probation: %v, want worker-0", got)
	}
	trk.Failed(wid(0), "job-4")
	if dur, ok = trk.Quarantine(model.Instant(time.Minute), wid(0), 10); !ok || dur != 2*time.Minute {
		t.Errorf("second quarantine of %v, began: %v, want 2m", dur, ok)
	}
}

// Guards against healthy workers quarantined because of a job that can never
// run.
func TestImpossibleJobEnds(t *testing.T) {
	var trk Tracker
	for i := range 4 {
		if trk.KeepsFailing("bad", 10) {
			t.Fatalf("KeepsFailing is true after %d failures, want 4", i)
		}
		trk.Ran(wid(i), "good")
		trk.Failed(wid(i), "bad")
		if _, ok := trk.Quarantine(0, wid(i), 10); ok {
			t.Errorf("%s is quarantined for one job", wid(i))
		}
	}
	if !trk.KeepsFailing("bad", 10) {
		t.Error("KeepsFailing is false after failures on 4 workers")
	}
}

// Guards against quarantine of the whole data centre when a fault affects all
// workers, such as a faulty VM image.
func TestQuarantineIsCapped(t *testing.T) {
	var trk Tracker
	restricted := 0
	for i := range 10 {
		for j := range 3 {
			trk.Failed(wid(i), model.JobID(fmt.Sprintf("job-%d", j)))
		}
		if _, ok := trk.Quarantine(0, wid(i), 10); ok {
			restricted++
		}
	}
	if restricted != 2 {
		t.Errorf("%d of 10 workers are in quarantine, want 2", restricted)
	}
}

// Guards against a healthy worker quarantined because of three jobs that can
// never run.
func TestSuspectJobsDoNotBlameWorkers(t *testing.T) {
	var trk Tracker
	for i := range 5 {
		trk.Succeeded(wid(i), "good")
	}
	for j := range 3 {
		for i := range 4 {
			trk.Failed(wid(i), model.JobID(fmt.Sprintf("bad-%d", j)))
		}
	}
	if _, ok := trk.Quarantine(0, wid(3), 20); ok {
		t.Error("worker-3 is quarantined for jobs that fail everywhere")
	}
}

// Guards against a job of many tasks that fails because of rare failures.
func TestRareFailuresDoNotAddUp(t *testing.T) {
	var trk Tracker
	for i := range 40 {
		trk.Failed(wid(i%8), "many")
		trk.Succeeded(wid((i+1)%8), "many")
		if trk.KeepsFailing("many", 8) {
			t.Fatalf("KeepsFailing is true after %d rare failures", i+1)
		}
	}
}

// Guards a small data centre with one job and three workers: a worker that
// fails every task before the first one succeeds must not fail the job, and
// must be put in quarantine.
func TestOneBadWorkerOfThreeDoesNotEndAJob(t *testing.T) {
	var trk Tracker
	for i := range 20 {
		trk.Failed(wid(0), "good")
		if trk.KeepsFailing("good", 3) {
			t.Fatalf("the job ended after %d failures on one worker", i+1)
		}
		if _, ok := trk.Quarantine(0, wid(0), 3); ok {
			if i+1 != suspectWorkerStreak {
				t.Errorf("quarantine after %d failures, want %d", i+1, suspectWorkerStreak)
			}
			return
		}
	}
	t.Error("the worker was never put in quarantine")
}
