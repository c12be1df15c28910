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
	// QuarantineMs is the time until the quarantine ends.
	QuarantineMs int64 `json:"quarantineMs,omitempty"`
	// Reason is the reason why the worker gets no tasks.
	Reason string `json:"reason,omitempty"`
}

// WorkerList answers GET /v1/workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
	// Unreachable lists data centres whose workers are missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

// WorkerReport is the body of POST /v1/workers/report.
type WorkerReport struct {
	Worker string    `json:"worker"`
	Rack   string    `json:"rack"`
	Size   Resources `json:"size"`
	// Tag is the tag of the last answer that the worker received, by which a
	// delayed report is recognised; 0 before the first.
	Tag      uint64    `json:"tag,omitempty"`
	Attempts []Attempt `json:"attempts"`
}

// Attempt is a worker's report on one attempt to run a task.
type Attempt struct {
	// Task is JOB/INDEX.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// State is running, succeeded, failed, stopped or rejected. An attempt
	// that is being stopped is running. Rejected means that the start order
	// arrived too late, or that its attempt number is not higher than one that
	// the worker already received for the task.
	State string `json:"state"`
	// Usage was measured UsageAgeMs before the report; unset while unknown.
	Usage      *Resources `json:"usage,omitempty"`
	UsageAgeMs int64      `json:"usageAgeMs,omitempty"`
	// SlowdownPercent is the slowdown of the services on the worker; 0 while
	// unknown.
	SlowdownPercent int `json:"slowdownPercent,omitempty"`
	// Checkpoint is the newest checkpoint that the attempt has written.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Resumed is the checkpoint from which the attempt resumed: the fallback if
	// the newer one was unreadable.
	Resumed *Checkpoint `json:"resumed,omitempty"`
}

// WorkerOrders answers a report.
type WorkerOrders struct {
	// Tag is to be sent with the worker's next report.
	Tag uint64 `json:"tag"`
	// LeaseMs is the duration of the leases in Leases. It starts when the worker
	// sent the report.
	LeaseMs int64   `json:"leaseMs"`
	Leases  []Lease `json:"leases"`
	Orders  []Order `json:"orders"`
}

// Lease identifies an attempt whose lease is renewed.
type Lease struct {
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
}

// Order is an instruction to a worker on one attempt.
type Order struct {
	// Kind is start, stop, checkpoint, throttle or forget. After forget the
	// worker no longer reports the attempt.
	Kind    string `json:"kind"`
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// IssuedAfterMs is the time from the receipt of the report to the issue of
	// the order. A worker may carry out a start until IssuedAfterMs plus 500 ms
	// after it sent the report, and rejects it later.
	IssuedAfterMs int64 `json:"issuedAfterMs"`
	// Size is the commitment for start and the limit for throttle; a throttle
	// order without a size removes the limit.
	Size *Resources `json:"size,omitempty"`
	// JobKind is the kind of the job, for start.
	JobKind string `json:"jobKind,omitempty"`
	// Priority is the priority of the job, for start.
	Priority string `json:"priority,omitempty"`
	// Checkpoint is the checkpoint from which a start resumes, and Fallback the
	// one to use if it cannot be read.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	Fallback   *Checkpoint `json:"fallback,omitempty"`
	// GraceMs is the time that a stopped attempt has to write a checkpoint.
	GraceMs int64 `json:"graceMs,omitempty"`
}
