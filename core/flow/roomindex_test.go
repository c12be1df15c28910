package flow

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// randomCell is a planner with random workers, jobs and runs.
type randomCell struct {
	rng *rand.Rand
	st  State
	pl  *Planner
	now model.Instant
	// steps are the first steps of the jobs.
	steps []readyStep
}

func newRandomCell(t *testing.T, seed uint64) *randomCell {
	rc := &randomCell{rng: rand.New(rand.NewPCG(seed, 2)), now: model.Instant(time.Minute)}
	rc.pl = NewPlanner(&rc.st, Config{})
	rc.pl.outage = map[model.CentreID]bool{"c0": rc.oneIn(2)}
	for j := range 40 {
		rc.addJob(t, j)
	}
	for i := range rc.rng.IntN(70) {
		rc.addWorker(i)
	}
	return rc
}

// oneIn returns true once in num calls on average.
func (rc *randomCell) oneIn(num int) bool { return rc.rng.IntN(num) == 0 }

func (rc *randomCell) resources(maxMilliCPU, maxMemoryMB int64) model.Resources {
	return model.NewResources(rc.rng.Int64N(maxMilliCPU), rc.rng.Int64N(maxMemoryMB), int64(rc.rng.IntN(10)/9))
}

func (rc *randomCell) addJob(t *testing.T, num int) {
	spec := StepSpec{
		Tasks: 30, Size: rc.resources(9000, 9000), Estimate: time.Duration(rc.rng.IntN(8)) * time.Second, LongRunning: rc.oneIn(3), Filler: rc.oneIn(4),
		Gang: rc.oneIn(6), SameRack: rc.oneIn(2), Image: fmt.Sprint("image", num%5), Checkpoints: rc.oneIn(2),
	}
	if rc.oneIn(3) {
		spec.PerWorker = 1 + rc.rng.IntN(2)
	}
	if rc.oneIn(4) {
		spec.RequiredLabel = fmt.Sprint("label", rc.rng.IntN(2))
	}
	if rc.oneIn(4) {
		spec.DataRack = fmt.Sprint("rack", rc.rng.IntN(2))
	}
	if spec.LongRunning && rc.oneIn(2) {
		spec.TailTarget, spec.Filler = 50*time.Millisecond, false
	}
	jo, err := NewJob(JobSpec{ID: model.JobID(fmt.Sprint("job", num)), Service: "svc", Priority: num % 3, Steps: []StepSpec{spec}})
	if err != nil {
		t.Fatal(err)
	}
	rc.st.Apply(Submit(jo))
	jb := rc.st.jobs[jo.ID()]
	rc.steps = append(rc.steps, readyStep{
		job: jb, occ: jb.occurrence(0), spec: &jb.spec.Steps[0], restart: spec.LongRunning && rc.oneIn(2), starved: rc.oneIn(5),
		waitingSince: rc.now.Add(-time.Duration(rc.rng.IntN(9)) * time.Second),
	})
}

func (rc *randomCell) addWorker(num int) {
	wk := &worker{
		incarnation: NewIncarnation(model.WorkerID(fmt.Sprintf("w%03d", num)), 1), reported: !rc.oneIn(15), draining: rc.oneIn(15),
		service: "svc", centre: model.CentreID(fmt.Sprint("c", rc.rng.IntN(5))), rack: fmt.Sprint("rack", rc.rng.IntN(3)),
		labels: []string{fmt.Sprint("label", rc.rng.IntN(3))}, size: rc.resources(40_000, 60_000), lastHeartbeat: rc.now,
	}
	if rc.oneIn(15) {
		wk.service = "other"
	}
	if rc.oneIn(15) {
		wk.lastHeartbeat = rc.now.Add(-maxHeartbeatAge - 1)
	}
	if rc.oneIn(15) {
		wk.unknownRuns = make([]StopOrder, 1)
	}
	if rc.oneIn(10) {
		wk.slowUntil = rc.now.Add(time.Second)
	}
	if rc.oneIn(10) {
		wk.health.blame.Quarantine(rc.now, false)
	}
	for range rc.rng.IntN(12) {
		rs := &rc.steps[rc.rng.IntN(len(rc.steps))]
		pr := newPlacedRun(rs.job, NewTaskID(rs.job.ID(), 0, 0, rc.rng.IntN(rs.spec.Tasks)), 1, rc.now.Add(-time.Duration(rc.rng.IntN(9000))*time.Millisecond))
		pr.planned, pr.ending, pr.evicting, pr.reported = rc.oneIn(6), rc.oneIn(6), rc.oneIn(6), rc.oneIn(2)
		pr.percent = rc.rng.IntN(fullPace + 1)
		wk.add(pr)
	}
	wk.updateServingJobs(rc.pl)
	rc.pl.workers.add(wk)
}

// claimSomewhere adds claims to a few workers.
func (rc *randomCell) claimSomewhere() {
	for _, wk := range rc.pl.workers.sorted {
		if rc.oneIn(4) {
			rs := &rc.steps[rc.rng.IntN(len(rc.steps))]
			wk.claims.add(rs.state(), rs.spec.reservation(), time.Duration(rc.rng.IntN(9))*time.Second)
		}
	}
}

