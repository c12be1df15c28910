package flow

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// exhaustiveRoomAfter returns what roomAfter should: it looks at every run of the
// worker.
func (pl *Planner) exhaustiveRoomAfter(now model.Instant, wk *worker, need model.Resources) (time.Duration, bool) {
	var releases []release
	for _, pr := range wk.runs {
		rel := release{after: stopDelay, size: pr.size}
		tk := &pr.job.occurrence(pr.task.occurrence).steps[pr.task.step].tasks[pr.task.index]
		if !pr.ending && (pr.planned || !pr.evicting && !pr.job.status.Final() && !tk.done) {
			if pr.spec.LongRunning {
				continue
			}
			rel.after = pr.remaining(now)
		}
		releases = append(releases, rel)
	}
	slices.SortStableFunc(releases, func(a, b release) int { return cmp.Compare(a.after, b.after) })
	free := wk.free().Sub(wk.claims.size)
	if need.FitsIn(free) {
		return 0, true
	}
	for _, rel := range releases {
		free = free.Add(rel.size)
		if need.FitsIn(free) {
			return rel.after, true
		}
	}
	return 0, false
}

// TestRoomAfterLooksAtEachRun guards against sums that miss a run, or keep one
// that is gone: the time until a worker has room must be that of a look at each
// of its runs.
func TestRoomAfterLooksAtEachRun(t *testing.T) {
	rooms, none := 0, 0
	for seed := range uint64(300) {
		rc := newRandomCell(t, seed)
		for range 3 {
			rc.pl.indexRoom()
			rc.changeRuns()
			rc.claimSomewhere()
			for _, wk := range rc.pl.workers.sorted {
				for range 10 {
					need := rc.resources(20_000, 20_000)
					wantAfter, want := rc.pl.exhaustiveRoomAfter(rc.now, wk, need)
					gotAfter, got := rc.pl.roomAfter(rc.now, wk, need)
					if gotAfter != wantAfter || got != want {
						t.Fatalf("seed %d: worker %s, need %v: got %v %t, want %v %t", seed, wk.incarnation, need, gotAfter, got, wantAfter, want)
					}
					if got {
						rooms++
					} else {
						none++
					}
				}
			}
		}
	}
	if rooms < 10_000 || none < 10_000 {
		t.Errorf("got %d workers with room later and %d without, want 10000 of each", rooms, none)
	}
}

// exhaustivePreemption returns the runs that preemptionOn should choose, and
// whether they make room.
func exhaustivePreemption(now model.Instant, wk *worker, rs *readyStep) (stopped []*placedRun, ok bool) {
	need := rs.spec.reservation()
	free := wk.free().Sub(wk.claims.size)
	var lower []*placedRun
	for _, pr := range wk.runs {
		switch {
		case pr.preemptable(rs):
			lower = append(lower, pr)
		case pr.ending || pr.evicting:
			free = free.Add(pr.size)
		}
	}
	slices.SortStableFunc(lower, func(a, b *placedRun) int { return cmp.Compare(a.lostWork(now), b.lostWork(now)) })
	for _, pr := range lower {
		if need.FitsIn(free) {
			break
		}
		free = free.Add(pr.size)
		stopped = append(stopped, pr)
	}
	return stopped, need.FitsIn(free)
}

// TestPreemptionLooksAtEachRun guards against sums that rule out a worker on which
// the stop of runs makes room.
func TestPreemptionLooksAtEachRun(t *testing.T) {
	rooms, none := 0, 0
	for seed := range uint64(300) {
		rc := newRandomCell(t, seed)
		rc.pl.indexRoom()
		rc.claimSomewhere()
		for _, wk := range rc.pl.workers.sorted {
			for i := range rc.steps {
				rs := &rc.steps[i]
				stopped, want := exhaustivePreemption(rc.now, wk, rs)
				pre, got := rc.pl.preemptionOn(rc.now, wk, rs)
				if got != want || got && !slices.Equal(pre.runs, stopped) {
					t.Fatalf("seed %d: worker %s, step of %s: got %d runs %t, want %d %t", seed, wk.incarnation, rs.job.ID(), len(pre.runs), got, len(stopped), want)
				}
				if got {
					rooms++
				} else {
					none++
				}
			}
		}
	}
	if rooms < 10_000 || none < 10_000 {
		t.Errorf("got %d workers where a stop makes room and %d without, want 10000 of each", rooms, none)
	}
}

// changeRuns removes runs, cancels a job and completes tasks.
func (rc *randomCell) changeRuns() {
	rs := &rc.steps[rc.rng.IntN(len(rc.steps))]
	rs.job.status = Cancelled
	for _, wk := range rc.pl.workers.sorted {
		for len(wk.runs) > 0 && rc.oneIn(2) {
			wk.remove(wk.runs[rc.rng.IntN(len(wk.runs))])
		}
		for _, pr := range wk.runs {
			if !pr.spec.LongRunning && rc.oneIn(9) {
				pr.state.done = true
			}
		}
	}
}
