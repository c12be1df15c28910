package rest

// Status answers GET /v1/status with an overview of the system as the answering VM
// sees it.
type Status struct {
	// VM is the answering VM.
	VM     string `json:"vm"`
	Centre string `json:"centre"`
	Ready  bool   `json:"ready"`
	// NotReady is the reason why the VM is not ready; empty if it is.
	NotReady string   `json:"notReady,omitempty"`
	InEffect InEffect `json:"inEffect"`
	// Last is the newest accepted operator command; nil if there is none.
	Last    *Change  `json:"last,omitempty"`
	Groups  []Group  `json:"groups"`
	Centres []Centre `json:"centres"`
	VMs     []VM     `json:"vms"`
	// Services lists the services in the data centre of the answering VM.
	Services []Service `json:"services"`
	// Problems lists conditions that need attention, the most urgent first.
	Problems []Problem `json:"problems"`
}

// Group is a replication group as the answering VM sees it.
type Group struct {
	Name string `json:"name"`
	// Leader is empty if none is known.
	Leader string `json:"leader,omitempty"`
	Term   uint64 `json:"term"`
	// Applied is the index of the last applied log entry.
	Applied uint64   `json:"applied"`
	Voters  []string `json:"voters"`
}

// Service is one service on the request path.
type Service struct {
	Name string `json:"name"`
	// Backends is the number of backend servers.
	Backends int `json:"backends"`
	// InFlight is the number of slots that requests of the answering VM use, including
	// requests that expired or were cancelled while they ran.
	InFlight int `json:"inFlight"`
	// Queued is the number of requests that wait for a slot. VMs do not report it, so
	// it is always 0.
	Queued int `json:"queued"`
	// P99Ms is the 99th percentile latency, which VMs do not report either, and
	// TailTargetMs its target in the active preset.
	P99Ms        int64 `json:"p99Ms"`
	TailTargetMs int64 `json:"tailTargetMs"`
}

// Problem is a condition that needs attention.
type Problem struct {
	// Kind is in camel case, such as centreUnreachable.
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	// Advice is what to do about the problem, such as the command that solves it, or
	// says that nothing is needed.
	Advice string `json:"advice,omitempty"`
}

// Event is one event of the timeline.
type Event struct {
	// TimeMs and Count are the timestamp of a hybrid logical clock: milliseconds since
	// 1970 and a counter, which orders events with the same milliseconds. Events are
	// ordered by these two, in which order causes come before effects.
	TimeMs int64  `json:"timeMs"`
	Count  uint16 `json:"count"`
	// VM recorded the event; Sequence is the event's number on that VM.
	VM       string `json:"vm"`
	Sequence uint64 `json:"sequence"`
	Kind     string `json:"kind"`
	// SubjectVM is the VM that the event is about.
	SubjectVM string            `json:"subjectVm,omitempty"`
	Centre    string            `json:"centre,omitempty"`
	Job       string            `json:"job,omitempty"`
	Task      string            `json:"task,omitempty"`
	Request   string            `json:"request,omitempty"`
	Worker    string            `json:"worker,omitempty"`
	Backend   string            `json:"backend,omitempty"`
	Fields    map[string]string `json:"fields,omitempty"`
}

// EventList answers GET /v1/events with the events that the answering VM itself
// recorded, oldest first.
type EventList struct {
	VM     string  `json:"vm"`
	Events []Event `json:"events"`
	// Next is the value of the parameter "after" for the next query: the sequence of
	// the last event that was examined, whether it matched the query or not. It equals
	// "after" of this query if there are no further events.
	Next uint64 `json:"next"`
	// Epoch is an opaque text that changes with each start of the VM, which
	// then numbers its events from 1 again.
	Epoch string `json:"epoch,omitempty"`
	// Dropped is the number of events after the requested sequence that the VM no
	// longer stores.
	Dropped uint64 `json:"dropped,omitempty"`
}
