package route

import (
	"guavarail/core/event"
	"guavarail/core/model"
)

// announce adds or updates the record of a server. It ignores an announcement
// that is older than announceTTL, of an earlier incarnation, or of an
// incarnation that left.
func (mac *Machine[K, C]) announce(now model.Instant, msg Announce) {
	ba := msg.backend
	announcedAt := now.Add(-max(msg.age, 0))
	if tb, ok := mac.tombstones[ba.ID()]; ok && ba.Incarnation() <= tb.incarnation && now.Before(tb.until) {
		return
	}
	se := mac.servers[ba.ID()]
	if now.Sub(announcedAt) >= announceTTL || (se != nil && ba.Incarnation() < se.backend.Incarnation()) {
		return
	}
	if se != nil && (se.leaving || ba.Service() != se.backend.Service() || ba.Worker() != se.backend.Worker()) {
		// Requests that hold a slot use the former record until they end.
		mac.detach(now, se)
		se = nil
	}
	if se == nil {
		se = mac.addServer(ba)
	}
	se.backend = ba
	se.announcedAt = max(se.announcedAt, announcedAt)
	se.worker.slots = ba.Slots()
	if mac.share.count > 0 {
		se.worker.limit, se.worker.leaseEnd = mac.share.slotsOf(ba.Slots()), nil
	}
	sv := mac.service(ba.Service())
	sv.updateAvailable(now, se)
	mac.dispatchWaiting(now, sv)
}

// addServer adds a record for ba to the backend table.
func (mac *Machine[K, C]) addServer(ba Backend) *server {
	wo, sv := mac.worker(ba.Worker()), mac.service(ba.Service())
	se := &server{backend: ba, worker: wo, availableIndex: -1}
	mac.servers[ba.ID()] = se
	wo.servers = append(wo.servers, se)
	sv.servers = append(sv.servers, se)
	mac.emitEvent("backendJoined", event.Subject{Backend: ba.ID(), Worker: ba.Worker()})
	return se
}

func (mac *Machine[K, C]) service(id model.ServiceID) *service[K] {
	sv := mac.services[id]
	if sv == nil {
		sv = &service[K]{id: id}
		mac.services[id] = sv
		mac.serviceList = append(mac.serviceList, sv)
	}
	return sv
}

func (mac *Machine[K, C]) worker(id model.WorkerID) *worker {
	wo := mac.workers[id]
	if wo == nil {
		wo = &worker{id: id}
		mac.workers[id] = wo
		mac.workerList = append(mac.workerList, wo)
	}
	return wo
}

// leave adds a tombstone for the server and detaches the server. It ignores a
// leave message of an earlier incarnation.
func (mac *Machine[K, C]) leave(now model.Instant, msg Leave) {
	se := mac.servers[msg.backend]
	if se != nil && msg.incarnation != 0 && msg.incarnation < se.backend.Incarnation() {
		return
	}
	inc := msg.incarnation
	if se != nil {
		inc = max(inc, se.backend.Incarnation())
	}
	if tb := mac.tombstones[msg.backend]; tb.incarnation > inc {
		inc = tb.incarnation
	}
	ttl := tombstoneTTL
	if inc == 0 {
		ttl = unnumberedTombstoneTTL
	}
	mac.tombstones[msg.backend] = tombstone{incarnation: inc, until: now.Add(ttl)}
	if se == nil || se.leaving {
		return
	}
	mac.emitEvent("backendLeaving", event.Subject{Backend: msg.backend, Worker: se.worker.id},
		event.NewField("reason", "leave"))
	mac.detach(now, se)
}

// detach stops new requests to se. It removes the record at once, or freeSlot
// does so when no request holds a slot on se.
func (mac *Machine[K, C]) detach(now model.Instant, se *server) {
	sv := mac.services[se.backend.Service()]
	sv.readmit(se)
	se.leaving = true
	sv.updateAvailable(now, se)
	if se.inUse == 0 {
		mac.removeServer(se)
	}
}

// removeServer deletes the record of a server on which no request holds a slot.
func (mac *Machine[K, C]) removeServer(se *server) {
	mac.services[se.backend.Service()].remove(se)
	if mac.servers[se.backend.ID()] == se {
		delete(mac.servers, se.backend.ID())
	}
	for i, other := range se.worker.servers {
		if other == se {
			se.worker.servers = append(se.worker.servers[:i], se.worker.servers[i+1:]...)
			break
		}
	}
}

// refreshWorker updates the availability of all servers on wo.
func (mac *Machine[K, C]) refreshWorker(now model.Instant, wo *worker) {
	for _, se := range wo.servers {
		mac.services[se.backend.Service()].updateAvailable(now, se)
	}
}

