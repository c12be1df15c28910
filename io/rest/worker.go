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
	// Tag is the tag of the last answer that the worker received, so that a
	// late report is recognised; 0 before the first.
	Tag      uint64    `json:"tag,omitempty"`
	Attempts []Attempt `json:"attempts"`
}

// Attempt is what a worker knows about one attempt.
type Attempt struct {
	// Task is JOB/INDEX.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// State is running, succeeded, failed, stopped or rejected. An attempt
	// that is being stopped is running; rejected means that the start order
	// came too late or names an attempt that is not newer than one seen.
	State string `json:"state"`
	// Usage was measured UsageAgeMs before the report; unset while unknown.
	Usage      *Resources `json:"usage,omitempty"`
	UsageAgeMs int64      `json:"usageAgeMs,omitempty"`
	// SlowdownPercent of the services on the worker, 0 while unknown.
	SlowdownPercent int `json:"slowdownPercent,omitempty"`
	// Checkpoint is the newest checkpoint that the attempt took.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Resumed is the checkpoint that the attempt resumed from; the fallback
	// when the newer one was unreadable.
	Resumed *Checkpoint `json:"resumed,omitempty"`
}

// WorkerOrders answers a report.
type WorkerOrders struct {
	// Tag is repeated by the worker in its next report.
	Tag uint64 `json:"tag"`
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
	// Kind is start, stop, checkpoint, throttle or forget. After forget the
	// worker reports the attempt no more.
	Kind    string `json:"kind"`
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// IssuedAfterMs is the time between the receipt of the report and the
	// issue of the order. A worker carries out a start only before it sent
	// the report, plus IssuedAfterMs, plus 500 ms.
	IssuedAfterMs int64 `json:"issuedAfterMs"`
	// Size is the commitment for start and the limit for throttle; a throttle
	// without a size lifts the limit.
	Size *Resources `json:"size,omitempty"`
	// JobKind names what the task does, for start.
	JobKind string `json:"jobKind,omitempty"`
	// Priority of the job, for start.
	Priority string `json:"priority,omitempty"`
	// Checkpoint is what a start resumes from, and Fallback what it uses when
	// that cannot be read.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	Fallback   *Checkpoint `json:"fallback,omitempty"`
	// GraceMs is how long a stop may take to write a checkpoint.
	GraceMs int64 `json:"graceMs,omitempty"`
}
