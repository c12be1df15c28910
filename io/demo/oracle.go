package demo

import (
	"sync"
	"time"

	"guavarail/core/model"
	"guavarail/io/fake/worker"
)

// noNewWorkAfter is the time after which no task may start in a data centre that
// was taken out of service (P4), and no new request may be sent to a leaving backend
// server (P8).
const noNewWorkAfter = 3 * time.Second

// oracle is the test oracle of the demo: it checks each start and end of an attempt
// to run a task against the earlier ones, and collects the violations of all
// invariants. The actors of all workers share it; mu guards all fields.
type oracle struct {
	mu sync.Mutex
	// runningOn maps each running task to its worker.
	runningOn map[string]string
	// completions counts how often each task succeeded.
	completions map[string]int
	// outSince maps each data centre that is out of service to the time at which
	// it was taken out.
	outSince map[string]model.Instant
	// violations maps the id of an invariant, such as P4, to descriptions of its
	// violations.
	violations map[string][]string
	// evictions counts the attempts that were stopped before they completed.
	evictions int
	// completedAt has the time of each completion, on the clock of the cluster.
	completedAt []model.Instant
}

func newOracle() *oracle {
	return &oracle{runningOn: map[string]string{}, completions: map[string]int{}, outSince: map[string]model.Instant{}, violations: map[string][]string{}}
}

// observer returns a function that checks the attempt events of the workers in a
// data centre.
func (ora *oracle) observer(centre string) func(ev worker.AttemptEvent) {
	return func(ev worker.AttemptEvent) {
		ora.mu.Lock()
		defer ora.mu.Unlock()
		if ev.State() == "running" {
			ora.checkStartLocked(centre, ev)
			return
		}
		delete(ora.runningOn, ev.Task())
		switch ev.State() {
		case "succeeded":
			ora.completions[ev.Task()]++
			ora.completedAt = append(ora.completedAt, ev.At())
			if ora.completions[ev.Task()] > 1 {
				ora.addViolationLocked("P3", ev.Task()+" was completed twice")
			}
		case "stopped":
			ora.evictions++
		}
	}
}

// checkStartLocked checks the start of an attempt in a data centre and records the
// attempt as running. The caller must hold the lock.
func (ora *oracle) checkStartLocked(centre string, ev worker.AttemptEvent) {
	if other, ok := ora.runningOn[ev.Task()]; ok {
		ora.addViolationLocked("P2", ev.Task()+" started on "+ev.Worker()+" while it runs on "+other)
	}
	if ora.completions[ev.Task()] > 0 {
		ora.addViolationLocked("P3", ev.Task()+" started after it was complete")
	}
	if since, ok := ora.outSince[centre]; ok && ev.At() > since.Add(noNewWorkAfter) {
		ora.addViolationLocked("P4", ev.Task()+" started in "+centre+" after it was taken out")
	}
	ora.runningOn[ev.Task()] = ev.Worker()
}

// addViolationLocked is like addViolation, but the caller must hold the lock.
func (ora *oracle) addViolationLocked(invariant, text string) {
	ora.violations[invariant] = append(ora.violations[invariant], text)
}

// addViolation records a violation of an invariant, which is given by its id.
func (ora *oracle) addViolation(invariant, text string) {
	ora.mu.Lock()
	defer ora.mu.Unlock()
	ora.addViolationLocked(invariant, text)
}

// setOutOfService records that a data centre is out of service from now on, or that
// it may be in service again if out is false.
func (ora *oracle) setOutOfService(centre string, out bool, now model.Instant) {
	ora.mu.Lock()
	defer ora.mu.Unlock()
	if out {
		ora.outSince[centre] = now
		return
	}
	delete(ora.outSince, centre)
}

// completedTasks returns the number of tasks that have completed on a worker.
func (ora *oracle) completedTasks() int {
	ora.mu.Lock()
	defer ora.mu.Unlock()
	return len(ora.completions)
}