// setCredits sets the limit of a worker, dispatches waiting requests and
// confirms the version of the limit with a Usage.
func (mac *Machine[K, C]) setCredits(now model.Instant, msg Credits) {
	wo := mac.worker(msg.worker)
	wo.limit, wo.version, wo.leaseEnd = max(msg.limit, 0), msg.version, &mac.leaseEnd
	mac.refreshWorker(now, wo)
	for _, se := range append([]*server(nil), wo.servers...) {
		mac.dispatchWaiting(now, mac.services[se.backend.Service()])
	}
	wo.lastUsage = wo.usage()
	mac.emit(wo.lastUsage)
}

// renewLease sets the end of the lease of all credits. If the former lease has
// ended, it makes the servers available again and dispatches waiting requests.
func (mac *Machine[K, C]) renewLease(now model.Instant, msg Lease) {
	lapsed := !now.Before(mac.leaseEnd)
	mac.leaseEnd = msg.until
	if !lapsed {
		return
	}
	for _, sv := range mac.serviceList {
		for _, se := range sv.servers {
			sv.updateAvailable(now, se)
		}
		mac.dispatchWaiting(now, sv)
	}
}

// usage returns the current Usage of the worker.
func (wo *worker) usage() Usage {
	us := Usage{worker: wo.id, version: wo.version, inUse: wo.inUse}
	if len(wo.servers) > 0 {
		us.slots = wo.slots
		us.wanted = min(wo.inUse+wo.extraWanted, wo.slots)
	}
	return us
}

// tick removes expired tombstones, runs the timed work of each service, emits
// changed usage and removes workers that have no server, credit or slot in use.
func (mac *Machine[K, C]) tick(now model.Instant) {
	for id, tb := range mac.tombstones {
		if !now.Before(tb.until) {
			delete(mac.tombstones, id)
		}
	}
	for _, wo := range mac.workerList {
		wo.extraWanted = 0
	}
	for _, sv := range mac.serviceList {
		mac.tickServers(now, sv)
		mac.tickQueue(now, sv)
	}
	kept := mac.workerList[:0]
	for _, wo := range mac.workerList {
		if us := wo.usage(); us != wo.lastUsage {
			wo.lastUsage = us
			mac.emit(us)
		}
		if len(wo.servers) == 0 && wo.inUse == 0 && wo.limit == 0 {
			delete(mac.workers, wo.id)
			continue
		}
		kept = append(kept, wo)
	}
	mac.workerList = kept
}

// tickServers readmits servers whose ejection is over, detaches servers without
// a recent announcement and emits tail latencies.
func (mac *Machine[K, C]) tickServers(now model.Instant, sv *service[K]) {
	for _, se := range append([]*server(nil), sv.servers...) {
		if se.ejected && !now.Before(se.ejectedUntil) {
			sv.readmit(se)
		}
		if !se.leaving && !se.alive(now) {
			mac.emitEvent("backendLeaving", event.Subject{Backend: se.backend.ID(), Worker: se.worker.id},
				event.NewField("reason", "silent"))
			mac.detach(now, se)
			continue
		}
		sv.updateAvailable(now, se)
		if tail, ok := se.latencies.nextTailLatency(now); ok {
			mac.emit(TailLatency{
				worker: se.worker.id, service: se.backend.Service(), latency: tail,
				load: float64(se.inUse) / float64(max(se.backend.Slots(), 1)),
			})
		}
	}
}

// tickQueue forwards or rejects all waiting requests if no server is alive.
// Otherwise it rejects those past their deadline, dispatches others and sets the
// number of credits that each worker of the service wants.
func (mac *Machine[K, C]) tickQueue(now model.Instant, sv *service[K]) {
	if !sv.anyAlive(now) {
		for sv.queue.size > 0 {
			req := sv.queue.activeCallers[0].waiting[0]
			sv.queue.remove(req)
			delete(mac.requests, req.key)
			mac.forwardOrReject(req, NoBackend)
		}
		return
	}
	for _, req := range sv.queue.pastDeadline(now) {
		sv.queue.remove(req)
		delete(mac.requests, req.key)
		mac.reject(req, TooLate)
	}
	mac.dispatchWaiting(now, sv)
	// The waiting requests are divided evenly among the servers. No spare credit
	// is wanted, because that would take credits from VMs with waiting requests;
	// the lender also grants the credits that no VM wants.
	extraWanted := (sv.queue.size + len(sv.servers) - 1) / len(sv.servers)
	for _, se := range sv.servers {
		se.worker.extraWanted = max(se.worker.extraWanted, extraWanted)
	}
}
