package route

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

const (
	// A retry costs retryCost and each arrival pays 1 back, which bounds
	// retries to 10% of requests; retryBound allows a burst of 10.
	retryCost  = 10
	retryBound = 100

	// retryAfterSpread spreads callers that were rejected together over 1 to 3 s.
	retryAfterSpread = 3
)

func (mac *Machine[K, C]) arrive(now model.Instant, msg Arrive[K]) {
	if mac.requests[msg.key] != nil {
		return
	}
	en := &entry[K]{key: msg.key, spec: msg.spec}
	longest := mac.preset.MaxRequest()
	en.until = now.Add(longest)
	en.deadline = now.Add(min(orDefault(msg.spec.Timeout, mac.preset.Deadline()), longest))
	sv := mac.services[msg.spec.Service]
	switch {
	case mac.stopping:
		mac.reject(en, Stopping)
	case mac.declines(msg.spec):
		mac.decline(en, OutOfService)
	case sv == nil || !sv.anyAlive(now):
		mac.decline(en, NoBackend)
	case sv.tooLate(now, en):
		mac.reject(en, TooLate)
	default:
		en.service = sv
		sv.retried = max(sv.retried-1, 0)
		mac.admit(now, en)
	}
}

// declines decides whether a request goes to another data centre. While this
// one returns to service, it takes every request that was forwarded here,
// because such a request has nowhere else to go.
func (mac *Machine[K, C]) declines(spec RequestSpec) bool {
	if spec.Forwarded && mac.declined < 100 {
		return false
	}
	return mac.declined > 0 && mac.rnd.Below(100) < mac.declined
}

func (mac *Machine[K, C]) admit(now model.Instant, en *entry[K]) {
	sv := en.service
	if sv.queue.size == 0 {
		if se := mac.pick(now, sv, nil); se != nil {
			mac.requests[en.key] = en
			en.caller = sv.queue.caller(en.spec.Caller)
			mac.assign(now, en, se)
			return
		}
	}
	if sv.queue.size >= max(sv.credits(now), 1)*mac.preset.QueuePerSlot() && !mac.makeRoom(en) {
		return
	}
	mac.requests[en.key] = en
	sv.queue.push(en)
	mac.pump(now, sv)
}

// makeRoom drops a request of the caller with the longest queue in favour of a
// caller with fewer waiting requests, or rejects en.
func (mac *Machine[K, C]) makeRoom(en *entry[K]) bool {
	qu := &en.service.queue
	most, own := qu.longest(), 0
	if ca := qu.callers[en.spec.Caller]; ca != nil {
		own = len(ca.waiting)
	}
	if most != nil && len(most.waiting) > own+1 {
		out := most.last()
		qu.drop(out)
		delete(mac.requests, out.key)
		mac.reject(out, OverShare)
		return true
	}
	if len(qu.turn) > 1 && most != nil && len(most.waiting) == own {
		mac.reject(en, OverShare)
	} else {
		mac.reject(en, QueueFull)
	}
	return false
}

// reject answers en as not run. It must not be dispatched.
func (mac *Machine[K, C]) reject(en *entry[K], re Reason) {
	after := time.Duration(1+mac.rnd.Below(retryAfterSpread)) * time.Second
	mac.emit(Reject[K]{key: en.key, reason: re, retryAfter: after})
}

// decline sends en to another data centre if the preset allows it.
func (mac *Machine[K, C]) decline(en *entry[K], re Reason) {
	if mac.preset.Forward() && !en.spec.Forwarded {
		mac.emit(Forward[K]{key: en.key, reason: re, deadline: en.deadline, until: en.until})
		return
	}
	mac.reject(en, re)
}

// pick chooses a server with a free slot, another one than avoid if there is
// one.
func (mac *Machine[K, C]) pick(now model.Instant, sv *service[K], avoid *server) *server {
	for len(sv.free) > 0 {
		pos := mac.cfg.Chooser.Choose(&mac.rnd, Candidates{servers: sv.free, now: now})
		if sv.free[pos] == avoid && len(sv.free) > 1 {
			pos = (pos + 1) % len(sv.free)
		}
		se := sv.free[pos]
		if se.usable(now) {
			return se
		}
		sv.refresh(now, se)
	}
	return nil
}

// pump dispatches waiting requests while there are free slots.
func (mac *Machine[K, C]) pump(now model.Instant, sv *service[K]) {
	for sv.queue.size > 0 {
		se := mac.pick(now, sv, nil)
		if se == nil {
			return
		}
		en := sv.queue.pop(sv.quantum(now))
		if sv.tooLate(now, en) {
			delete(mac.requests, en.key)
			mac.reject(en, TooLate)
			continue
		}
		if se == en.avoid {
			se = mac.pick(now, sv, en.avoid)
		}
		mac.assign(now, en, se)
	}
}

