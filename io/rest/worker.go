package rest

// Worker is the body of one worker.
type Worker struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	Rack   string `json:"rack"`
	// State is ready, suspect, quarantined, probation or unresponsive.
	State     string    `json:"state"`
	Size      Resources `json:"size"`
	Committed Resources `json:"committed"`
	Tasks     int       `json:"tasks"`
	// ReportAgeMs is the time since the last report.
	ReportAgeMs int64 `json:"reportAgeMs"`
	// QuarantineMs is the rest of the quarantine.
	QuarantineMs int64 `json:"quarantineMs,omitempty"`
	// Reason says why the worker gets no tasks.
	Reason string `json:"reason,omitempty"`
}

// WorkerList answers GET /v1/workers.
type WorkerList struct {
	Workers     []Worker `json:"workers"`
	Unreachable []string `json:"unreachable,omitempty"`
}

// WorkerReport is the body of POST /v1/workers/report.
type WorkerReport struct {
	Worker string    `json:"worker"`
	Rack   string    `json:"rack"`
	Size   Resources `json:"size"`
	// Sequence grows with each report, so that a late one is recognised.
	Sequence uint64 `json:"sequence"`
	// WaitMs is how long the answer may wait for orders, 1000 at most.
	WaitMs   int64     `json:"waitMs,omitempty"`
	Attempts []Attempt `json:"attempts"`
}

// Attempt is what a worker knows about one attempt.
type Attempt struct {
	// Task is JOB/INDEX.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// State is starting, running, stopping or ended.
	State string `json:"state"`
	// Outcome of an attempt that ended: succeeded, failed, stopped or
	// notStarted.
	Outcome string `json:"outcome,omitempty"`
	// Usage was measured UsageAgeMs before the report; unset while unknown.
	Usage      *Resources `json:"usage,omitempty"`
	UsageAgeMs int64      `json:"usageAgeMs,omitempty"`
	// SlowdownPercent of the services on the worker, 0 while unknown.
	SlowdownPercent int `json:"slowdownPercent,omitempty"`
	// Checkpoint is the newest checkpoint that the attempt took.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Resumed is the checkpoint that the attempt resumed from.
	Resumed *Checkpoint `json:"resumed,omitempty"`
	// Unreadable reports that the checkpoint of the order was unreadable
	// and the attempt fell back to Resumed.
	Unreadable bool `json:"unreadable,omitempty"`
}

// WorkerOrders answers a report.
type WorkerOrders struct {
	// LeaseMs is the task lease of every reported attempt in Leases, counted
	// by the worker from the time it sent the report.
	LeaseMs int64   `json:"leaseMs"`
	Leases  []Lease `json:"leases"`
	Orders  []Order `json:"orders"`
}

// Lease renews the lease of one attempt.
type Lease struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// Order tells a worker to act on one attempt.
type Order struct {
	// Kind is start, stop, checkpoint, throttle or restore.
	Kind    string `json:"kind"`
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// IssuedAfterMs is the time between the receipt of the report and the
	// issue of the order. A worker carries out a start only before it sent
	// the report, plus IssuedAfterMs, plus 500 ms.
	IssuedAfterMs int64 `json:"issuedAfterMs"`
	// Size is the commitment, for start.
	Size *Resources `json:"size,omitempty"`
	// JobKind names what the task does, for start.
	JobKind string `json:"jobKind,omitempty"`
	// Checkpoint is what a start resumes from.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Percent of its processors that a throttled attempt may use.
	Percent int    `json:"percent,omitempty"`
	Reason  string `json:"reason,omitempty"`
}
