// Package guard keeps the tail latency of services within its target while
// batch tasks share their workers. It estimates how much each kind of batch
// task (JobSpec.Kind in package sched) slows each service and, step by step,
// takes stronger measures until the target is met: separate placement,
// throttling, then eviction with a checkpoint. Once the tail latency is low
// again, it reverts the steps one by one.
package guard

import (
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// minHarmfulSlowdown is the estimated slowdown above which the guard acts
	// against a kind; 0.1 means a tail latency 10% above the baseline, which is
	// the tail latency without batch tasks.
	minHarmfulSlowdown = 0.1
	// stepInterval is the minimum time between two steps on one worker; usage
	// reports are delayed, so the effect of a step is not visible at once.
	stepInterval = 5 * time.Second
	// revertDelay is how long the tail latency must stay below
	// revertBelowPercent of the target before a step is reverted.
	revertDelay        = 30 * time.Second
	revertBelowPercent = 80
	// evictPercent bounds the percentage of the data centre's batch tasks that
	// are evicted within evictWindow.
	evictPercent = 5
	evictWindow  = 30 * time.Second
)

// Step is the measure in force against the batch tasks of a worker.
type Step uint8

// The steps, mildest first.
const (
	// Free: batch tasks are not restricted.
	Free Step = iota
	// Separated: no further tasks of the kind are placed on the service's
	// workers.
	Separated
	// Throttled: running tasks of the kind are limited to their commitment.
	Throttled
	// Evicting: tasks of the kind are evicted one by one.
	Evicting
)

var stepNames = [...]string{"free", "separated", "throttled", "evicting"}

// String returns the name used in the API.
func (st Step) String() string { return stepNames[st] }

// TailLatency is one measurement of the tail latency of a service on a worker.
type TailLatency struct {
	worker       model.WorkerID
	service      model.ServiceID
	tail, target time.Duration
	load         float64
	kinds        []string
	batchTasks   int
}

// NewTailLatency returns a measurement. tail is the 99th percentile of the
// latency, target its limit. load is the fraction of the service's request
// slots on the worker that are in use, 0 to 1, kinds are the distinct kinds of
// batch tasks that run on the worker, and batchTasks is the number of batch
// tasks in the data centre.
func NewTailLatency(worker model.WorkerID, service model.ServiceID, tail, target time.Duration, load float64, kinds []string, batchTasks int) TailLatency {
	return TailLatency{worker: worker, service: service, tail: tail, target: target, load: load, kinds: kinds, batchTasks: batchTasks}
}

// Action is a step that the caller takes or reverts on one worker.
type Action struct {
	worker model.WorkerID
	kind   string
	step   Step
	revert bool
}

// Worker returns the worker.
func (ac Action) Worker() model.WorkerID { return ac.worker }

// Kind returns the kind of batch task to act on. For a revert it is the kind of
// the last step taken, which may differ from that of the reverted step.
func (ac Action) Kind() string { return ac.kind }

// Step returns the step to take or revert.
func (ac Action) Step() Step { return ac.step }

// Revert reports whether the step is to be reverted.
func (ac Action) Revert() bool { return ac.revert }

// workerState is the step in force on one worker, with the kinds and the
// service that caused it.
type workerState struct {
	step Step
	// kind is the kind of batch task against which the last step was taken.
	kind string
	// separatedKind is the kind against which the first step, Separated, was
	// taken.
	separatedKind string
	// service is the service for which the first step was taken; only its
	// measurements revert steps.
	service model.ServiceID
	// steppedAt is the time of the last step or revert.
	steppedAt model.Instant
	// lowSince is the time since which the tail latency of service is below
	// revertBelowPercent of the target, or of the last revert if that is later;
	// 0 while it is not below.
	lowSince model.Instant
}

// servicePair is a service and a kind of batch task.
type servicePair struct {
	service model.ServiceID
	kind    string
}

// Guard is a model.Machine with measurements as inputs and actions as effects.
// The zero value is ready to use.
type Guard struct {
	estimates estimates
	workers   map[model.WorkerID]*workerState
	// separations counts the workers that require a pair to be placed
	// separately.
	separations map[servicePair]int
	// evicted has the times of the evictions within evictWindow.
	evicted []model.Instant
}

