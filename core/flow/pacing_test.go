package flow

import (
	"math"
	"testing"
	"time"

	"guavarail/core/model"
)

// paceSim simulates a worker with one serving task and one filler. As on real
// workers, a pace takes effect simPaceDelay after the last pace order, and
// readings cover the last half second, simWindowLength heartbeats.
type paceSim struct {
	// load is the pressure of the callers, fillerPressure that of the filler at
	// full pace.
	load, fillerPressure float64
	// target is the target for the tail latency, and idleTailLatency that of an
	// idle task, both in milliseconds.
	target, idleTailLatency float64
	// pace is the pace in effect and ordered the last one ordered, in percent.
	pace      int
	ordered   int
	orderedAt model.Instant
	// window holds the tail latencies of the last half second, oldest first.
	window []float64
}

const (
	simPaceDelay         = 100 * time.Millisecond
	simHeartbeatInterval = 60 * time.Millisecond
	simWindowLength      = 8
)

func (sim *paceSim) tailLatency() float64 {
	return sim.idleTailLatency / max(0.02, 1-sim.load-sim.pacedFillerPressure())
}

// pacedFillerPressure returns the pressure of the filler at the pace in effect.
func (sim *paceSim) pacedFillerPressure() float64 {
	return sim.fillerPressure * float64(sim.pace) / fullPace
}

// applyOrders stores the pace orders of an answer.
func (sim *paceSim) applyOrders(now model.Instant, ans Answer) {
	for _, ord := range ans.Paces {
		sim.ordered, sim.orderedAt = ord.Percent, now
	}
}

// advance simulates the time since the last heartbeat and returns the reading of
// the tail latency for the next one.
func (sim *paceSim) advance(now model.Instant) float64 {
	if now.Sub(sim.orderedAt) >= simPaceDelay {
		sim.pace = sim.ordered
	}
	sim.window = append(sim.window, sim.tailLatency())
	sim.window = sim.window[max(0, len(sim.window)-simWindowLength):]
	sum := 0.0
	for _, latency := range sim.window {
		sum += latency
	}
	return sum / float64(len(sim.window))
}

// Guards against paces that never take effect: each pace order restarts the
// delay of the previous one, so an order in every answer would leave the fillers
// at full speed.
func TestOrderedPaceTakesEffect(t *testing.T) {
	const (
		target = 24 * time.Millisecond
		// recovery is the time within which a serving task must be back within
		// its target.
		recovery = 3 * time.Second
	)
	for _, pressure := range []float64{0.2, 0.4, 0.8} {
		har := newHarness(t)
		har.submit("serve", StepSpec{Tasks: 1, Size: model.NewResources(2000, 100, 0), LongRunning: true, Image: "web", TailTarget: target})
		start := har.heartbeat("w1", nil).Starts
		har.submit("fill", StepSpec{
			Tasks: 1, Size: model.NewResources(1000, 100, 0), Estimate: time.Minute, Filler: true, Image: "batch",
		})
		sim := paceSim{load: 0.6, target: 24, idleTailLatency: 4, pace: fullPace, ordered: fullPace}
		var fill []StartOrder
		overTarget := time.Duration(0)
		for range 150 {
			har.now = har.now.Add(simHeartbeatInterval)
			reading := sim.advance(har.now)
			runs := []RunReport{{Task: start[0].Task, Attempt: 1, Percent: fullPace, Reading: reading}}
			if len(fill) > 0 {
				// At 50 percent, stopping the filler would lose too much work, so
				// it is paced rather than evicted.
				runs = append(runs, RunReport{Task: fill[0].Task, Attempt: 1, Percent: 50, Reading: 1000 * float64(sim.pace) / fullPace})
			}
			ans := har.heartbeat("w1", runs)
			if len(fill) == 0 {
				fill = ans.Starts
				sim.fillerPressure = pressure
			}
			sim.applyOrders(har.now, ans)
			if overTarget += simHeartbeatInterval; sim.tailLatency() <= sim.target {
				overTarget = 0
			}
			if overTarget > recovery {
				t.Fatalf("filler pressure %v: tail latency of %.0f ms for %v with a target of %v, pace %d", pressure, sim.tailLatency(), overTarget, target, sim.pace)
			}
		}
		if len(fill) == 0 {
			t.Errorf("filler pressure %v: no filler started", pressure)
		}
	}
}

// Guards against a filler that stays slow after a change of leader: the new
// leader has no record of the pace that the previous one ordered.
func TestNewLeaderOrdersPacesAnew(t *testing.T) {
	har := newHarness(t)
	har.submit("fill", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), Filler: true, Image: "batch"})
	start := har.heartbeat("w1", nil).Starts
	har.step(SteppedDown{})
	har.step(BecameLeader{Term: 2, LeaseUntil: model.Instant(time.Hour)})
	run := RunReport{Task: start[0].Task, Attempt: 1, Percent: 50, Reading: 1000}
	ans := har.heartbeat("w1", []RunReport{run})
	if len(ans.Paces) != 1 || ans.Paces[0].Percent != fullPace {
		t.Errorf("paces %+v in the first answer of a new leader, want the full pace of the filler", ans.Paces)
	}
}

// Guards against attributing a change in the load of a serving job to the
// fillers on the workers of its tasks. Fillers would then not be placed beside
// tasks that they hardly slow: a sensitivity of 0.26 would be estimated as 1.5.
func TestSensitivityIsSeparatedFromLoad(t *testing.T) {
	const (
		idleTailLatency, target = 4.0, 24.0
		sensitivity             = 0.3
		fillerMilliCPU          = 1000
		workerMilliCPU          = 4000
		// tolerance is the error that changes the pressure of this filler by
		// 0.025.
		tolerance = 0.1
	)
	har := newHarness(t)
	har.submit("serve", StepSpec{
		Tasks: 2, Size: model.NewResources(500, 100, 0), LongRunning: true, PerWorker: 1, Image: "web", TailTarget: target * time.Millisecond,
	})
	workers := []string{"w1", "w2"}
	tasks := map[string]TaskID{}
	for _, wk := range workers {
		for _, ord := range har.heartbeat(wk, nil).Starts {
			tasks[wk] = ord.Task
		}
	}
	har.submit("fill", StepSpec{Tasks: 1, Size: model.NewResources(fillerMilliCPU, 100, 0), Estimate: time.Minute, Filler: true, Image: "batch"})
	var fill *StartOrder
	fillerWorker := ""
	for round := range 100 {
		load := 0.4 + 0.25*math.Sin(float64(round)/6)
		for _, wk := range workers {
			har.now = har.now.Add(simHeartbeatInterval)
			run := RunReport{Task: tasks[wk], Attempt: 1, Percent: fullPace, Reading: idleTailLatency / (1 - load)}
			runs := []RunReport{run}
			if wk == fillerWorker {
				runs[0].Reading = idleTailLatency / (1 - load - sensitivity*fillerMilliCPU/workerMilliCPU)
				runs = append(runs, RunReport{Task: fill.Task, Attempt: 1, Percent: 50, Reading: fillerMilliCPU})
			}
			har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
			ans := har.heartbeat(wk, runs)
			if len(ans.Starts) > 0 {
				fill, fillerWorker = &ans.Starts[0], wk
			}
		}
	}
	itf := &har.pl.interference
	got := itf.sensitivity[itf.imageIndex("web")][itf.imageIndex("batch")]
	if fill == nil || math.Abs(got-sensitivity) > tolerance {
		t.Errorf("sensitivity of %.2f estimated under an oscillating load, want about %.2f", got, sensitivity)
	}
}
