package shed

import (
	"time"

	"guavarail/core/model"
)

const (
	// refreshInterval is how long a forecast is used. Jobs that are accepted meanwhile
	// are added to it.
	refreshInterval = 200 * time.Millisecond
	// appearTimeout is how long an accepted job is counted that the view does not have.
	appearTimeout = time.Second
	// lateTolerance is the part of its objective by which a job must be expected to miss
	// it to be refused, because run times are declared wrong by half and more.
	lateTolerance = 0.1
)

// Controller decides which jobs to accept. The zero value is ready to use and knows
// nothing.
type Controller struct {
	services map[model.ServiceID]*service
	builtAt  model.Instant
	// recent are the accepted jobs that the view may not have yet.
	recent  []recentJob
	kinds   map[string]*sizes
	turns   map[turnKey]*turns
	returns map[turnKey]*returns
}

// recentJob is a job that was accepted at a time.
type recentJob struct {
	job Job
	at  model.Instant
}

// Decide decides whether to accept a job. The caller submits it if it is accepted. look
// returns the present view; it is called when the forecast is to be made again.
func (co *Controller) Decide(now model.Instant, look func() View, jo Job) Decision {
	if co.builtAt == 0 || now.Sub(co.builtAt) >= refreshInterval {
		vi := look()
		co.refresh(now, &vi)
	}
	de := Decision{class: co.sizesOf(jo.Kind).classify(jo.Work)}
	key := turnKey{service: jo.Service, priority: jo.Priority}
	tu := entryOf(&co.turns, key)
	if sv := co.services[jo.Service]; sv != nil && jo.judgeable() {
		co.judge(now, sv, &jo, tu, &de)
	} else {
		de.reason = Unjudged
	}
	tu.count(now, &jo, de)
	if de.Accepted() {
		co.recent = append(co.recent, recentJob{job: jo, at: now})
	}
	return de
}

// judge decides about a job by the forecast.
func (co *Controller) judge(now model.Instant, sv *service, jo *Job, tu *turns, de *Decision) {
	since := now.Sub(co.builtAt)
	left := (jo.Left + since).Seconds()
	ro := sv.roomFor(jo)
	var taken room
	end, ok := sv.place(&ro, &taken, jo, since.Seconds())
	if !ok {
		de.reason = Unjudged
		return
	}
	de.end = duration(end) - since
	num, wait := sv.displaces(jo, end, jo.Work)
	switch late := end - left; {
	case late > lateTolerance*jo.Left.Seconds():
		if !sv.feasible(jo) {
			de.reason = Unjudged
			break
		}
		de.reason, wait = TooLate, late
	case num > 0:
		de.reason = Displaces
	case tu.yields(now, jo, de.class):
		de.reason, wait = Turn, 0
	}
	if de.Accepted() {
		sv.accept(jo, end, jo.Left+since, &taken, &ro)
		return
	}
	key := turnKey{service: jo.Service, priority: jo.Priority}
	de.retryAfter = entryOf(&co.returns, key).book(now, wait, jo.Work, sv.total.cpu/1000)
}

// feasible reports whether the job could end in its objective if there were no others.
func (sv *service) feasible(jo *Job) bool {
	var ro room
	for i := range spanCount {
		ro.cpu[i], ro.memory[i], ro.idle[i] = float32(sv.total.cpu), float32(sv.total.memory), float32(sv.total.idle)
	}
	end, ok := sv.place(&ro, nil, jo, 0)
	return ok && end <= jo.Left.Seconds()
}

// refresh makes the forecast from a view.
func (co *Controller) refresh(now model.Instant, vi *View) {
	co.builtAt = now
	former := co.services
	co.services = map[model.ServiceID]*service{}
	for i := range vi.Workers {
		wk := &vi.Workers[i]
		sv, ok := co.services[wk.Service]
		if !ok {
			sv = former[wk.Service].reuse()
			co.services[wk.Service] = sv
		}
		sv.addWorker(wk)
	}
	for name, sv := range co.services {
		sv.open()
		if limit, ok := vi.FillerMilliCPU[name]; ok {
			sv.limitFillers(limit)
		}
	}
	for i := range vi.Runs {
		ru := &vi.Runs[i]
		if sv := co.services[ru.Service]; sv != nil {
			until := horizon
			if ru.After >= 0 {
				until = ru.After.Seconds()
			}
			sv.free.takeUntil(until, ru)
		}
	}
	co.addJobs(now, vi)
	for _, sv := range co.services {
		sv.schedule()
	}
}

// addJobs adds the accepted jobs, with those that the view does not have yet.
func (co *Controller) addJobs(now model.Instant, vi *View) {
	missing := map[model.JobID]bool{}
	for i := range co.recent {
		missing[co.recent[i].job.ID] = true
	}
	add := func(jo Job) {
		if sv := co.services[jo.Service]; sv != nil && jo.judgeable() {
			sv.entries = append(sv.entries, entry{job: &jo})
		}
	}
	for i := range vi.Jobs {
		delete(missing, vi.Jobs[i].ID)
		add(vi.Jobs[i])
	}
	kept := co.recent[:0]
	for _, rj := range co.recent {
		if missing[rj.job.ID] && now.Sub(rj.at) < appearTimeout {
			kept = append(kept, rj)
			jo := rj.job
			jo.Left -= now.Sub(rj.at)
			add(jo)
		}
	}
	clear(co.recent[len(kept):])
	co.recent = kept
}

// reuse returns an empty service that uses the buffers of sv, which may be nil.
func (sv *service) reuse() *service {
	out := &service{places: map[shape]float64{}}
	if sv != nil {
		clear(sv.places)
		clear(sv.entries)
		out.places, out.workers, out.entries, out.before, out.added = sv.places, sv.workers[:0], sv.entries[:0], sv.before[:0], sv.added[:0]
	}
	return out
}

func (co *Controller) sizesOf(kind string) *sizes { return entryOf(&co.kinds, kind) }

// entryOf returns the value of a key, and adds a zero value if there is none.
func entryOf[K comparable, V any](all *map[K]*V, key K) *V {
	val, ok := (*all)[key]
	if !ok {
		if *all == nil {
			*all = map[K]*V{}
		}
		val = new(V)
		(*all)[key] = val
	}
	return val
}
