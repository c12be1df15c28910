package route

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// Config holds the settings of a Machine that never change.
type Config[C Chooser] struct {
	// Seed is for the random choices: of a server, of the requests to forward or
	// reject when AdmitPercent is below 100, and of retry delays.
	Seed    uint64
	Chooser C
	// FreeExpired frees the slot of an expired or cancelled request at once, so
	// that a worker may run more requests than it has slots. The default counts
	// the slot as in use until SlotReleased; docs/decisions/expired-slots.md
	// compares the two.
	FreeExpired bool
}

// Machine is the request path of one entry VM. The zero value is ready to use
// and has no backend servers.
type Machine[K comparable, C Chooser] struct {
	cfg    Config[C]
	rnd    Random
	preset model.Preset
	// declinePercent is the percentage of requests that the data centre forwards
	// or rejects, 0 in normal operation.
	declinePercent int
	// stopping means that the VM is shutting down and rejects new requests.
	stopping bool
	// leaseEnd is when all credits expire, zero before the first Lease.
	leaseEnd model.Instant
	// share replaces credits and their lease if its count is above 0.
	share    StaticShare
	services map[model.ServiceID]*service[K]
	// serviceList and workerList have the entries of services and workers in the
	// order in which they were added, for a deterministic iteration order.
	serviceList []*service[K]
	servers     map[model.BackendID]*server
	workers     map[model.WorkerID]*worker
	workerList  []*worker
	// requests holds the unfinished requests, in any phase.
	requests   map[K]*request[K]
	tombstones map[model.BackendID]tombstone
	// out collects the effects of the current step.
	out []Effect
}

// tombstone records that a server left, so that a delayed announcement of the
// same incarnation or an earlier one does not add it again before until.
type tombstone struct {
	incarnation uint64
	until       model.Instant
}

// phase is the state of a request in the machine.
type phase uint8

const (
	// waiting requests are in the queue of their service.
	waiting phase = iota
	// dispatched requests hold a slot and no byte of them is sent.
	dispatched
	// sent requests hold a slot and may be running.
	sent
	// abandoned requests have expired or were cancelled. They still hold a slot,
	// because the server may be running them.
	abandoned
)

// request is the record of one request.
type request[K comparable] struct {
	key  K
	spec RequestSpec
	// deadline is when the caller stops waiting for the response to start;
	// maxDeadline is the end of the maximum request time. deadline is at most
	// maxDeadline.
	deadline    model.Instant
	maxDeadline model.Instant
	phase       phase
	service     *service[K]
	// caller is the fair queueing state of the request's caller.
	caller *caller[K]
	// server, worker and dispatchedAt are of the latest dispatch, zero before it.
	server *server
	worker *worker
	// failedServer is the server that the last attempt could not be sent to, nil
	// at the first attempt. The next attempt avoids it.
	failedServer *server
	dispatchedAt model.Instant
	// chargedTime is the estimated slot time that was charged to the caller at
	// dispatch. freeSlot corrects it to the time that the slot was held.
	chargedTime time.Duration
	// attempt is the number of dispatches so far, 0 before the first.
	attempt int
	// seq orders requests with the same deadline by when they were queued.
	seq uint64
	// heapIndex is the index in caller.waiting while the request waits.
	heapIndex int
}

// New returns a machine without backend servers.
func New[K comparable, C Chooser](cfg Config[C]) *Machine[K, C] {
	return &Machine[K, C]{cfg: cfg, rnd: *NewRandom(cfg.Seed)}
}

