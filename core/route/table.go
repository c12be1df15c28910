package route

import (
	"guavarail/core/event"
	"guavarail/core/model"
)

func (mac *Machine[K, C]) announce(now model.Instant, msg Announce) {
	ba := msg.backend
	heard := now.Add(-max(msg.age, 0))
	if gr, ok := mac.tombstones[ba.ID()]; ok && ba.Incarnation() <= gr.incarnation && now.Before(gr.until) {
		return
	}
	se := mac.servers[ba.ID()]
	if now.Sub(heard) >= announceLife || (se != nil && ba.Incarnation() < se.backend.Incarnation()) {
		return
	}
	if se != nil && (se.leaving || ba.Service() != se.backend.Service() || ba.Worker() != se.backend.Worker()) {
		// The requests in flight keep the old record until they end.
		mac.detach(now, se)
		se = nil
	}
	if se == nil {
		se = mac.join(ba)
	}
	se.backend = ba
	se.heard = max(se.heard, heard)
	se.worker.slots = ba.Slots()
	if mac.share.of > 0 {
		se.worker.limit, se.worker.until = mac.share.part(ba.Slots()), nil
	}
	sv := mac.service(ba.Service())
	sv.refresh(now, se)
	mac.pump(now, sv)
}

// join adds a record for ba to the table.
func (mac *Machine[K, C]) join(ba Backend) *server {
	wo, sv := mac.worker(ba.Worker()), mac.service(ba.Service())
	se := &server{backend: ba, worker: wo, slot: -1}
	mac.servers[ba.ID()] = se
	wo.servers = append(wo.servers, se)
	sv.servers = append(sv.servers, se)
	mac.note("backendJoined", event.Subject{Backend: ba.ID(), Worker: ba.Worker()})
	return se
}

func (mac *Machine[K, C]) service(id model.ServiceID) *service[K] {
	sv := mac.services[id]
	if sv == nil {
		sv = &service[K]{id: id}
		mac.services[id] = sv
		mac.order = append(mac.order, sv)
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

func (mac *Machine[K, C]) leave(now model.Instant, msg Leave) {
	se := mac.servers[msg.backend]
	if se != nil && msg.incarnation != 0 && msg.incarnation < se.backend.Incarnation() {
		return
	}
	inc := msg.incarnation
	if se != nil {
		inc = max(inc, se.backend.Incarnation())
	}
	if gr := mac.tombstones[msg.backend]; gr.incarnation > inc {
		inc = gr.incarnation
	}
	life := tombstoneLife
	if inc == 0 {
		life = unnumberedLife
	}
	mac.tombstones[msg.backend] = tombstone{incarnation: inc, until: now.Add(life)}
	if se == nil || se.leaving {
		return
	}
	mac.note("backendLeaving", event.Subject{Backend: msg.backend, Worker: se.worker.id},
		event.NewField("reason", "leave"))
	mac.detach(now, se)
}

// detach ends new requests to se. The record is removed when its requests have
// ended.
func (mac *Machine[K, C]) detach(now model.Instant, se *server) {
	sv := mac.services[se.backend.Service()]
	sv.readmit(se)
	se.leaving = true
	sv.refresh(now, se)
	if se.inFlight == 0 {
		mac.remove(se)
	}
}

// remove deletes the record of a server without requests in flight.
func (mac *Machine[K, C]) remove(se *server) {
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

func (mac *Machine[K, C]) refreshWorker(now model.Instant, wo *worker) {
	for _, se := range wo.servers {
		mac.services[se.backend.Service()].refresh(now, se)
	}
}

func (mac *Machine[K, C]) credit(now model.Instant, msg Credits) {
	wo := mac.worker(msg.worker)
	wo.limit, wo.version, wo.until = max(msg.limit, 0), msg.version, &mac.lease
	mac.refreshWorker(now, wo)
	for _, se := range append([]*server(nil), wo.servers...) {
		mac.pump(now, mac.services[se.backend.Service()])
	}
	wo.told = wo.usage()
	mac.emit(wo.told)
}

// renew extends the lease of all credits.
func (mac *Machine[K, C]) renew(now model.Instant, msg Lease) {
	lapsed := !now.Before(mac.lease)
	mac.lease = msg.until
	if !lapsed {
		return
	}
	for _, sv := range mac.order {
		for _, se := range sv.servers {
			sv.refresh(now, se)
		}
		mac.pump(now, sv)
	}
}

func (wo *worker) usage() Usage {
	us := Usage{worker: wo.id, version: wo.version, inUse: wo.inUse}
	if len(wo.servers) > 0 {
		us.slots = wo.slots
		us.wanted = min(wo.inUse+wo.extra, wo.slots)
	}
	return us
}

func (mac *Machine[K, C]) tick(now model.Instant) {
	for id, gr := range mac.tombstones {
		if !now.Before(gr.until) {
			delete(mac.tombstones, id)
		}
	}
	for _, wo := range mac.workerList {
		wo.extra = 0
	}
	for _, sv := range mac.order {
		mac.tickServers(now, sv)
		mac.tickQueue(now, sv)
	}
	kept := mac.workerList[:0]
	for _, wo := range mac.workerList {
		if us := wo.usage(); us != wo.told {
			wo.told = us
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

// tickServers readmits ejected servers and removes silent ones.
func (mac *Machine[K, C]) tickServers(now model.Instant, sv *service[K]) {
	for _, se := range append([]*server(nil), sv.servers...) {
		if se.ejected && !now.Before(se.ejectedUntil) {
			sv.readmit(se)
		}
		if !se.leaving && !se.alive(now) {
			mac.note("backendLeaving", event.Subject{Backend: se.backend.ID(), Worker: se.worker.id},
				event.NewField("reason", "silent"))
			mac.detach(now, se)
			continue
		}
		sv.refresh(now, se)
		if tail, ok := se.tail.take(now); ok {
			mac.emit(Tail{
				worker: se.worker.id, service: se.backend.Service(), latency: tail,
				load: float64(se.inFlight) / float64(max(se.backend.Slots(), 1)),
			})
		}
	}
}

// tickQueue rejects what cannot be run in time and sets the wanted slots.
func (mac *Machine[K, C]) tickQueue(now model.Instant, sv *service[K]) {
	if !sv.anyAlive(now) {
		for sv.queue.size > 0 {
			en := sv.queue.turn[0].waiting[0]
			sv.queue.drop(en)
			delete(mac.requests, en.key)
			mac.decline(en, NoBackend)
		}
		return
	}
	for _, en := range sv.queue.late(now) {
		sv.queue.drop(en)
		delete(mac.requests, en.key)
		mac.reject(en, TooLate)
	}
	mac.pump(now, sv)
	// Asking for a spare slot would take credits from VMs that have a queue; the
	// lender hands out what nobody wants anyway.
	extra := (sv.queue.size + len(sv.servers) - 1) / len(sv.servers)
	for _, se := range sv.servers {
		se.worker.extra = max(se.worker.extra, extra)
	}
}
