// Package guard keeps the tail latency of services within its target while
// batch tasks share their workers. It estimates how much each kind of batch
// task slows each service and takes the mildest step that helps: place
// separately, throttle, checkpoint and evict.
package guard

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// harmful is the slowdown from which on a kind is acted on.
	harmful = 0.1
	// stepEvery is the shortest time between two steps on one worker; usage
	// reports are delayed, so that a step needs time to show.
	stepEvery = 5 * time.Second
	// calmFor is how long the tail latency must be below calmPercent of the
	// target before a step is reverted.
	calmFor     = 30 * time.Second
	calmPercent = 80
	// evictPercent of the batch tasks may be evicted in evictWindow.
	evictPercent = 5
	evictWindow  = 30 * time.Second
)

// Step is how far a worker's batch tasks are restrained.
type Step uint8

// The steps, mildest first.
const (
	Free Step = iota
	Separated
	Throttled
	Evicting
)

var stepNames = [...]string{"free", "separated", "throttled", "evicting"}

// String returns the name used in the API.
func (st Step) String() string { return stepNames[st] }

// Reading is the tail latency of one service on one worker.
type Reading struct {
	worker       model.WorkerID
	service      model.ServiceID
	tail, target time.Duration
	load         float64
	kinds        []string
	batch        int
}

// NewReading returns a reading. Load is the part of the service's slots in
// use, kinds are the different kinds of batch tasks that run on the worker,
// and batch is the number of batch tasks in the data centre.
func NewReading(worker model.WorkerID, service model.ServiceID, tail, target time.Duration, load float64, kinds []string, batch int) Reading {
	return Reading{worker: worker, service: service, tail: tail, target: target, load: load, kinds: kinds, batch: batch}
}

// Action is what the guard asks for on one worker.
type Action struct {
	worker model.WorkerID
	kind   string
	step   Step
	revert bool
}

// Worker returns the worker.
func (ac Action) Worker() model.WorkerID { return ac.worker }

// Kind returns the kind of batch task that is acted on.
func (ac Action) Kind() string { return ac.kind }

// Step returns the step that is taken or reverted.
func (ac Action) Step() Step { return ac.step }

// Revert reports whether the step is taken back.
func (ac Action) Revert() bool { return ac.revert }

// watch is the state of one worker.
type watch struct {
	step Step
	kind string
	// apart is the kind that the first step was taken against.
	apart string
	// service is the one that the steps were taken for.
	service model.ServiceID
	changed model.Instant
	// calm is since when the tail latency is low, 0 while it is not.
	calm model.Instant
}

// pair names a service and a kind of batch task.
type pair struct {
	service model.ServiceID
	kind    string
}

// Guard is a model.Machine of readings and actions. The zero value is ready
// to use.
type Guard struct {
	ests    estimates
	watches map[model.WorkerID]*watch
	// apart counts the workers that asked to place a pair separately.
	apart map[pair]int
	// evicted has the times of the last evictions.
	evicted []model.Instant
}

// Step takes in a reading and returns at most one action.
func (gu *Guard) Step(now model.Instant, rd Reading) []Action {
	gu.ests.observe(now, &rd)
	wa, ok := gu.watches[rd.worker]
	if !ok {
		if gu.watches == nil {
			gu.watches, gu.apart = map[model.WorkerID]*watch{}, map[pair]int{}
		}
		wa = &watch{}
		gu.watches[rd.worker] = wa
	}
	if rd.tail*100 < rd.target*calmPercent {
		return gu.relax(now, &rd, wa)
	}
	if wa.service == rd.service {
		wa.calm = 0
	}
	if rd.tail <= rd.target {
		return nil
	}
	return gu.tighten(now, &rd, wa)
}

// tighten takes the next step against the kind that slows the service most.
func (gu *Guard) tighten(now model.Instant, rd *Reading, wa *watch) []Action {
	if wa.step != Free && now.Sub(wa.changed) < stepEvery {
		return nil
	}
	kind, worst := "", harmful
	for _, kd := range rd.kinds {
		if slow := gu.ests.slowdown(rd.service, kd, rd.load); slow > worst {
			kind, worst = kd, slow
		}
	}
	if kind == "" {
		return nil
	}
	next := min(wa.step+1, Evicting)
	if next == Evicting && !gu.mayEvict(now, rd.batch) {
		return nil
	}
	if wa.step == Free {
		gu.apart[pair{rd.service, kind}]++
		wa.apart = kind
		wa.service = rd.service
	}
	wa.step, wa.kind, wa.changed, wa.calm = next, kind, now, 0
	return []Action{{worker: rd.worker, kind: kind, step: next}}
}

// mayEvict keeps evictions within evictPercent of the batch tasks, at least
// one, in each window.
func (gu *Guard) mayEvict(now model.Instant, batch int) bool {
	gu.evicted = slices.DeleteFunc(gu.evicted, func(at model.Instant) bool { return now.Sub(at) >= evictWindow })
	if len(gu.evicted) >= max(1, batch*evictPercent/100) {
		return false
	}
	gu.evicted = append(gu.evicted, now)
	return true
}

// relax takes one step back after a calm time.
func (gu *Guard) relax(now model.Instant, rd *Reading, wa *watch) []Action {
	if wa.step == Free || wa.service != rd.service {
		return nil
	}
	if wa.calm == 0 {
		wa.calm = now
	}
	if now.Sub(wa.calm) < calmFor {
		return nil
	}
	ac := Action{worker: rd.worker, kind: wa.kind, step: wa.step, revert: true}
	wa.step--
	wa.changed, wa.calm = now, now
	if wa.step == Free {
		pr := pair{rd.service, wa.apart}
		gu.apart[pr] = max(0, gu.apart[pr]-1)
	}
	return []Action{ac}
}

// Apart reports whether tasks of the kind are to be placed away from the
// service.
func (gu *Guard) Apart(service model.ServiceID, kind string) bool {
	return gu.apart[pair{service, kind}] > 0
}

// StepOf returns the step of a worker.
func (gu *Guard) StepOf(worker model.WorkerID) Step {
	if wa, ok := gu.watches[worker]; ok {
		return wa.step
	}
	return Free
}

// Slowdown returns the lower bound of the estimated slowdown of a service by a
// kind at a load, 0 while it is not known.
func (gu *Guard) Slowdown(service model.ServiceID, kind string, load float64) float64 {
	return gu.ests.slowdown(service, kind, load)
}

// Dismiss drops the steps of a worker that was removed or that no longer
// serves. What was learned stays.
func (gu *Guard) Dismiss(worker model.WorkerID) {
	if wa, ok := gu.watches[worker]; ok && wa.step != Free {
		pr := pair{wa.service, wa.apart}
		gu.apart[pr] = max(0, gu.apart[pr]-1)
	}
	delete(gu.watches, worker)
}