func (mac *Machine[K, C]) assign(now model.Instant, en *entry[K], se *server) {
	sv := en.service
	en.phase, en.server, en.worker, en.since = dispatched, se, se.worker, now
	en.attempt++
	en.caller = sv.queue.caller(en.spec.Caller)
	en.caller.active++
	en.charged = sv.quantum(now)
	en.caller.charge(en.charged, en.charged)
	se.inFlight++
	se.worker.inUse++
	sv.running++
	mac.refreshWorker(now, se.worker)
	mac.emit(Dispatch[K]{
		key: en.key, backend: se.backend, attempt: en.attempt, deadline: en.deadline, until: en.until,
	})
}

// vacate gives back the slot of en.
func (mac *Machine[K, C]) vacate(now model.Instant, en *entry[K]) {
	sv, se := en.service, en.server
	held := now.Sub(en.since)
	en.caller.charge(held-en.charged, sv.quantum(now))
	en.caller.active--
	sv.queue.forget(en.caller)
	sv.running--
	se.inFlight--
	en.worker.inUse--
	if se.leaving && se.inFlight == 0 {
		mac.remove(se)
	}
	mac.refreshWorker(now, en.worker)
}

// release ends en and gives its slot to the next request.
func (mac *Machine[K, C]) release(now model.Instant, en *entry[K]) {
	mac.vacate(now, en)
	delete(mac.requests, en.key)
	mac.pump(now, en.service)
	for _, se := range en.worker.servers {
		if sv := mac.services[se.backend.Service()]; sv != en.service {
			mac.pump(now, sv)
		}
	}
}

func (mac *Machine[K, C]) unsent(now model.Instant, key K) {
	en := mac.requests[key]
	if en == nil || en.phase != dispatched {
		return
	}
	sv := en.service
	en.avoid = en.server
	mac.judge(now, en, false)
	mac.vacate(now, en)
	if sv.retried+retryCost > retryBound {
		delete(mac.requests, key)
		mac.reject(en, RetriesSpent)
	} else {
		sv.retried += retryCost
		en.phase = waiting
		sv.queue.push(en)
	}
	mac.pump(now, sv)
}

func (mac *Machine[K, C]) cancel(now model.Instant, key K) {
	en := mac.requests[key]
	if en == nil {
		return
	}
	switch en.phase {
	case waiting:
		en.service.queue.drop(en)
		delete(mac.requests, key)
		mac.reject(en, Withdrawn)
	case dispatched:
		mac.release(now, en)
	}
}

func (mac *Machine[K, C]) done(now model.Instant, msg Done[K]) {
	en := mac.requests[msg.key]
	if en == nil || (en.phase != dispatched && en.phase != sent) {
		return
	}
	held := now.Sub(en.since)
	switch msg.outcome {
	case Answered:
		en.service.hold.add(now, held)
		en.server.latency.add(now, held)
		en.server.tail.add(held)
		mac.judge(now, en, true)
	case Expired:
		en.server.latency.add(now, held)
		en.server.tail.add(held)
		mac.judge(now, en, false)
	case NotRun, Failed:
		mac.judge(now, en, false)
	}
	if msg.outcome == Failed || msg.outcome == Expired {
		mac.note("requestUnknown", event.Subject{Backend: en.server.backend.ID(), Worker: en.worker.id},
			event.NewField("outcome", msg.outcome.String()), event.NewField("idempotent", yesNo(en.spec.Idempotent)))
	}
	if !mac.cfg.FreeExpired && (msg.outcome == Expired || msg.outcome == Cancelled) {
		en.phase = lingering
		return
	}
	mac.release(now, en)
}

// judge records whether the server of en worked.
func (mac *Machine[K, C]) judge(now model.Instant, en *entry[K], ok bool) {
	se := en.server
	if en.service.result(now, se, ok) {
		en.service.refresh(now, se)
		mac.note("backendEjected", event.Subject{Backend: se.backend.ID(), Worker: se.worker.id},
			event.NewField("seconds", se.ejectedUntil.Sub(now).String()))
	}
}

func orDefault(dur, def time.Duration) time.Duration {
	if dur == 0 {
		return def
	}
	return dur
}

func yesNo(val bool) string {
	if val {
		return "yes"
	}
	return "no"
}

// anyAlive reports whether a server of the service takes requests.
func (sv *service[K]) anyAlive(now model.Instant) bool {
	if len(sv.free) > 0 && sv.free[0].alive(now) {
		return true
	}
	for _, se := range sv.servers {
		if se.alive(now) {
			return true
		}
	}
	return false
}

// tooLate reports whether en cannot meet its deadline any more. It counts on
// half the mean slot time, since most requests are shorter than the mean. While
// nothing runs there is no estimate to trust, so a request probes.
func (sv *service[K]) tooLate(now model.Instant, en *entry[K]) bool {
	need := time.Duration(0)
	if sv.running > 0 {
		need = time.Duration(sv.hold.at(now, 0) / 2)
	}
	return !now.Add(need).Before(en.deadline)
}

// quantum is the slot time that a caller may use in one round.
func (sv *service[K]) quantum(now model.Instant) time.Duration {
	return time.Duration(sv.hold.at(now, float64(time.Millisecond)))
}
