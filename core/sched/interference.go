package sched

import (
	"slices"
	"time"

	"guavarail/core/event"
	"guavarail/core/guard"
	"guavarail/core/model"
)

// servedFor is how long after its last reading a service counts as present on
// a worker.
const servedFor = 10 * time.Second

// served is a service on a worker.
type served struct {
	service model.ServiceID
	at      model.Instant
}

// protect takes in the tail latency of a service and carries out what the
// guard asks for.
func (pl *Planner[P]) protect(now model.Instant, spec TailSpec) {
	_, slot, ok := pl.st.worker(spec.Worker)
	if !ok || !pl.leads(now) || !pl.env.Preset.Guards() {
		return
	}
	wst := pl.ensure(slot)
	wst.serves = slices.DeleteFunc(wst.serves, func(se served) bool { return se.service == spec.Service })
	wst.serves = append(wst.serves, served{service: spec.Service, at: now})
	target := pl.env.Preset.Service(spec.Service).TailTarget()
	rd := guard.NewReading(spec.Worker, spec.Service, spec.Tail, target, spec.Load, batchKinds(wst), pl.batch)
	for _, ac := range pl.guard.Step(now, rd) {
		pl.act(now, slot, ac)
	}
}

// forgetServices ends the steps on workers without a recent reading, such as
// when a backend server left.
func (pl *Planner[P]) forgetServices(now model.Instant) {
	for slot := range pl.statuses {
		wst := &pl.statuses[slot]
		if len(wst.serves) == 0 {
			continue
		}
		wst.serves = slices.DeleteFunc(wst.serves, func(se served) bool { return now.Sub(se.at) > servedFor })
		if len(wst.serves) > 0 {
			continue
		}
		pl.guard.Dismiss(pl.st.workers[slot].id)
		for i := range wst.lives {
			wst.lives[i].slow = false
		}
	}
}

// batchKinds returns the different kinds of batch tasks that run.
func batchKinds(wst *workerStatus) []string {
	var out []string
	for i := range wst.lives {
		lv := &wst.lives[i]
		if spec := &lv.ref.job.spec; spec.Priority == model.Batch && lv.listed && !slices.Contains(out, spec.Kind) {
			out = append(out, spec.Kind)
		}
	}
	return out
}

func (pl *Planner[P]) act(now model.Instant, slot int32, ac guard.Action) {
	what := ac.Step().String()
	if ac.Revert() {
		what = "reverted"
	}
	pl.note("interference", event.Subject{Worker: ac.Worker()},
		event.NewField("kind", ac.Kind()), event.NewField("step", what))
	wst := &pl.statuses[slot]
	for i := range wst.lives {
		lv := &wst.lives[i]
		if lv.ref.job.spec.Kind != ac.Kind() || !anyBatch(lv) {
			continue
		}
		if ac.Step() == guard.Throttled {
			lv.slow = !ac.Revert()
		}
		if ac.Step() == guard.Evicting && !ac.Revert() {
			pl.relief = append(pl.relief, Evict(lv.ref.id(), lv.attempt, ReasonInterference))
			break
		}
	}
	pl.answer(now, slot, false)
}

// harms reports whether a batch task of the kind is to be kept away from the
// worker because of a service there.
func (pl *Planner[P]) harms(slot int32, kind string) bool {
	for _, se := range pl.statuses[slot].serves {
		if pl.guard.Apart(se.service, kind) {
			return true
		}
	}
	return false
}
