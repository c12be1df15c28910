// Package worker simulates a worker VM of the platform and its backend server. It
// uses the API of the system like a correct worker, and can inject faults.
package worker

// Mode is a set of injected faults.
type Mode uint16

const (
	// Slow makes tasks and requests take SlowFactor times as long.
	Slow Mode = 1 << iota
	// FailTasks makes every task that starts fail after 100 ms.
	FailTasks
	// Vanished simulates the loss of the VM: its tasks end, and it neither sends
	// nor accepts anything. Clearing the fault simulates an empty replacement VM.
	Vanished
	// Silent simulates a network partition: tasks keep running, and the VM sends
	// nothing.
	Silent
	// Late delays the responses to the worker and those of the backend server.
	Late
	// Truncate makes the backend server close the connection after half of each
	// response.
	Truncate
	// Refuse makes the backend server reject each request and confirm that it
	// did not run.
	Refuse
	// Unreadable makes the newest checkpoint of each task unreadable.
	Unreadable
)

// SlowFactor is by how much the fault Slow lengthens tasks and requests.
const SlowFactor = 4

// has reports whether all faults of one are set in mo.
func (mo Mode) has(one Mode) bool { return mo&one == one }

// with returns mo with the faults of one set or cleared.
func (mo Mode) with(one Mode, on bool) Mode {
	if on {
		return mo | one
	}
	return mo &^ one
}
