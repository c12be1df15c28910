package sched

import (
	"slices"
	"time"

	"guavarail/core/event"
	"guavarail/core/guard"
	"guavarail/core/model"
)

// serviceTimeout is how long after its last reading a service counts as present on
// a worker.
const serviceTimeout = 10 * time.Second

// serviceReading is a service on a worker.
type serviceReading struct {
	service model.ServiceID
	at      model.Instant
}

// handleTail takes in the tail latency of a service and carries out what the
// guard asks for.
func (pl *Planner[P]) handleTail(now model.Instant, spec TailSpec) {
	_, slot, ok := pl.st.worker(spec.Worker)
	if !ok || !pl.holdsLeaderLease(now) || !pl.env.Preset.Guards() {
		return
	}
	wst := pl.ensureStatus(slot)
	wst.services = slices.DeleteFunc(wst.services, func(sr serviceReading) bool { return sr.service == spec.Service })
	wst.services = append(wst.services, serviceReading{service: spec.Service, at: now})
	target := pl.env.Preset.Service(spec.Service).TailTarget()
	rd := guard.NewReading(spec.Worker, spec.Service, spec.Tail, target, spec.Load, batchKinds(wst), pl.batchAttempts)
	for _, ac := range pl.guard.Step(now, rd) {
		pl.applyGuardAction(now, slot, ac)
	}
}

// expireServices ends the steps on workers without a recent reading, such as
// when a backend server left.
func (pl *Planner[P]) expireServices(now model.Instant) {
	for slot := range pl.statuses {
		wst := &pl.statuses[slot]
		if len(wst.services) == 0 {
			continue
		}
		wst.services = slices.DeleteFunc(wst.services, func(sr serviceReading) bool { return now.Sub(sr.at) > serviceTimeout })
		if len(wst.services) > 0 {
			continue
		}
		pl.guard.Dismiss(pl.st.workers[slot].id)
		for i := range wst.attempts {
			wst.attempts[i].throttleForService = false
		}
	}
}

// batchKinds returns the different kinds of batch tasks that run.
func batchKinds(wst *workerStatus) []string {
	var out []string
	for i := range wst.attempts {
		lv := &wst.attempts[i]
		if spec := &lv.ref.job.spec; spec.Priority == model.Batch && lv.reportedRunning && !slices.Contains(out, spec.Kind) {
			out = append(out, spec.Kind)
		}
	}
	return out
}

func (pl *Planner[P]) applyGuardAction(now model.Instant, slot int32, ac guard.Action) {
	what := ac.Step().String()
	if ac.Revert() {
		what = "reverted"
	}
	pl.emit("interference", event.Subject{Worker: ac.Worker()},
		event.NewField("kind", ac.Kind()), event.NewField("step", what))
	wst := &pl.statuses[slot]
	for i := range wst.attempts {
		lv := &wst.attempts[i]
		if lv.ref.job.spec.Kind != ac.Kind() || !evictable(lv) {
			continue
		}
		if ac.Step() == guard.Throttled {
			lv.throttleForService = !ac.Revert()
		}
		if ac.Step() == guard.Evicting && !ac.Revert() {
			pl.guardEvictions = append(pl.guardEvictions, Evict(lv.ref.id(), lv.attempt, ReasonInterference))
			break
		}
	}
	pl.answerPoll(now, slot, false)
}

// interferes reports whether a batch task of the kind is to be kept away from the
// worker because of a service there.
func (pl *Planner[P]) interferes(slot int32, kind string) bool {
	for _, sr := range pl.statuses[slot].services {
		if pl.guard.Apart(sr.service, kind) {
			return true
		}
	}
	return false
}
