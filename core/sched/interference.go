package sched

import (
	"slices"
	"time"

	"guavarail/core/event"
	"guavarail/core/guard"
	"guavarail/core/model"
)

// serviceTimeout is how long after the last measurement of its tail latency a
// service counts as present on a worker.
const serviceTimeout = 10 * time.Second

// measuredService is a service on a worker and the time of the last measurement
// of its tail latency.
type measuredService struct {
	service model.ServiceID
	at      model.Instant
}

// handleTailLatency passes the tail latency of a service to the guard and
// carries out the guard's actions.
func (pl *Planner[P]) handleTailLatency(now model.Instant, spec TailLatencySpec) {
	_, idx, ok := pl.st.worker(spec.Worker)
	if !ok || !pl.holdsLeaderLease(now) || !pl.lastTick.Preset.Guards() {
		return
	}
	wst := pl.ensureStatus(idx)
	wst.services = slices.DeleteFunc(wst.services, func(sr measuredService) bool { return sr.service == spec.Service })
	wst.services = append(wst.services, measuredService{service: spec.Service, at: now})
	target := pl.lastTick.Preset.Service(spec.Service).TailTarget()
	tl := guard.NewTailLatency(spec.Worker, spec.Service, spec.Tail, target, spec.Load, batchKinds(wst), pl.batchAttempts)
	for _, ac := range pl.guard.Step(now, tl) {
		pl.applyGuardAction(now, idx, ac)
	}
}

// expireServices removes services without a measurement within serviceTimeout,
// for example after a backend server left. On a worker whose last service was
// removed it resets the guard and ends throttling.
func (pl *Planner[P]) expireServices(now model.Instant) {
	for idx := range pl.statuses {
		wst := &pl.statuses[idx]
		if len(wst.services) == 0 {
			continue
		}
		wst.services = slices.DeleteFunc(wst.services, func(sr measuredService) bool { return now.Sub(sr.at) > serviceTimeout })
		if len(wst.services) > 0 {
			continue
		}
		pl.guard.ResetWorker(pl.st.workers[idx].id)
		for i := range wst.attempts {
			wst.attempts[i].throttleForService = false
		}
	}
}

// batchKinds returns the distinct kinds of the batch attempts that run on the
// worker.
func batchKinds(wst *workerStatus) []string {
	var out []string
	for i := range wst.attempts {
		la := &wst.attempts[i]
		if spec := &la.ref.job.spec; spec.Priority == model.Batch && la.reportedRunning && !slices.Contains(out, spec.Kind) {
			out = append(out, spec.Kind)
		}
	}
	return out
}

func (pl *Planner[P]) applyGuardAction(now model.Instant, idx int32, ac guard.Action) {
	what := ac.Step().String()
	if ac.Revert() {
		what = "reverted"
	}
	pl.emit("interference", event.Subject{Worker: ac.Worker()},
		event.NewField("kind", ac.Kind()), event.NewField("step", what))
	wst := &pl.statuses[idx]
	for i := range wst.attempts {
		la := &wst.attempts[i]
		if la.ref.job.spec.Kind != ac.Kind() || !evictable(la) {
			continue
		}
		if ac.Step() == guard.Throttled {
			la.throttleForService = !ac.Revert()
		}
		if ac.Step() == guard.Evicting && !ac.Revert() {
			pl.guardEvictions = append(pl.guardEvictions, Evict(la.ref.id(), la.attempt, ReasonInterference))
			break
		}
	}
	pl.answerPoll(now, idx, false)
}

// interferes reports whether batch tasks of the kind must not be placed on the
// worker because they slow a service there.
func (pl *Planner[P]) interferes(idx int32, kind string) bool {
	for _, sr := range pl.statuses[idx].services {
		if pl.guard.MustSeparate(sr.service, kind) {
			return true
		}
	}
	return false
}
