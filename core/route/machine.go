package route

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// Config holds what the machine does not learn from inputs.
type Config[C Chooser] struct {
	Seed    uint64
	Chooser C
	// FreeExpired frees the slot of an expired request at once. It is the
	// variant that docs/decisions/expired-slots.md compares with the default.
	FreeExpired bool
}

// Machine is the request path of one entry VM. The zero value admits requests
// and has no backend servers.
type Machine[K comparable, C Chooser] struct {
	cfg    Config[C]
	rnd    Random
	preset model.Preset
	// declined is the percentage of requests that the data centre does not take.
	declined int
	stopping bool
	// lease ends the use of all credits but a static share.
	lease model.Instant
	// share replaces credits while it is set.
	share    Share
	services map[model.ServiceID]*service[K]
	// order lists the services by first announcement, for a fixed iteration order.
	order      []*service[K]
	servers    map[model.BackendID]*server
	workers    map[model.WorkerID]*worker
	workerList []*worker
	requests   map[K]*entry[K]
	tombstones map[model.BackendID]tombstone
	out        []Effect
}

// tombstone remembers a server that left, so that a late announcement does not
// bring it back.
type tombstone struct {
	incarnation uint64
	until       model.Instant
}

// phase is how far a request has come.
type phase uint8

const (
	waiting phase = iota
	dispatched
	sent
	// lingering requests are over for the caller and still hold a slot.
	lingering
)

// entry is one request in the machine.
type entry[K comparable] struct {
	key  K
	spec RequestSpec
	// deadline is when the caller stops waiting, until when the maximum request
	// time is over; deadline is at most until.
	deadline model.Instant
	until    model.Instant
	phase    phase
	service  *service[K]
	caller   *caller[K]
	// server and worker are set in every phase but waiting.
	server  *server
	worker  *worker
	avoid   *server
	since   model.Instant
	charged time.Duration
	attempt int
	order   uint64
	pos     int
}

// New returns a machine without backend servers.
func New[K comparable, C Chooser](cfg Config[C]) *Machine[K, C] {
	return &Machine[K, C]{cfg: cfg, rnd: *NewRandom(cfg.Seed)}
}

// Step takes one input. Inputs about unknown requests are ignored, because
// reports may arrive after the request is over.
func (mac *Machine[K, C]) Step(now model.Instant, in Input) []Effect {
	mac.setUp()
	mac.out = nil
	switch msg := in.(type) {
	case Arrive[K]:
		mac.arrive(now, msg)
	case Sent[K]:
		if en := mac.requests[msg.key]; en != nil && en.phase == dispatched {
			en.phase = sent
		}
	case Unsent[K]:
		mac.unsent(now, msg.key)
	case Done[K]:
		mac.done(now, msg)
	case Ended[K]:
		if en := mac.requests[msg.key]; en != nil && en.phase == lingering {
			mac.release(now, en)
		}
	case Cancel[K]:
		mac.cancel(now, msg.key)
	case Announce:
		mac.announce(now, msg)
	case Leave:
		mac.leave(now, msg)
	case Credits:
		mac.credit(now, msg)
	case Lease:
		mac.renew(now, msg)
	case Share:
		mac.share = msg
	case Tick:
		mac.tick(now)
	case Policy:
		mac.preset = msg.preset
	case Admit:
		mac.declined = 100 - msg.percent
	case Stop:
		mac.stopping = true
	}
	return mac.out
}

func (mac *Machine[K, C]) setUp() {
	if mac.requests != nil {
		return
	}
	mac.services = map[model.ServiceID]*service[K]{}
	mac.servers = map[model.BackendID]*server{}
	mac.workers = map[model.WorkerID]*worker{}
	mac.requests = map[K]*entry[K]{}
	mac.tombstones = map[model.BackendID]tombstone{}
}

func (mac *Machine[K, C]) emit(eff Effect) { mac.out = append(mac.out, eff) }

func (mac *Machine[K, C]) note(kind event.Kind, sub event.Subject, fis ...event.Field) {
	mac.emit(Event{event: event.New(kind, sub, fis...)})
}

// Preset returns the active preset.
func (mac *Machine[K, C]) Preset() model.Preset { return mac.preset }

// InFlight returns the requests that are dispatched and not yet answered.
func (mac *Machine[K, C]) InFlight() int {
	num := 0
	for _, en := range mac.requests {
		if en.phase == dispatched || en.phase == sent {
			num++
		}
	}
	return num
}

// Held returns the requests that hold a slot, including those that are over for
// their callers.
func (mac *Machine[K, C]) Held() int {
	num := 0
	for _, sv := range mac.order {
		num += sv.running
	}
	return num
}

// Waiting returns the requests in all queues.
func (mac *Machine[K, C]) Waiting() int {
	num := 0
	for _, sv := range mac.order {
		num += sv.queue.size
	}
	return num
}

// Status describes one backend server for operators.
type Status struct {
	backend  Backend
	inFlight int
	limit    int
	leaving  bool
	ejected  bool
	failures int
}

// Backend returns the description of the server.
func (st Status) Backend() Backend { return st.backend }

// InFlight returns the slots in use from this VM.
func (st Status) InFlight() int { return st.inFlight }

// Limit returns the credits that this VM holds for the worker.
func (st Status) Limit() int { return st.limit }

// Leaving reports whether the server takes no new requests.
func (st Status) Leaving() bool { return st.leaving }

// Ejected reports whether the server is ejected after failures.
func (st Status) Ejected() bool { return st.ejected }

// Failures counts the consecutive failures on this VM.
func (st Status) Failures() int { return st.failures }

// Servers returns the state of all backend servers by service.
func (mac *Machine[K, C]) Servers(now model.Instant) []Status {
	var out []Status
	for _, sv := range mac.order {
		for _, se := range sv.servers {
			out = append(out, Status{
				backend: se.backend, inFlight: se.inFlight, limit: se.worker.limit,
				leaving: !se.alive(now), ejected: se.ejected, failures: se.failures,
			})
		}
	}
	return out
}