// exhaustiveChoice returns the worker that a look at each of them finds for a task
// and whether another condition than room keeps it from some worker.
func (pl *Planner) exhaustiveChoice(now model.Instant, rs readyStep, id TaskID, near *worker) (best *worker, otherConditions bool) {
	need := rs.spec.reservation()
	image := pl.interference.imageIndex(rs.spec.Image)
	lowest := 0.0
	for _, wk := range pl.workers.sorted {
		switch pl.rejectionFor(now, wk, &rs, id, need) {
		case notRejected:
		case perWorkerLimit, labelMissing:
			otherConditions = true
			continue
		default:
			continue
		}
		cost, ok := pl.placementCost(wk, rs, image, need)
		if !ok {
			continue
		}
		cost += localityCost(wk, rs.spec, near) + orderWaitCostOf(now, wk, rs.spec)
		if wk.health.quarantined(now) {
			cost += quarantineCost
		}
		if best == nil || cost < lowest {
			best, lowest = wk, cost
		}
	}
	return best, otherConditions
}

// TestIndexedChoiceIsTheExhaustiveOne guards against an index that hides a worker
// or is not adjusted: each choice, and what a plan concludes from the lack of a
// worker, must be that of a look at every worker.
func TestIndexedChoiceIsTheExhaustiveOne(t *testing.T) {
	found, misses := 0, 0
	for seed := range uint64(300) {
		rc := newRandomCell(t, seed)
		pl := rc.pl
		pl.indexRoom()
		rc.claimSomewhere()
		var near *worker
		for range 150 {
			rs := rc.steps[rc.rng.IntN(len(rc.steps))]
			index := rc.rng.IntN(rs.spec.Tasks)
			cho := pl.newChooser(rc.now, rs, near)
			var placed []TaskID
			for ; index < rs.spec.Tasks && len(placed) < 4; index++ {
				id := NewTaskID(rs.job.ID(), 0, 0, index)
				want, otherConditions := pl.exhaustiveChoice(rc.now, rs, id, cho.near)
				pl.misses = nil
				got := cho.next(id)
				if got != want {
					t.Fatalf("seed %d: task %s of %+v: got %+v, want %+v", seed, id, *rs.spec, got, want)
				}
				noMiss := want != nil || otherConditions && !rs.spec.Filler || rs.spec.Filler && rs.starved || rs.spec.Gang
				// The index hides workers that lack processors for a filler, whatever else
				// keeps it from them, so that its miss may be recorded in spite of that.
				mayMiss := !noMiss && !(otherConditions && rs.spec.Filler)
				if noMiss && len(pl.misses) > 0 || mayMiss && len(pl.misses) == 0 {
					t.Fatalf("seed %d: task %s of %+v: misses %v, want none %t", seed, id, *rs.spec, pl.misses, noMiss)
				}
				misses += len(pl.misses)
				rc.checkMisses(t, seed)
				if got == nil {
					break
				}
				found++
				near = got
				pl.reserve(rc.now, rs, &rs.state().tasks[index], id, 2, got)
				placed = append(placed, id)
			}
			for _, id := range placed {
				if wk, _ := pl.findRun(id, 2); rc.oneIn(4) {
					pl.unreserve(wk, id, 2, &rs.state().tasks[id.index])
				}
			}
		}
	}
	if found < 1000 || misses < 1000 {
		t.Errorf("got %d choices and %d misses, want 1000 of each", found, misses)
	}
}

// TestRoomIndexFindsEachWorkerWithRoom guards against a search that skips a worker
// or ends early, for each number of workers.
func TestRoomIndexFindsEachWorkerWithRoom(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 3))
	for num := range 70 {
		var ri roomIndex
		for range num {
			ri.add(&worker{size: model.NewResources(rng.Int64N(100), rng.Int64N(100), rng.Int64N(2))})
		}
		ri.build()
		for range 50 {
			if num > 0 {
				wk := ri.workers[rng.IntN(num)]
				wk.reserved = model.NewResources(rng.Int64N(100), rng.Int64N(100), 0)
				ri.update(wk)
			}
			need := model.NewResources(rng.Int64N(60), rng.Int64N(60), rng.Int64N(2))
			var got, want []int
			filler := float64(rng.IntN(100) * rng.IntN(2))
			search := roomNeed{free: need, fillerMilliCPU: filler}
			for pos := ri.next(0, search); pos >= 0; pos = ri.next(pos+1, search) {
				got = append(got, pos)
			}
			for pos, wk := range ri.workers {
				if need.FitsIn(wk.free()) && (filler == 0 || wk.spareMilliCPU()-filler >= -filler*maxFillerShortage) {
					want = append(want, pos)
				}
			}
			if !slices.Equal(got, want) {
				t.Fatalf("%d workers, need %v: got %v, want %v", num, need, got, want)
			}
		}
	}
}

// checkMisses checks that no worker is eligible for the steps that the misses cover.
func (rc *randomCell) checkMisses(t *testing.T, seed uint64) {
	t.Helper()
	for _, rs := range rc.steps {
		if !slices.ContainsFunc(rc.pl.misses, func(mi miss) bool { return mi.covers(&rs, rs.spec.reservation()) }) {
			continue
		}
		if wk, _ := rc.pl.exhaustiveChoice(rc.now, rs, NewTaskID(rs.job.ID(), 0, 0, 0), nil); wk != nil {
			t.Fatalf("seed %d: %+v is missed, but %+v may get its task", seed, *rs.spec, wk.incarnation)
		}
	}
}
