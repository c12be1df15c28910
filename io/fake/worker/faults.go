// Package worker simulates a worker VM of the platform and its backend server. It
// uses the API of the system like a correct worker, and can inject faults.
//
// A worker sends reports on its attempts to run batch tasks to an entry VM, a VM
// that runs the scheduler. The response has orders, such as to start or stop an
// attempt, and renews leases: an attempt may only run until its lease expires. The
// backend server serves the requests of one service, and is announced to the entry
// VMs separately.
package worker

// Faults is a set of injected faults.
type Faults uint16

const (
	// Slow makes tasks and requests take SlowFactor times as long.
	Slow Faults = 1 << iota
	// FailTasks makes every task that starts while it is set fail after 100 ms.
	FailTasks
	// VMLost simulates the loss of the VM: its tasks end, and it neither sends nor
	// accepts anything. Clearing the fault simulates an empty replacement VM.
	VMLost
	// Partitioned simulates a network partition: tasks keep running, and the VM
	// sends nothing.
	Partitioned
	// Delayed delays by Config.Delay the responses to the worker's reports and the
	// responses of the backend server.
	Delayed
	// TruncateResponses makes the backend server close the connection after half
	// of each response.
	TruncateResponses
	// RejectRequests makes the backend server reject each request and confirm
	// that it did not run.
	RejectRequests
	// UnreadableCheckpoint makes the newest checkpoint of each task unreadable, so
	// that attempts start from the fallback in the start order.
	UnreadableCheckpoint
)

// SlowFactor is the factor by which the fault Slow multiplies the run time of tasks
// and requests.
const SlowFactor = 4

// has reports whether all faults of oth are set in fas.
func (fas Faults) has(oth Faults) bool { return fas&oth == oth }

// with returns fas with the faults of oth set or cleared.
func (fas Faults) with(oth Faults, on bool) Faults {
	if on {
		return fas | oth
	}
	return fas &^ oth
}
