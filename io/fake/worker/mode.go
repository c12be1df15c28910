// Package worker is a stand-in for a worker VM of the platform and the backend
// server on it. It follows the API of the system as a correct worker does, and
// can be told to misbehave.
package worker

// Faults is a set of ways to misbehave.
type Faults uint16

const (
	// Slow lets tasks and requests take SlowFactor times as long.
	Slow Faults = 1 << iota
	// FailTasks lets every task fail shortly after its start.
	FailTasks
	// VMLost is a VM that is lost: its tasks are gone and it neither sends
	// nor accepts anything. Without the mode again it is an empty new VM.
	VMLost
	// Partitioned is a VM that is cut off: its tasks go on, and nothing is sent.
	Partitioned
	// Delayed delays the answers that the worker receives and those that the
	// backend server gives.
	Delayed
	// TruncateResponses ends responses of the backend server half way.
	TruncateResponses
	// RejectRequests lets the backend server confirm that it did not run a request.
	RejectRequests
	// UnreadableCheckpoint lets tasks find their newest checkpoint unreadable.
	UnreadableCheckpoint
)

// SlowFactor is the factor of the mode Slow.
const SlowFactor = 4

// has reports whether all modes of one are in mo.
func (mo Faults) has(one Faults) bool { return mo&one == one }

// with returns mo with one added or removed.
func (mo Faults) with(one Faults, on bool) Faults {
	if on {
		return mo | one
	}
	return mo &^ one
}
