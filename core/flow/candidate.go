package flow

import (
	"cmp"
	"slices"
	"time"

	"guavarail/core/model"
)

// claimCandidate is a worker on which a step may claim capacity.
type claimCandidate struct {
	worker *worker
	// after is the expected time until the worker has room for a task, or
	// unknownRoom.
	after time.Duration
	// tasks counts the runs and claims of the step on the worker.
	tasks int
	// held is set if the step had a claim on the worker in the plan before.
	held bool
}

// claimCandidates returns the workers on which a step may claim capacity, and
// whether other conditions than room keep the step from some worker. id is one of
// its tasks. The result is valid until the next call.
func (pl *Planner) claimCandidates(now model.Instant, rs *readyStep, id TaskID) (out []claimCandidate, otherConditions bool) {
	out = pl.candidates[:0]
	suitable, otherConditions := pl.suitableWorkers(now, rs)
	pl.claimPace.searched += len(suitable)
	for _, wk := range suitable {
		if !rs.spec.Size.FitsIn(wk.size) {
			continue
		}
		can := claimCandidate{worker: wk, held: wk.claims.held(rs.state())}
		if rs.spec.PerWorker > 0 {
			can.tasks = wk.runsOfStep(id)
			if can.tasks >= rs.spec.PerWorker {
				otherConditions = true
				continue
			}
		}
		can.after = pl.nextRoom(now, rs, &can)
		out = append(out, can)
	}
	pl.candidates = out
	return out, otherConditions
}

// suitability is what decides, besides room, whether a worker may run the tasks of a step.
type suitability struct {
	service     model.ServiceID
	label       string
	longRunning bool
}

// suitableWorkers returns the workers of the index that may run the tasks of a step if they
// have room, and whether a missing label keeps the step from some worker. The result holds
// for one plan.
func (pl *Planner) suitableWorkers(now model.Instant, rs *readyStep) (workers []*worker, lacksLabel bool) {
	key := suitability{service: rs.job.spec.Service, label: rs.spec.RequiredLabel, longRunning: rs.spec.LongRunning}
	if workers, ok := pl.suitable[key]; ok {
		return workers, pl.unlabelled[key]
	}
	for _, wk := range pl.room.workers {
		switch wk.unsuitable(now, rs) {
		case notRejected:
			workers = append(workers, wk)
		case labelMissing:
			lacksLabel = true
		}
	}
	if pl.suitable == nil {
		pl.suitable, pl.unlabelled = map[suitability][]*worker{}, map[suitability]bool{}
	}
	pl.suitable[key], pl.unlabelled[key] = workers, lacksLabel
	return workers, lacksLabel
}

// nextRoom returns the expected time until a worker has room for one task of the
// step beside its claims, or unknownRoom.
func (pl *Planner) nextRoom(now model.Instant, rs *readyStep, can *claimCandidate) time.Duration {
	if rs.spec.PerWorker > 0 && can.tasks >= rs.spec.PerWorker {
		return unknownRoom
	}
	after, ok := pl.roomAfter(now, can.worker, rs.spec.reservation())
	if !ok {
		return unknownRoom
	}
	return after
}

// soonest returns the shortest expected time until one of the candidates has room.
// candidates is not empty.
func soonest(candidates []claimCandidate) time.Duration {
	after := candidates[0].after
	for i := range candidates {
		after = min(after, candidates[i].after)
	}
	return after
}

// candidatesWithin returns the candidates that are expected to have room within a
// time, ordered by when.
func candidatesWithin(candidates []claimCandidate, horizon time.Duration) []*claimCandidate {
	var out []*claimCandidate
	for i := range candidates {
		if candidates[i].after <= horizon {
			out = append(out, &candidates[i])
		}
	}
	slices.SortStableFunc(out, func(a, b *claimCandidate) int {
		return cmp.Or(trueFirst(a.held, b.held), cmp.Compare(a.after, b.after))
	})
	return out
}
