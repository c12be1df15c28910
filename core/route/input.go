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
	// Slots is the number of requests that the worker runs at once.
	Slots int
	// Connections is the number of connections that the server accepts; zero
	// means no limit of its own.
	Connections int
	// Incarnation grows with each start of the server.
	Incarnation uint64
}

// Backend describes one backend server.
type Backend struct{ spec BackendSpec }

// NewBackend returns a description of a backend server.
func NewBackend(spec BackendSpec) Backend { return Backend{spec: spec} }

// ID returns the name of the server.
func (ba Backend) ID() model.BackendID { return ba.spec.ID }

// Service returns the service that the server runs.
func (ba Backend) Service() model.ServiceID { return ba.spec.Service }

// Worker returns the worker whose slots the server uses.
func (ba Backend) Worker() model.WorkerID { return ba.spec.Worker }

// Address returns host:port.
func (ba Backend) Address() string { return ba.spec.Address }

// Slots returns the slots of the worker.
func (ba Backend) Slots() int { return ba.spec.Slots }

// Connections returns how many connections the server accepts, 0 for no limit.
func (ba Backend) Connections() int { return ba.spec.Connections }

// Incarnation returns the number of the server's start.
func (ba Backend) Incarnation() uint64 { return ba.spec.Incarnation }

// Announce reports a backend server that is ready for requests.
type Announce struct {
	backend Backend
	age     time.Duration
}

// NewAnnounce returns the announcement of ba that an entry VM received age ago.
func NewAnnounce(ba Backend, age time.Duration) Announce { return Announce{backend: ba, age: age} }

// Leave reports that a backend server takes no new requests.
type Leave struct {
	backend     model.BackendID
	incarnation uint64
}

// NewLeave returns the leave message of one start of a backend server.
func NewLeave(id model.BackendID, incarnation uint64) Leave {
	return Leave{backend: id, incarnation: incarnation}
}

// Credits says how many slots of a worker this VM may use while its lease
// lasts. The machine confirms the version with a Usage.
type Credits struct {
	worker  model.WorkerID
	limit   int
	version uint64
}

// NewCredits returns the credits held now for worker.
func NewCredits(wo model.WorkerID, limit int, version uint64) Credits {
	return Credits{worker: wo, limit: limit, version: version}
}

// Lease says until when this VM may use its credits.
type Lease struct{ until model.Instant }

// NewLease returns the lease until an instant.
func NewLease(until model.Instant) Lease { return Lease{until: until} }

// Share gives this VM a fixed part of the slots of each worker, for a data
// centre that runs without slot credits.
type Share struct{ pos, of int }

// NewShare returns the share of the VM at position pos of a number of VMs. The
// shares of all positions add up to the slots of the worker.
func NewShare(pos, of int) Share { return Share{pos: pos, of: of} }

// part returns the slots of this VM out of those of a worker.
func (sh Share) part(slots int) int {
	part := slots / sh.of
	if sh.pos < slots%sh.of {
		part++
	}
	return part
}

// RequestSpec is the input of NewArrive.
type RequestSpec struct {
	Service model.ServiceID
	// Caller is who slots are shared fairly between.
	Caller string
	// Timeout is the time that the caller gave from now on; zero means the
	// deadline of the preset. It is cut to the maximum request time.
	Timeout time.Duration
	// Idempotent is false for a request that must run at most once.
	Idempotent bool
	// Forwarded marks a request that another data centre sent here. It is not
	// sent to a further data centre.
	Forwarded bool
}

// Arrive reports a request of a caller.
type Arrive[K comparable] struct {
	key  K
	spec RequestSpec
}

// NewArrive returns the arrival of the request with the given key.
func NewArrive[K comparable](key K, spec RequestSpec) Arrive[K] {
	return Arrive[K]{key: key, spec: spec}
}

// Sent reports that the first byte of a request goes to its backend server.
// From then on the request may be running.
type Sent[K comparable] struct{ key K }

// NewSent returns the report for the request with the given key.
func NewSent[K comparable](key K) Sent[K] { return Sent[K]{key: key} }

// Unsent reports that no byte of a dispatched request could be sent.
type Unsent[K comparable] struct{ key K }

// NewUnsent returns the report for the request with the given key.
func NewUnsent[K comparable](key K) Unsent[K] { return Unsent[K]{key: key} }

// Outcome is how a dispatched request ended for its caller.
type Outcome uint8

// The outcomes. The zero value is a whole response.
const (
	Answered Outcome = iota
	// NotRun is the confirmation of the backend server that it did not run it.
	NotRun
	// Failed is a connection that ended or a gateway error.
	Failed
	// Expired is a deadline that passed before the whole response arrived.
	Expired
	// Cancelled is a caller that went away while the request was running.
	Cancelled
)

// String returns the name used in events.
func (ou Outcome) String() string {
	return [...]string{"answered", "notRun", "failed", "expired", "cancelled"}[ou]
}

// Done reports the outcome of a dispatched request. After Expired and
// Cancelled the slot stays counted until Ended.
type Done[K comparable] struct {
	key     K
	outcome Outcome
}

// NewDone returns the report for the request with the given key.
func NewDone[K comparable](key K, ou Outcome) Done[K] { return Done[K]{key: key, outcome: ou} }

// Ended reports the late response or the end of the connection of a request
// that was done before.
type Ended[K comparable] struct{ key K }

// NewEnded returns the report for the request with the given key.
func NewEnded[K comparable](key K) Ended[K] { return Ended[K]{key: key} }

// Cancel reports that the caller of a request that was not sent went away.
type Cancel[K comparable] struct{ key K }

// NewCancel returns the report for the request with the given key.
func NewCancel[K comparable](key K) Cancel[K] { return Cancel[K]{key: key} }

// Tick lets time pass.
type Tick struct{}

// Policy makes a preset the active one.
type Policy struct{ preset model.Preset }

// NewPolicy returns the input that makes pr the active preset.
func NewPolicy(pr model.Preset) Policy { return Policy{preset: pr} }

// Admit says which percentage of the requests this data centre accepts: 0 when
// it is out of service, 100 in normal operation.
type Admit struct{ percent int }

// NewAdmit returns the input that admits percent of the requests.
func NewAdmit(percent int) Admit { return Admit{percent: min(max(percent, 0), 100)} }

// Stop ends admission for a planned shutdown of this VM. Requests that arrived
// before complete.
type Stop struct{}

func (Announce) input()  {}
func (Leave) input()     {}
func (Credits) input()   {}
func (Lease) input()     {}
func (Share) input()     {}
func (Arrive[K]) input() {}
func (Sent[K]) input()   {}
func (Unsent[K]) input() {}
func (Done[K]) input()   {}
func (Ended[K]) input()  {}
func (Cancel[K]) input() {}
func (Tick) input()      {}
func (Policy) input()    {}
func (Admit) input()     {}
func (Stop) input()      {}
