package rest

// Status answers GET /v1/status: the state of the system on one screen.
type Status struct {
	// VM is the answering VM.
	VM     string `json:"vm"`
	Centre string `json:"centre"`
	Ready  bool   `json:"ready"`
	// NotReady says why the VM is not ready.
	NotReady string   `json:"notReady,omitempty"`
	InEffect InEffect `json:"inEffect"`
	Last     *Change  `json:"last,omitempty"`
	Groups   []Group  `json:"groups"`
	Centres  []Centre `json:"centres"`
	VMs      []VM     `json:"vms"`
	// Services of the data centre of the answering VM.
	Services []Service `json:"services"`
	// Problems lists what needs attention, the most urgent first.
	Problems []Problem `json:"problems"`
}

// Group is a replication group as the answering VM sees it.
type Group struct {
	Name string `json:"name"`
	// Leader is empty while none is known.
	Leader  string   `json:"leader,omitempty"`
	Term    uint64   `json:"term"`
	Applied uint64   `json:"applied"`
	Voters  []string `json:"voters"`
}

// Service is one service on the request path.
type Service struct {
	Name         string `json:"name"`
	Backends     int    `json:"backends"`
	InFlight     int    `json:"inFlight"`
	Queued       int    `json:"queued"`
	P99Ms        int64  `json:"p99Ms"`
	TailTargetMs int64  `json:"tailTargetMs"`
}

// Problem is something that needs attention.
type Problem struct {
	// Kind is in camel case, such as centreUnreachable.
	Kind   string `json:"kind"`
	Detail string `json:"detail"`
	// Advice names the command that helps, or says that none is needed.
	Advice string `json:"advice,omitempty"`
}

// Event is one thing that happened.
type Event struct {
	// TimeMs and Count are the hybrid clock: milliseconds since 1970 and a
	// counter. Causes come before effects in the order of the two.
	TimeMs int64  `json:"timeMs"`
	Count  uint16 `json:"count"`
	// VM recorded the event, as its event number Sequence.
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

// EventList answers GET /v1/events, which returns the events that the answering
// VM itself recorded, oldest first.
type EventList struct {
	VM     string  `json:"vm"`
	Events []Event `json:"events"`
	// Next is the value of after for the following events: the sequence of
	// the last event that was looked at, whether it matched or not. It equals
	// after when there are no further events.
	Next uint64 `json:"next"`
	// Epoch is an opaque text that changes with each start of the VM, which
	// numbers its events from 1 again.
	Epoch string `json:"epoch,omitempty"`
	// Dropped counts events after the given sequence that are no longer
	// kept.
	Dropped uint64 `json:"dropped,omitempty"`
}
