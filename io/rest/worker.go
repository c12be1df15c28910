package rest

// Worker is the body of one worker.
type Worker struct {
	Name   string `json:"name"`
	Centre string `json:"centre"`
	Rack   string `json:"rack"`
	// State is ready, quarantined (tasks failed here and ran elsewhere), probation
	// (after a quarantine the worker gets one task, whose outcome decides whether it is
	// ready or quarantined again) or unresponsive (the worker has stopped reporting).
	State string    `json:"state"`
	Size  Resources `json:"size"`
	// Committed is the sum of the resources that are committed to tasks.
	Committed Resources `json:"committed"`
	// Tasks is the number of these tasks.
	Tasks int `json:"tasks"`
	// ReportAgeMs is the time since the last report.
	ReportAgeMs int64 `json:"reportAgeMs"`
	// QuarantineMs is the time until the quarantine ends; 0 outside a quarantine.
	QuarantineMs int64 `json:"quarantineMs,omitempty"`
	// Reason is the reason for a State other than ready.
	Reason string `json:"reason,omitempty"`
}

// WorkerList answers GET /v1/workers.
type WorkerList struct {
	Workers []Worker `json:"workers"`
	// Unreachable lists the data centres that did not answer. Their workers are
	// missing.
	Unreachable []string `json:"unreachable,omitempty"`
}

// WorkerReport is the body of POST /v1/workers/report, the regular report of a worker
// to the leader of its data centre.
type WorkerReport struct {
	Worker string    `json:"worker"`
	Rack   string    `json:"rack"`
	Size   Resources `json:"size"`
	// Tag is the tag of the last answer that the worker received; 0 before the first
	// answer. The leader recognises a delayed report by it.
	Tag uint64 `json:"tag,omitempty"`
	// Attempts lists the attempts on the worker. One that has ended is listed until
	// the worker receives a forget order for it.
	Attempts []Attempt `json:"attempts"`
}

// Attempt is the part of a worker's report that concerns one attempt to run a task.
type Attempt struct {
	// Task is the ID of the job, a slash and the index of the task, from 0.
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// State is running, succeeded, failed, stopped or rejected. An attempt that is
	// being stopped is still running. Rejected means that the start order arrived too
	// late, or that its attempt number is not higher than one that the worker has
	// already received for the task.
	State string `json:"state"`
	// Usage is the resources that the attempt used UsageAgeMs before the report; nil
	// while unknown.
	Usage      *Resources `json:"usage,omitempty"`
	UsageAgeMs int64      `json:"usageAgeMs,omitempty"`
	// SlowdownPercent is how much the services on the worker are slowed down, in
	// percent; 0 while unknown.
	SlowdownPercent int `json:"slowdownPercent,omitempty"`
	// Checkpoint is the newest checkpoint that the attempt has written.
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
	// Resumed is the checkpoint from which the attempt resumed: Order.Fallback if
	// Order.Checkpoint was unreadable.
	Resumed *Checkpoint `json:"resumed,omitempty"`
}

// WorkerOrders answers a report.
type WorkerOrders struct {
	// Tag identifies the answer. The worker sends it with its next report.
	Tag uint64 `json:"tag"`
	// LeaseMs is the duration of the leases in Leases, counted from when the worker
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
	// Kind is start, stop, checkpoint, throttle (limit the resources of the attempt)
	// or forget (the end of the attempt is recorded, so the worker stops reporting
	// it).
	Kind    string `json:"kind"`
	Task    string `json:"task"`
	Attempt uint32 `json:"attempt"`
	// IssuedAfterMs is the time from the receipt of the report to the issue of the
	// order. A worker may carry out a start order until IssuedAfterMs plus 500 ms
	// after it sent the report. After that it rejects the order.
	IssuedAfterMs int64 `json:"issuedAfterMs"`
	// Size is the resources committed to the attempt in a start order, and the limit
	// on its usage in a throttle order. A throttle order without a size removes the
	// limit.
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