// Step applies one input. It ignores Sent, Unsent, Done, SlotReleased and Cancel
// for a request that has ended, since they may still be in transit, or that do
// not fit the request's phase, and an Arrive with the key of an unfinished
// request.
func (mac *Machine[K, C]) Step(now model.Instant, in Input) []Effect {
	mac.setUp()
	mac.out = nil
	switch msg := in.(type) {
	case Arrive[K]:
		mac.arrive(now, msg)
	case Sent[K]:
		if req := mac.requests[msg.key]; req != nil && req.phase == dispatched {
			req.phase = sent
		}
	case Unsent[K]:
		mac.retryUnsent(now, msg.key)
	case Done[K]:
		mac.done(now, msg)
	case SlotReleased[K]:
		if req := mac.requests[msg.key]; req != nil && req.phase == abandoned {
			mac.finishRequest(now, req)
		}
	case Cancel[K]:
		mac.cancel(now, msg.key)
	case Announce:
		mac.announce(now, msg)
	case Leave:
		mac.leave(now, msg)
	case Credits:
		mac.setCredits(now, msg)
	case Lease:
		mac.renewLease(now, msg)
	case StaticShare:
		mac.share = msg
	case Tick:
		mac.tick(now)
	case ActivePreset:
		mac.preset = msg.preset
	case AdmitPercent:
		mac.declinePercent = 100 - msg.percent
	case Stop:
		mac.stopping = true
	}
	return mac.out
}

// setUp creates the maps, so that the zero Machine is usable.
func (mac *Machine[K, C]) setUp() {
	if mac.requests != nil {
		return
	}
	mac.services = map[model.ServiceID]*service[K]{}
	mac.servers = map[model.BackendID]*server{}
	mac.workers = map[model.WorkerID]*worker{}
	mac.requests = map[K]*request[K]{}
	mac.tombstones = map[model.BackendID]tombstone{}
}

func (mac *Machine[K, C]) emit(eff Effect) { mac.out = append(mac.out, eff) }

func (mac *Machine[K, C]) emitEvent(kind event.Kind, sub event.Subject, fis ...event.Field) {
	mac.emit(Event{event: event.New(kind, sub, fis...)})
}

// Preset returns the active preset.
func (mac *Machine[K, C]) Preset() model.Preset { return mac.preset }

// InFlight returns the number of requests that hold a slot and whose callers
// still wait. Unlike SlotsInUse it excludes abandoned requests.
func (mac *Machine[K, C]) InFlight() int {
	num := 0
	for _, req := range mac.requests {
		if req.phase == dispatched || req.phase == sent {
			num++
		}
	}
	return num
}

// SlotsInUse returns the number of requests that hold a slot, including
// abandoned ones.
func (mac *Machine[K, C]) SlotsInUse() int {
	num := 0
	for _, sv := range mac.serviceList {
		num += sv.inUse
	}
	return num
}

// Waiting returns the number of requests in all queues.
func (mac *Machine[K, C]) Waiting() int {
	num := 0
	for _, sv := range mac.serviceList {
		num += sv.queue.size
	}
	return num
}

// Status is the state of one backend server in this VM, for operators.
type Status struct {
	backend  Backend
	inUse    int
	limit    int
	leaving  bool
	ejected  bool
	failures int
}

// Backend returns the description of the server.
func (st Status) Backend() Backend { return st.backend }

// SlotsInUse returns the number of slots that requests of this VM use on the
// server, including abandoned ones.
func (st Status) SlotsInUse() int { return st.inUse }

// Limit returns the number of slots that this VM may use on the server's worker,
// by its credits or its static share. Other servers on the worker share them.
func (st Status) Limit() int { return st.limit }

// Leaving reports whether the server gets no new requests because it left or has
// not announced itself recently.
func (st Status) Leaving() bool { return st.leaving }

// Ejected reports whether the server temporarily gets no requests because of
// consecutive failures.
func (st Status) Ejected() bool { return st.ejected }

// Failures returns the number of consecutive failed requests of this VM to the
// server. The end of an ejection resets it to 0.
func (st Status) Failures() int { return st.failures }

// Servers returns the status of all backend servers, grouped by service.
func (mac *Machine[K, C]) Servers(now model.Instant) []Status {
	var out []Status
	for _, sv := range mac.serviceList {
		for _, se := range sv.servers {
			out = append(out, Status{
				backend: se.backend, inUse: se.inUse, limit: se.worker.limit,
				leaving: !se.alive(now), ejected: se.ejected, failures: se.failures,
			})
		}
	}
	return out
}
