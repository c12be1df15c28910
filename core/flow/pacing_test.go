package flow

import (
	"math"
	"testing"
	"time"

	"guavarail/core/model"
)

// paceSim is a worker with one serving task and one filler. A pace takes
// effect a delay after its last order, and the readings cover the last half
// second, as on the workers of the users.
type paceSim struct {
	// load is the pressure of the callers, harm that of the filler at full pace.
	load, harm float64
	// target is the tail target, floor the tail of an idle task, both in
	// milliseconds.
	target, floor float64
	pace          int
	ordered       int
	orderedAt     model.Instant
	window        []float64
}

const (
	simDelay  = 100 * time.Millisecond
	simReport = 60 * time.Millisecond
	simWindow = 8
)

func (sim *paceSim) tail() float64 { return sim.floor / max(0.02, 1-sim.load-sim.pressure()) }

func (sim *paceSim) pressure() float64 { return sim.harm * float64(sim.pace) / fullPace }

// applyOrders takes in the orders of an answer.
func (sim *paceSim) applyOrders(now model.Instant, ans Answer) {
	for _, ord := range ans.Paces {
		sim.ordered, sim.orderedAt = ord.Percent, now
	}
}

// advance lets the time of one report go by and returns the reading of the tail.
func (sim *paceSim) advance(now model.Instant) float64 {
	if now.Sub(sim.orderedAt) >= simDelay {
		sim.pace = sim.ordered
	}
	sim.window = append(sim.window, sim.tail())
	sim.window = sim.window[max(0, len(sim.window)-simWindow):]
	sum := 0.0
	for _, tail := range sim.window {
		sum += tail
	}
	return sum / float64(len(sim.window))
}

// Guards against paces that never take effect: an order in each answer began
// the delay of the last one anew, so that fillers ran at full speed for as long
// as they were to be slowed (ozolkalns-sched quiet-1, seed 11).
func TestOrderedPaceTakesEffect(t *testing.T) {
	const (
		target = 24 * time.Millisecond
		// grace is the time in which a serving task has to be back under its
		// target.
		grace = 3 * time.Second
	)
	for _, harm := range []float64{0.2, 0.4, 0.8} {
		har := newHarness(t)
		har.submit("serve", StepSpec{Tasks: 1, Size: model.NewResources(2000, 100, 0), LongRunning: true, Image: "web", TailTarget: target})
		start := har.report("w1", nil).Starts
		har.submit("fill", StepSpec{
			Tasks: 1, Size: model.NewResources(1000, 100, 0), Estimate: time.Minute, Filler: true, Image: "batch",
		})
		sim := paceSim{load: 0.6, target: 24, floor: 4, pace: fullPace, ordered: fullPace}
		var fill []StartOrder
		over := time.Duration(0)
		for range 150 {
			har.now = har.now.Add(simReport)
			tail := sim.advance(har.now)
			runs := []RunReport{{Task: start[0].Task, Attempt: 1, Percent: fullPace, Reading: tail}}
			if len(fill) > 0 {
				// The filler is past the point where it would be moved.
				runs = append(runs, RunReport{Task: fill[0].Task, Attempt: 1, Percent: 50, Reading: 1000 * float64(sim.pace) / fullPace})
			}
			ans := har.report("w1", runs)
			if len(fill) == 0 {
				fill = ans.Starts
				sim.harm = harm
			}
			sim.applyOrders(har.now, ans)
			if over += simReport; sim.tail() <= sim.target {
				over = 0
			}
			if over > grace {
				t.Fatalf("harm %v: tail of %.0f ms for %v with a target of %v, pace %d", harm, sim.tail(), over, target, sim.pace)
			}
		}
		if len(fill) == 0 {
			t.Errorf("harm %v: no filler started", harm)
		}
	}
}

// Guards against a filler that stays slow after a change of the leader: the new
// leader does not know what the last one ordered.
func TestNewLeaderOrdersPacesAnew(t *testing.T) {
	har := newHarness(t)
	har.submit("fill", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0), Filler: true, Image: "batch"})
	start := har.report("w1", nil).Starts
	har.step(SteppedDown{})
	har.step(TookOver{Term: 2, LeadUntil: model.Instant(time.Hour)})
	run := RunReport{Task: start[0].Task, Attempt: 1, Percent: 50, Reading: 1000}
	ans := har.report("w1", []RunReport{run})
	if len(ans.Paces) != 1 || ans.Paces[0].Percent != fullPace {
		t.Errorf("paces %+v in the first answer of a new leader, want the full pace of the filler", ans.Paces)
	}
}

// Guards against a change of the load of a serving job that is put down to the
// fillers beside its tasks: they were kept away from tasks that they do not
// disturb (ozolkalns-sched quiet-1, seed 11, where 0.26 was taken for 1.5).
func TestHarmIsToldFromTheLoad(t *testing.T) {
	const (
		floor, target = 4.0, 24.0
		harm          = 0.3
		use           = 1000
		cores         = 4000
		// allowed is the error that changes the pressure of this filler by 0.025.
		allowed = 0.1
	)
	har := newHarness(t)
	har.submit("serve", StepSpec{
		Tasks: 2, Size: model.NewResources(500, 100, 0), LongRunning: true, PerWorker: 1, Image: "web", TailTarget: target * time.Millisecond,
	})
	workers := []string{"w1", "w2"}
	tasks := map[string]TaskID{}
	for _, wk := range workers {
		for _, ord := range har.report(wk, nil).Starts {
			tasks[wk] = ord.Task
		}
	}
	har.submit("fill", StepSpec{Tasks: 1, Size: model.NewResources(use, 100, 0), Estimate: time.Minute, Filler: true, Image: "batch"})
	var fill *StartOrder
	beside := ""
	for pos := range 100 {
		load := 0.4 + 0.25*math.Sin(float64(pos)/6)
		for _, wk := range workers {
			har.now = har.now.Add(simReport)
			run := RunReport{Task: tasks[wk], Attempt: 1, Percent: fullPace, Reading: floor / (1 - load)}
			runs := []RunReport{run}
			if wk == beside {
				runs[0].Reading = floor / (1 - load - harm*use/cores)
				runs = append(runs, RunReport{Task: fill.Task, Attempt: 1, Percent: 50, Reading: use})
			}
			har.step(Tick{LeadUntil: model.Instant(time.Hour)})
			ans := har.report(wk, runs)
			if len(ans.Starts) > 0 {
				fill, beside = &ans.Starts[0], wk
			}
		}
	}
	itf := &har.pl.interference
	got := itf.sensitivity[itf.imageIndex("web")][itf.imageIndex("batch")]
	if fill == nil || math.Abs(got-harm) > allowed {
		t.Errorf("harm of %.2f learned beside a load that swings, want about %.2f", got, harm)
	}
}
