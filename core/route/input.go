package route

import (
	"time"

	"guavarail/core/model"
)

// Input is one input of the machine.
type Input interface{ input() }

// BackendSpec is the input of NewBackend.
type BackendSpec struct {
	ID      model.BackendID
	Service model.ServiceID
	Worker  model.WorkerID
	// Address is host:port.
	Address string
	// Slots is the number of requests that the worker runs at once, over all its
	// backend servers and all entry VMs.
	Slots int
	// Connections is the number of connections that the server accepts; zero
	// means no limit of its own.
	Connections int
	// Incarnation grows with each start of the server; zero means that the server
	// announces none.
	Incarnation uint64
}

// Backend describes one backend server.
type Backend struct{ spec BackendSpec }

// NewBackend returns a description of a backend server.
func NewBackend(spec BackendSpec) Backend { return Backend{spec: spec} }

// Spec returns the specification of the server.
func (ba Backend) Spec() BackendSpec { return ba.spec }

// ID returns the identifier of the server.
func (ba Backend) ID() model.BackendID { return ba.spec.ID }

// Service returns the service that the server runs.
func (ba Backend) Service() model.ServiceID { return ba.spec.Service }

// Worker returns the worker whose slots the server uses.
func (ba Backend) Worker() model.WorkerID { return ba.spec.Worker }

// Address returns the address of the server as host:port.
func (ba Backend) Address() string { return ba.spec.Address }

// Slots returns the number of slots of the worker.
func (ba Backend) Slots() int { return ba.spec.Slots }

// Connections returns the maximum number of connections of the server, or 0 if
// it has no limit of its own.
func (ba Backend) Connections() int { return ba.spec.Connections }

// Incarnation returns a number that grows with each start of the server, or 0 if
// the server announces none.
func (ba Backend) Incarnation() uint64 { return ba.spec.Incarnation }

// Announce reports a backend server that is ready for requests. A server without
// an announcement in the last 2.5 s gets no requests.
type Announce struct {
	backend Backend
	age     time.Duration
}

// NewAnnounce returns the announcement of ba. age is the time since any entry VM
// first received it.
func NewAnnounce(ba Backend, age time.Duration) Announce { return Announce{backend: ba, age: age} }

// Leave reports that a backend server accepts no new requests. The requests that
// it already has continue.
type Leave struct {
	backend     model.BackendID
	incarnation uint64
}

// NewLeave returns the leave message of a backend server. It concerns the given
// incarnation and earlier ones; 0 concerns the current incarnation.
func NewLeave(id model.BackendID, incarnation uint64) Leave {
	return Leave{backend: id, incarnation: incarnation}
}

// Credits sets how many slots of a worker this VM may use while its lease is
// valid. The machine answers with a Usage that has the same version.
type Credits struct {
	worker  model.WorkerID
	limit   int
	version uint64
}

// NewCredits returns the input that sets the limit for worker wo. The version
// must grow with each change of the limit.
func NewCredits(wo model.WorkerID, limit int, version uint64) Credits {
	return Credits{worker: wo, limit: limit, version: version}
}

// Lease sets the end of the lease of all credits. After that time, the machine
// dispatches no request to a worker whose limit comes from Credits.
type Lease struct{ until model.Instant }

// NewLease returns a lease that ends at until.
func NewLease(until model.Instant) Lease { return Lease{until: until} }

// StaticShare gives this VM a fixed number of the slots of each worker, for a
// data centre that runs without slot credits. It applies to a worker from the
// next announcement of one of the worker's servers.
type StaticShare struct{ index, count int }

// NewStaticShare returns the share of the VM with the given index, from 0, among
// count entry VMs. The shares of all VMs add up to the slots of the worker.
func NewStaticShare(index, count int) StaticShare {
	return StaticShare{index: index, count: count}
}

// slotsOf returns how many slots this VM may use of a worker that has the given
// number.
func (sh StaticShare) slotsOf(slots int) int {
	part := slots / sh.count
	if sh.index < slots%sh.count {
		part++
	}
	return part
}

// RequestSpec is the input of NewArrive.
type RequestSpec struct {
	Service model.ServiceID
	// Caller names the sender for fair queueing: the waiting callers of a service
	// share its slot time evenly.
	Caller string
	// Timeout is the time limit that the caller set, counted from the arrival;
	// zero means the default deadline of the preset. It is capped at the maximum
	// request time.
	Timeout time.Duration
	// Idempotent is false for a request that must run at most once. It only
	// appears in events: the machine never resends a request that may have run.
	Idempotent bool
	// Forwarded marks a request that another data centre sent here. It is not
	// sent to a further data centre.
	Forwarded bool
}