// Step handles a measurement and returns at most one action.
func (gu *Guard) Step(now model.Instant, tl TailLatency) []Action {
	gu.estimates.observe(now, &tl)
	ws, ok := gu.workers[tl.worker]
	if !ok {
		if gu.workers == nil {
			gu.workers, gu.separations = map[model.WorkerID]*workerState{}, map[servicePair]int{}
		}
		ws = &workerState{}
		gu.workers[tl.worker] = ws
	}
	if tl.tail*100 < tl.target*revertBelowPercent {
		return gu.stepDown(now, &tl, ws)
	}
	if ws.service == tl.service {
		ws.lowSince = 0
	}
	if tl.tail <= tl.target {
		return nil
	}
	return gu.stepUp(now, &tl, ws)
}

// stepUp takes the next step against the kind that slows the service most, if
// its slowdown exceeds minHarmfulSlowdown.
func (gu *Guard) stepUp(now model.Instant, tl *TailLatency, ws *workerState) []Action {
	if ws.step != Free && now.Sub(ws.steppedAt) < stepInterval {
		return nil
	}
	kind, worst := "", minHarmfulSlowdown
	for _, kd := range tl.kinds {
		if slow := gu.estimates.slowdown(tl.service, kd, tl.load); slow > worst {
			kind, worst = kd, slow
		}
	}
	if kind == "" {
		return nil
	}
	next := min(ws.step+1, Evicting)
	if next == Evicting && !gu.countEviction(now, tl.batchTasks) {
		return nil
	}
	if ws.step == Free {
		gu.separations[servicePair{tl.service, kind}]++
		ws.separatedKind = kind
		ws.service = tl.service
	}
	ws.step, ws.kind, ws.steppedAt, ws.lowSince = next, kind, now, 0
	return []Action{{worker: tl.worker, kind: kind, step: next}}
}

// countEviction reports whether one more eviction is within evictPercent of the
// batch tasks, at least one, in the window, and counts it if so.
func (gu *Guard) countEviction(now model.Instant, batch int) bool {
	gu.evicted = slices.DeleteFunc(gu.evicted, func(at model.Instant) bool { return now.Sub(at) >= evictWindow })
	if len(gu.evicted) >= max(1, batch*evictPercent/100) {
		return false
	}
	gu.evicted = append(gu.evicted, now)
	return true
}

// stepDown reverts one step after the tail latency has been low for
// revertDelay.
func (gu *Guard) stepDown(now model.Instant, tl *TailLatency, ws *workerState) []Action {
	if ws.step == Free || ws.service != tl.service {
		return nil
	}
	if ws.lowSince == 0 {
		ws.lowSince = now
	}
	if now.Sub(ws.lowSince) < revertDelay {
		return nil
	}
	ac := Action{worker: tl.worker, kind: ws.kind, step: ws.step, revert: true}
	ws.step--
	ws.steppedAt, ws.lowSince = now, now
	if ws.step == Free {
		pr := servicePair{tl.service, ws.separatedKind}
		gu.separations[pr] = max(0, gu.separations[pr]-1)
	}
	return []Action{ac}
}

// MustSeparate reports whether tasks of the kind must not be placed on workers
// of the service.
func (gu *Guard) MustSeparate(service model.ServiceID, kind string) bool {
	return gu.separations[servicePair{service, kind}] > 0
}

// StepOf returns the step in force on a worker.
func (gu *Guard) StepOf(worker model.WorkerID) Step {
	if ws, ok := gu.workers[worker]; ok {
		return ws.step
	}
	return Free
}

// Slowdown returns the lower bound of the estimated slowdown of a service by a
// kind at a load, 0 without enough samples.
func (gu *Guard) Slowdown(service model.ServiceID, kind string, load float64) float64 {
	return gu.estimates.slowdown(service, kind, load)
}

// ResetWorker discards the steps of a worker that was removed or no longer runs
// a service. The estimates are kept.
func (gu *Guard) ResetWorker(worker model.WorkerID) {
	if ws, ok := gu.workers[worker]; ok && ws.step != Free {
		pr := servicePair{ws.service, ws.separatedKind}
		gu.separations[pr] = max(0, gu.separations[pr]-1)
	}
	delete(gu.workers, worker)
}
