package shed

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// refreshInterval is how long a forecast is used. Jobs that are accepted meanwhile
	// are added to it.
	refreshInterval = 400 * time.Millisecond
	// maxLateFactor is the multiple of its objective up to which a late result is of use.
	maxLateFactor = 3.0
	// appearTimeout is how long an accepted job counts that is not in the view yet.
	appearTimeout = time.Second
)

// Controller decides which jobs to accept. The zero value is ready to use and knows
// nothing.
type Controller struct {
	services map[model.ServiceID]*service
	// order has the services in the order of their first workers.
	order   []*service
	quotas  map[model.WorkspaceID]*quota
	builtAt model.Instant
	// recent are the accepted jobs that the view may not have yet.
	recent []recentJob
	// kinds has the distribution of the work of jobs by Job.Kind.
	kinds   map[string]*sizes
	turns   map[turnKey]*turns
	returns map[turnKey]*returns
	refused refusals
}

// recentJob is an accepted job and the time of its acceptance.
type recentJob struct {
	job Job
	at  model.Instant
}

// Decide decides whether to accept a job. The caller submits it if it is accepted. view
// returns the present view. It is called when the forecast is made again, and the view must
// not change until the next call.
func (co *Controller) Decide(now model.Instant, view func() *View, jo Job) Decision {
	if co.builtAt == 0 || now.Sub(co.builtAt) >= refreshInterval {
		co.refresh(now, view())
	}
	de := Decision{class: getOrAdd(&co.kinds, jo.Kind).classify(jo.Work)}
	tu := getOrAdd(&co.turns, jo.turnKey())
	if sv := co.services[jo.Service]; sv != nil && jo.judgeable() {
		co.judge(now, sv, &jo, tu, &de)
	} else {
		de.reason = Unjudged
	}
	tu.count(now, &jo, de)
	if de.Accepted() {
		co.refused.remove(jo.ID)
		co.recent = append(co.recent, recentJob{job: jo, at: now})
	}
	return de
}

// judge decides about a job by the forecast.
func (co *Controller) judge(now model.Instant, sv *service, jo *Job, tu *turns, de *Decision) {
	since := now.Sub(co.builtAt)
	own := *jo
	own.Left += since
	en := entry{job: &own, filler: jo.filler()}
	ro := sv.roomFor(&en)
	var taken room
	en.end, en.known = sv.place(&ro, &taken, co.quotas[own.Workspace], &own, since.Seconds())
	if !en.known {
		de.reason = Unjudged
		return
	}
	de.end = duration(en.end) - since
	work := taken.workUntil(horizon, true)
	num, wait := sv.displaces(&en, work)
	switch late := en.end - own.Left.Seconds(); {
	case late > 0 && !sv.feasible(jo, co.quotas[own.Workspace]):
		de.reason = Unjudged
	case late > 0 && num == 0 && co.refused.lastReturn(jo.ID) && en.end <= maxLateFactor*own.Left.Seconds():
		de.reason = Returned
	case late > 0 && sv.unlimitedOnTime(&en, since):
		de.reason, wait = OverQuota, late
	case late > 0:
		de.reason, wait = TooLate, late
	case num > 0:
		de.reason = Displaces
	case tu.yields(now, jo, de.class):
		de.reason, wait = Turn, 0
	}
	if !de.Accepted() {
		booked := getOrAdd(&co.returns, jo.turnKey()).book(now, wait, work, sv.rate())
		de.retryAfter = max(booked, backOff(co.refused.add(now, jo.ID)))
		return
	}
	sv.accept(&en, work, &taken, &ro)
	co.quotas[own.Workspace].take(&taken)
}

// refresh makes the forecast from a view.
func (co *Controller) refresh(now model.Instant, vi *View) {
	co.builtAt = now
	co.addWorkers(vi)
	for _, sv := range co.order {
		sv.resetFree()
	}
	for i := range vi.Full {
		if sv := co.services[vi.Full[i].Service]; sv != nil {
			sv.recordFull(&vi.Full[i])
		}
	}
	keys := slices.SortedFunc(maps.Keys(co.turns), func(a, b turnKey) int {
		return cmp.Or(cmp.Compare(a.service, b.service), cmp.Compare(a.priority, b.priority))
	})
	for _, key := range keys {
		if sv := co.services[key.service]; sv != nil {
			sv.arrivals = append(sv.arrivals, co.turns[key].arrivals(now, key.priority)...)
		}
	}
	co.addRuns(vi)
	co.addJobs(now, vi)
	for _, sv := range co.order {
		sv.holds.takeFrom(&sv.free)
		sv.schedule(co.quotas)
	}
}

// addWorkers begins the forecast for the services that have workers.
func (co *Controller) addWorkers(vi *View) {
	former := co.services
	co.services, co.order = map[model.ServiceID]*service{}, co.order[:0]
	var sv *service
	var name model.ServiceID
	for i := range vi.Workers {
		wk := &vi.Workers[i]
		if sv == nil || wk.Service != name {
			name, sv = wk.Service, co.services[wk.Service]
			if sv == nil {
				sv = former[name].reuse()
				co.services[name] = sv
				co.order = append(co.order, sv)
			}
		}
		sv.addWorker(wk)
	}
}

// addRuns adds the runs, and the quotas of which they use a part.
func (co *Controller) addRuns(vi *View) {
	co.quotas = nil
	for id, total := range vi.Quotas {
		if co.quotas == nil {
			co.quotas = map[model.WorkspaceID]*quota{}
		}
		co.quotas[id] = newQuota(total)
	}
	var sv *service
	var name model.ServiceID
	for i := range vi.Runs {
		ru := &vi.Runs[i]
		if sv == nil || ru.Service != name {
			name, sv = ru.Service, co.services[ru.Service]
		}
		until := horizon
		if ru.After >= 0 {
			until = ru.After.Seconds()
		}
		if sv != nil && !ru.Pinned {
			sv.holds.add(until, ru)
		}
		if qu := co.quotas[ru.Workspace]; qu != nil {
			qu.takeRun(until, ru)
		}
	}
	for _, qu := range co.quotas {
		qu.settle()
	}
}

// addJobs adds the accepted jobs, with those that the view does not have yet.
func (co *Controller) addJobs(now model.Instant, vi *View) {
	missing := map[model.JobID]bool{}
	for i := range co.recent {
		missing[co.recent[i].job.ID] = true
	}
	add := func(jo *Job) {
		if sv := co.services[jo.Service]; sv != nil && jo.judgeable() {
			sv.entries = append(sv.entries, entry{job: jo, filler: jo.filler()})
		}
	}
	for i := range vi.Jobs {
		delete(missing, vi.Jobs[i].ID)
		add(&vi.Jobs[i])
	}
	kept := co.recent[:0]
	for _, rj := range co.recent {
		if missing[rj.job.ID] && now.Sub(rj.at) < appearTimeout {
			kept = append(kept, rj)
			jo := rj.job
			jo.Left -= now.Sub(rj.at)
			add(&jo)
		}
	}
	clear(co.recent[len(kept):])
	co.recent = kept
}

// getOrAdd returns the value of a key, after adding a zero value if there is none.
func getOrAdd[K comparable, V any](all *map[K]*V, key K) *V {
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