// Arrive reports a new request of a caller.
type Arrive[K comparable] struct {
	key  K
	spec RequestSpec
}

// NewArrive returns the arrival of the request with the given key.
func NewArrive[K comparable](key K, spec RequestSpec) Arrive[K] {
	return Arrive[K]{key: key, spec: spec}
}

// Sent reports that the first byte of a request is being sent to its backend
// server. From then on the request may be running.
type Sent[K comparable] struct{ key K }

// NewSent returns the report for the request with the given key.
func NewSent[K comparable](key K) Sent[K] { return Sent[K]{key: key} }

// Unsent reports that no byte of a dispatched request could be sent, so that
// another backend server can run it.
type Unsent[K comparable] struct{ key K }

// NewUnsent returns the report for the request with the given key.
func NewUnsent[K comparable](key K) Unsent[K] { return Unsent[K]{key: key} }

// Outcome is how a dispatched request ended for its caller.
type Outcome uint8

// The outcomes.
const (
	// Answered means that the response is complete. It is the zero value.
	Answered Outcome = iota
	// NotRun means that the request did not run: the backend server confirmed
	// that, or no byte of the request was sent.
	NotRun
	// Failed means that the connection to the backend server ended or that the
	// response was a gateway error.
	Failed
	// Expired means that the deadline passed before the response started.
	Expired
	// Cancelled means that the entry VM ended the request after it was sent and
	// before its deadline, mostly because the caller disconnected.
	Cancelled
)

// String returns the name of the outcome in events.
func (ou Outcome) String() string {
	return [...]string{"answered", "notRun", "failed", "expired", "cancelled"}[ou]
}

// Done reports the outcome of a dispatched request. After Expired and Cancelled
// the backend server may still be running the request, so its slot counts as in
// use until SlotReleased.
type Done[K comparable] struct {
	key     K
	outcome Outcome
}

// NewDone returns the report for the request with the given key.
func NewDone[K comparable](key K, ou Outcome) Done[K] { return Done[K]{key: key, outcome: ou} }

// SlotReleased reports that an abandoned request, one that expired or was
// cancelled, no longer holds its slot: its response has arrived or its connection
// has ended.
type SlotReleased[K comparable] struct{ key K }

// NewSlotReleased returns the report for the request with the given key.
func NewSlotReleased[K comparable](key K) SlotReleased[K] { return SlotReleased[K]{key: key} }

// Cancel reports that the caller disconnected before the request was sent. The
// machine ignores it after Sent; the owner then reports Done with Cancelled.
type Cancel[K comparable] struct{ key K }

// NewCancel returns the report for the request with the given key.
func NewCancel[K comparable](key K) Cancel[K] { return Cancel[K]{key: key} }

// Tick runs the work that depends on time: it removes servers without a recent
// announcement, ends ejections, rejects waiting requests past their deadline,
// and emits tail latencies and changed usage.
type Tick struct{}

// ActivePreset sets the active preset.
type ActivePreset struct{ preset model.Preset }

// NewActivePreset returns the input that makes pr the active preset.
func NewActivePreset(pr model.Preset) ActivePreset { return ActivePreset{preset: pr} }

// AdmitPercent sets the percentage of requests that this data centre accepts: 0
// when it is out of service, 1 to 99 while it is returning to service, 100 in
// normal operation.
type AdmitPercent struct{ percent int }

// NewAdmitPercent returns the input that sets the percentage, clamped to the
// range from 0 to 100.
func NewAdmitPercent(percent int) AdmitPercent {
	return AdmitPercent{percent: min(max(percent, 0), 100)}
}

// Stop starts a planned shutdown of this VM: the machine rejects each request
// that arrives later. Earlier requests continue.
type Stop struct{}

func (Announce) input()        {}
func (Leave) input()           {}
func (Credits) input()         {}
func (Lease) input()           {}
func (StaticShare) input()     {}
func (Arrive[K]) input()       {}
func (Sent[K]) input()         {}
func (Unsent[K]) input()       {}
func (Done[K]) input()         {}
func (SlotReleased[K]) input() {}
func (Cancel[K]) input()       {}
func (Tick) input()            {}
func (ActivePreset) input()    {}
func (AdmitPercent) input()    {}
func (Stop) input()            {}
