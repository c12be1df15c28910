package route

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

const (
	// The retry budget of a service is in tenths of a retry: a retry costs
	// retryCost and each accepted request pays 1 back, which limits retries to
	// 10% of requests. retryBudget allows a burst of 10 retries.
	retryCost   = 10
	retryBudget = 100

	// retryAfterSpreadSeconds spreads the retries of callers that were rejected
	// together over 1 to 3 s.
	retryAfterSpreadSeconds = 3
)

// arrive accepts, forwards or rejects a new request.
func (mac *Machine[K, C]) arrive(now model.Instant, msg Arrive[K]) {
	if mac.requests[msg.key] != nil {
		return
	}
	req := &request[K]{key: msg.key, spec: msg.spec}
	maxTime := mac.preset.MaxRequest()
	req.maxDeadline = now.Add(maxTime)
	req.deadline = now.Add(min(orDefault(msg.spec.Timeout, mac.preset.Deadline()), maxTime))
	sv := mac.services[msg.spec.Service]
	switch {
	case mac.stopping:
		mac.reject(req, Stopping)
	case mac.shouldDecline(msg.spec):
		mac.forwardOrReject(req, OutOfService)
	case sv == nil || !sv.anyAlive(now):
		mac.forwardOrReject(req, NoBackend)
	case sv.tooLate(now, req):
		mac.reject(req, TooLate)
	default:
		req.service = sv
		sv.retrySpent = max(sv.retrySpent-1, 0)
		mac.admit(now, req)
	}
}

// shouldDecline reports whether to forward or reject a request because the data
// centre accepts only a percentage of the requests. From 1 to 99 it is returning
// to service and accepts every request that another data centre sent here,
// because such a request is not forwarded again.
func (mac *Machine[K, C]) shouldDecline(spec RequestSpec) bool {
	if spec.Forwarded && mac.declinePercent < 100 {
		return false
	}
	return mac.declinePercent > 0 && mac.rnd.Below(100) < mac.declinePercent
}

// admit dispatches req if no request waits and a server has a free slot.
// Otherwise it queues req, or rejects it if the queue is full.
func (mac *Machine[K, C]) admit(now model.Instant, req *request[K]) {
	sv := req.service
	if sv.queue.size == 0 {
		if se := mac.pickServer(now, sv, nil); se != nil {
			mac.requests[req.key] = req
			req.caller = sv.queue.caller(req.spec.Caller)
			mac.dispatch(now, req, se)
			return
		}
	}
	if sv.queue.size >= max(sv.totalCredits(now), 1)*mac.preset.QueuePerSlot() && !mac.makeRoom(req) {
		return
	}
	mac.requests[req.key] = req
	sv.queue.push(req)
	mac.dispatchWaiting(now, sv)
}

// makeRoom makes room for req in a full queue. If the caller with the most
// waiting requests has at least two more than the caller of req, makeRoom rejects
// the one of its requests with the latest deadline and returns true. Otherwise it
// rejects req and returns false.
func (mac *Machine[K, C]) makeRoom(req *request[K]) bool {
	qu := &req.service.queue
	longest, own := qu.longestCaller(), 0
	if ca := qu.callers[req.spec.Caller]; ca != nil {
		own = len(ca.waiting)
	}
	if longest != nil && len(longest.waiting) > own+1 {
		victim := longest.latestDeadline()
		qu.remove(victim)
		delete(mac.requests, victim.key)
		mac.reject(victim, OverShare)
		return true
	}
	if len(qu.activeCallers) > 1 && longest != nil && len(longest.waiting) == own {
		mac.reject(req, OverShare)
	} else {
		mac.reject(req, QueueFull)
	}
	return false
}

// reject emits a Reject for req. No byte of req may have been sent.
func (mac *Machine[K, C]) reject(req *request[K], re Reason) {
	after := time.Duration(1+mac.rnd.Below(retryAfterSpreadSeconds)) * time.Second
	mac.emit(Reject[K]{key: req.key, reason: re, retryAfter: after})
}

// forwardOrReject forwards req to another data centre if the preset allows it
// and req was not forwarded before, and rejects it otherwise.
func (mac *Machine[K, C]) forwardOrReject(req *request[K], re Reason) {
	if mac.preset.Forward() && !req.spec.Forwarded {
		mac.emit(Forward[K]{key: req.key, reason: re, deadline: req.deadline, maxDeadline: req.maxDeadline})
		return
	}
	mac.reject(req, re)
}

// pickServer returns a server that can get a request now, or nil if there is
// none. It returns avoid, which may be nil, only if there is no other.
func (mac *Machine[K, C]) pickServer(now model.Instant, sv *service[K], avoid *server) *server {
	for len(sv.available) > 0 {
		idx := mac.cfg.Chooser.Choose(&mac.rnd, Candidates{servers: sv.available, now: now})
		if sv.available[idx] == avoid && len(sv.available) > 1 {
			idx = (idx + 1) % len(sv.available)
		}
		se := sv.available[idx]
		if se.usable(now) {
			return se
		}
		sv.updateAvailable(now, se)
	}
	return nil
}

// dispatchWaiting dispatches waiting requests of sv while a server can get one.
// It rejects those that can no longer meet their deadline.
func (mac *Machine[K, C]) dispatchWaiting(now model.Instant, sv *service[K]) {
	for sv.queue.size > 0 {
		se := mac.pickServer(now, sv, nil)
		if se == nil {
			return
		}
		req := sv.queue.pop(sv.quantum(now))
		if sv.tooLate(now, req) {
			delete(mac.requests, req.key)
			mac.reject(req, TooLate)
			continue
		}
		if se == req.failedServer {
			se = mac.pickServer(now, sv, req.failedServer)
		}
		mac.dispatch(now, req, se)
	}
}

