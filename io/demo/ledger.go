package demo

import (
	"sync"
	"time"

	"guavarail/core/model"
	"guavarail/io/fake/worker"
)

// startBound is when starts must have ended in a data centre that was taken
// out, and when a leaving backend server must get no new request.
const startBound = 3 * time.Second

// ledger checks every start and end of an attempt against those before it. It
// is the oracle of the demo and shared by the actors of all workers.
type ledger struct {
	mu sync.Mutex
	// on has where each running task runs.
	on   map[string]string
	done map[string]int
	// out has since when a data centre is out of service.
	out map[string]model.Instant
	// faults has the violations by invariant.
	faults    map[string][]string
	evictions int
	ends      []model.Instant
}

func newLedger() *ledger {
	return &ledger{on: map[string]string{}, done: map[string]int{}, out: map[string]model.Instant{}, faults: map[string][]string{}}
}

// note returns the observer of the workers of a data centre.
func (led *ledger) note(centre string) func(run worker.Run) {
	return func(run worker.Run) {
		led.mu.Lock()
		defer led.mu.Unlock()
		if run.State() == "running" {
			led.started(centre, run)
			return
		}
		delete(led.on, run.Task())
		switch run.State() {
		case "succeeded":
			led.done[run.Task()]++
			led.ends = append(led.ends, run.At())
			if led.done[run.Task()] > 1 {
				led.fault("P3", run.Task()+" was completed twice")
			}
		case "stopped":
			led.evictions++
		}
	}
}

func (led *ledger) started(centre string, run worker.Run) {
	if other, ok := led.on[run.Task()]; ok {
		led.fault("P2", run.Task()+" started on "+run.Worker()+" while it runs on "+other)
	}
	if led.done[run.Task()] > 0 {
		led.fault("P3", run.Task()+" started after it was complete")
	}
	if since, ok := led.out[centre]; ok && run.At() > since.Add(startBound) {
		led.fault("P4", run.Task()+" started in "+centre+" after it was taken out")
	}
	led.on[run.Task()] = run.Worker()
}

// fault records a violation. The lock must be held.
func (led *ledger) fault(invariant, text string) {
	led.faults[invariant] = append(led.faults[invariant], text)
}

// violate records a violation.
func (led *ledger) violate(invariant, text string) {
	led.mu.Lock()
	defer led.mu.Unlock()
	led.fault(invariant, text)
}

// service records that a data centre is out of service, or back.
func (led *ledger) service(centre string, out bool, now model.Instant) {
	led.mu.Lock()
	defer led.mu.Unlock()
	if out {
		led.out[centre] = now
		return
	}
	delete(led.out, centre)
}

// finished returns the number of complete tasks.
func (led *ledger) finished() int {
	led.mu.Lock()
	defer led.mu.Unlock()
	return len(led.done)
}
