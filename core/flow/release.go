package flow

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

// release is capacity that a run is expected to return.
type release struct {
	// after is the expected time until then.
	after time.Duration
	size  model.Resources
}

// roomAfter returns the expected time until need is free on the worker, beside
// its claims, because runs have ended. It returns false if the runs that end by
// themselves hold too little.
func (pl *Planner) roomAfter(now model.Instant, wk *worker, need model.Resources) (time.Duration, bool) {
	free := wk.free().Sub(wk.claims.size)
	if need.FitsIn(free) {
		return 0, true
	}
	if !wk.claims.listed {
		pl.sumReleases(wk)
	}
	if !need.FitsIn(free.Add(wk.claims.total)) {
		return 0, false
	}
	if !wk.claims.ordered {
		pl.listReleases(now, wk)
	}
	for _, rel := range wk.claims.releases {
		free = free.Add(rel.size)
		if need.FitsIn(free) {
			return rel.after, true
		}
	}
	return 0, false
}

// sumReleases sums up the runs on a worker that will end by themselves or are
// being stopped. Only long-running ones may be neither.
func (pl *Planner) sumReleases(wk *worker) {
	cl := &wk.claims
	cl.listed, cl.ordered, cl.total = true, false, wk.reserved.Sub(wk.longRunning)
	for _, pr := range wk.longRuns {
		if pl.isStopping(pr) {
			cl.total = cl.total.Add(pr.size)
		}
	}
}

// listReleases lists the runs whose sizes sumReleases sums up.
func (pl *Planner) listReleases(now model.Instant, wk *worker) {
	cl := &wk.claims
	cl.ordered, cl.releases = true, cl.releases[:0]
	for _, pr := range wk.runs {
		switch {
		case pr.ending:
			cl.releases = append(cl.releases, release{after: stopDelay, size: pr.size})
		case pl.isStopping(pr):
			cl.releases = append(cl.releases, release{after: pr.stopAfter(now), size: pr.size})
		case !pr.spec.LongRunning:
			cl.releases = append(cl.releases, release{after: pr.remaining(now), size: pr.size})
		}
	}
	slices.SortStableFunc(cl.releases, func(a, b release) int { return cmp.Compare(a.after, b.after) })
}

// isStopping reports whether the end of the run is decided.
func (pl *Planner) isStopping(pr *placedRun) bool {
	return pr.ending || !pr.planned && pl.unwanted(pr)
}

// leaving reports whether the run has ended or is being evicted, so that what it
// holds is expected to be free within stopDelay.
func (pr *placedRun) leaving(now model.Instant) bool {
	return pr.ending || pr.evicting && pr.stopAfter(now) <= stopDelay
}

// stopAfter estimates how much longer the stop of an unwanted run takes.
func (pr *placedRun) stopAfter(now model.Instant) time.Duration {
	if pr.unwantedSince == 0 {
		pr.unwantedSince = now
	}
	if since := now.Sub(pr.unwantedSince); since > maxStopTime {
		return since
	}
	return stopDelay
}

// remaining estimates how much longer a run takes, from its progress or, before
// the first, from the declared duration. A run past its declared duration is
// expected to take as long again.
func (pr *placedRun) remaining(now model.Instant) time.Duration {
	elapsed := now.Sub(pr.placedAt)
	switch {
	case pr.reported && pr.percent > 0:
		return elapsed * time.Duration(fullPace-min(pr.percent, fullPace)) / time.Duration(pr.percent)
	case elapsed < pr.spec.Estimate:
		return pr.spec.Estimate - elapsed
	}
	return elapsed
}
