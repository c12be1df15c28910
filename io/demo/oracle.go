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

// oracle checks every start and end of an attempt against those before it. It
// is the oracle of the demo and shared by the actors of all workers.
type oracle struct {
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

func newOracle() *oracle {
	return &oracle{on: map[string]string{}, done: map[string]int{}, out: map[string]model.Instant{}, faults: map[string][]string{}}
}

// note returns the observer of the workers of a data centre.
func (ora *oracle) note(centre string) func(run worker.AttemptEvent) {
	return func(run worker.AttemptEvent) {
		ora.mu.Lock()
		defer ora.mu.Unlock()
		if run.State() == "running" {
			ora.started(centre, run)
			return
		}
		delete(ora.on, run.Task())
		switch run.State() {
		case "succeeded":
			ora.done[run.Task()]++
			ora.ends = append(ora.ends, run.At())
			if ora.done[run.Task()] > 1 {
				ora.fault("P3", run.Task()+" was completed twice")
			}
		case "stopped":
			ora.evictions++
		}
	}
}

func (ora *oracle) started(centre string, run worker.AttemptEvent) {
	if other, ok := ora.on[run.Task()]; ok {
		ora.fault("P2", run.Task()+" started on "+run.Worker()+" while it runs on "+other)
	}
	if ora.done[run.Task()] > 0 {
		ora.fault("P3", run.Task()+" started after it was complete")
	}
	if since, ok := ora.out[centre]; ok && run.At() > since.Add(startBound) {
		ora.fault("P4", run.Task()+" started in "+centre+" after it was taken out")
	}
	ora.on[run.Task()] = run.Worker()
}

// fault records a violation. The lock must be held.
func (ora *oracle) fault(invariant, text string) {
	ora.faults[invariant] = append(ora.faults[invariant], text)
}

// violate records a violation.
func (ora *oracle) violate(invariant, text string) {
	ora.mu.Lock()
	defer ora.mu.Unlock()
	ora.fault(invariant, text)
}

// service records that a data centre is out of service, or back.
func (ora *oracle) service(centre string, out bool, now model.Instant) {
	ora.mu.Lock()
	defer ora.mu.Unlock()
	if out {
		ora.out[centre] = now
		return
	}
	delete(ora.out, centre)
}

// finished returns the number of complete tasks.
func (ora *oracle) finished() int {
	ora.mu.Lock()
	defer ora.mu.Unlock()
	return len(ora.done)
}