// dispatch sends req to se, counts its slot as in use and charges its caller the
// mean slot time in advance.
func (mac *Machine[K, C]) dispatch(now model.Instant, req *request[K], se *server) {
	sv := req.service
	req.phase, req.server, req.worker, req.dispatchedAt = dispatched, se, se.worker, now
	req.attempt++
	req.caller = sv.queue.caller(req.spec.Caller)
	req.caller.inUse++
	req.chargedTime = sv.quantum(now)
	req.caller.charge(req.chargedTime, req.chargedTime)
	se.inUse++
	se.worker.inUse++
	sv.inUse++
	mac.refreshWorker(now, se.worker)
	mac.emit(Dispatch[K]{
		key: req.key, backend: se.backend, attempt: req.attempt, deadline: req.deadline, maxDeadline: req.maxDeadline,
	})
}

// freeSlot releases the slot of req and charges its caller the time for which
// the slot was held. It removes a leaving server that has no slot in use.
func (mac *Machine[K, C]) freeSlot(now model.Instant, req *request[K]) {
	sv, se := req.service, req.server
	held := now.Sub(req.dispatchedAt)
	req.caller.charge(held-req.chargedTime, sv.quantum(now))
	req.caller.inUse--
	sv.queue.removeIdle(req.caller)
	sv.inUse--
	se.inUse--
	req.worker.inUse--
	if se.leaving && se.inUse == 0 {
		mac.removeServer(se)
	}
	mac.refreshWorker(now, req.worker)
}

// finishRequest deletes req, frees its slot and dispatches waiting requests of
// every service that has a server on the same worker.
func (mac *Machine[K, C]) finishRequest(now model.Instant, req *request[K]) {
	mac.freeSlot(now, req)
	delete(mac.requests, req.key)
	mac.dispatchWaiting(now, req.service)
	for _, se := range req.worker.servers {
		if sv := mac.services[se.backend.Service()]; sv != req.service {
			mac.dispatchWaiting(now, sv)
		}
	}
}

// retryUnsent queues a request again that could not be sent, or rejects it if
// the retry budget of its service is spent.
func (mac *Machine[K, C]) retryUnsent(now model.Instant, key K) {
	req := mac.requests[key]
	if req == nil || req.phase != dispatched {
		return
	}
	sv := req.service
	req.failedServer = req.server
	mac.recordOutcome(now, req, false)
	mac.freeSlot(now, req)
	if sv.retrySpent+retryCost > retryBudget {
		delete(mac.requests, key)
		mac.reject(req, RetriesSpent)
	} else {
		sv.retrySpent += retryCost
		req.phase = waiting
		sv.queue.push(req)
	}
	mac.dispatchWaiting(now, sv)
}

// cancel ends a request whose caller disconnected before it was sent. Only a
// waiting request gets a Reject; the owner ends a dispatched one itself.
func (mac *Machine[K, C]) cancel(now model.Instant, key K) {
	req := mac.requests[key]
	if req == nil {
		return
	}
	switch req.phase {
	case waiting:
		req.service.queue.remove(req)
		delete(mac.requests, key)
		mac.reject(req, Withdrawn)
	case dispatched:
		mac.finishRequest(now, req)
	}
}

// done records the outcome of a dispatched request and frees its slot. An
// expired or cancelled request may still be running and holds its slot until
// SlotReleased, unless FreeExpired is set.
func (mac *Machine[K, C]) done(now model.Instant, msg Done[K]) {
	req := mac.requests[msg.key]
	if req == nil || (req.phase != dispatched && req.phase != sent) {
		return
	}
	held := now.Sub(req.dispatchedAt)
	switch msg.outcome {
	case Answered:
		req.service.slotTime.add(now, held)
		req.server.meanLatency.add(now, held)
		req.server.latencies.add(held)
		mac.recordOutcome(now, req, true)
	case Expired:
		req.server.meanLatency.add(now, held)
		req.server.latencies.add(held)
		mac.recordOutcome(now, req, false)
	case NotRun, Failed:
		mac.recordOutcome(now, req, false)
	}
	if msg.outcome == Failed || msg.outcome == Expired {
		mac.emitEvent("requestUnknown", event.Subject{Backend: req.server.backend.ID(), Worker: req.worker.id},
			event.NewField("outcome", msg.outcome.String()), event.NewField("idempotent", yesNo(req.spec.Idempotent)))
	}
	if !mac.cfg.FreeExpired && (msg.outcome == Expired || msg.outcome == Cancelled) {
		req.phase = abandoned
		return
	}
	mac.finishRequest(now, req)
}

// recordOutcome records a success or failure of the server of req. It ejects the
// server after ejectFailures consecutive failures.
func (mac *Machine[K, C]) recordOutcome(now model.Instant, req *request[K], ok bool) {
	se := req.server
	if req.service.countOutcome(now, se, ok) {
		req.service.updateAvailable(now, se)
		mac.emitEvent("backendEjected", event.Subject{Backend: se.backend.ID(), Worker: se.worker.id},
			event.NewField("seconds", se.ejectedUntil.Sub(now).String()))
	}
}

func yesNo(val bool) string {
	if val {
		return "yes"
	}
	return "no"
}
