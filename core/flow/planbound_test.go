package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a plan that takes longer than the leader lease, because many tasks wait
// and many workers have room, and against tasks that a shorter plan never reaches.
func TestLongPlanIsContinuedInTheNext(t *testing.T) {
	const workers, unsuited, tasks, perWorker, ticks = 400, 200, 500, 4, 50
	har := newHarness(t)
	// No worker suits the first jobs, for which a plan weighs all of them.
	for i := range unsuited {
		har.submit(fmt.Sprint("unsuited", i), StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), RequiredLabel: "none"})
	}
	har.submit("wide", StepSpec{Tasks: tasks, Size: model.NewResources(1000, 100, 0)})
	har.submit("last", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	var effs []Effect
	for i := range workers {
		name := fmt.Sprint("w", i)
		effs = append(effs, har.pl.Step(har.now, Heartbeat{
			HeartbeatID: uint64(i), Incarnation: NewIncarnation(model.WorkerID(name), 1), Sequence: 1, Service: "svc", Centre: "a", Address: name,
			Size: model.NewResources(1000*perWorker, 4000, 0),
		})...)
	}
	started := 0
	for tick := 0; len(effs) > 0 || tick < ticks; {
		if len(effs) == 0 {
			tick++
			har.now = har.now.Add(TickInterval)
			effs = har.pl.Step(har.now, Tick{LeaseUntil: har.now.Add(simLeaderLease)})
			continue
		}
		prop, ok := effs[0].(Propose)
		effs = effs[1:]
		if !ok {
			continue
		}
		if most := maxWeighed + workers; har.pl.bound.weighed > most {
			t.Fatalf("%d workers are weighed for %d starts in one plan, want at most %d", har.pl.bound.weighed, len(prop.Ops), most)
		}
		started += len(prop.Ops)
		for _, op := range prop.Ops {
			effs = append(effs, har.pl.Step(har.now, har.commit(op))...)
		}
		effs = append(effs, har.pl.Step(har.now, ProposalEnded{Term: prop.Term, Applied: true})...)
	}
	if started != tasks+1 {
		t.Errorf("%d tasks started, want %d", started, tasks+1)
	}
}

// Guards against a gang without room that takes the time of every plan, so that the steps
// behind it are never reached.
func TestGangWithoutRoomLeavesTimeForOtherSteps(t *testing.T) {
	const workers, ticks = 260, 50
	for _, waited := range []time.Duration{0, 2 * overdueAfter} {
		har := newHarness(t)
		har.holding = true
		har.submit("gang", StepSpec{Tasks: workers + 1, PerWorker: 1, Gang: true, Size: model.NewResources(1000, 100, 0), Estimate: time.Second})
		har.now = har.now.Add(waited)
		for i := range workers {
			name := fmt.Sprint("w", i)
			har.step(Heartbeat{
				HeartbeatID: uint64(i), Incarnation: NewIncarnation(model.WorkerID(name), 1), Sequence: 1, Service: "svc", Centre: "a", Address: name,
				Size: model.NewResources(4000, 4000, 0),
			})
		}
		har.submit("last", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), Estimate: time.Hour})
		for range ticks {
			har.now = har.now.Add(TickInterval)
			har.step(Tick{LeaseUntil: har.now.Add(simLeaderLease), Wall: time.Duration(har.now).Milliseconds()})
		}
		if len(har.held) != 1 {
			t.Errorf("gang that had waited for %v: %d proposals within %v, want the start of the job behind it", waited, len(har.held), ticks*TickInterval)
		}
	}
}
