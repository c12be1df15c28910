// Package worker is a stand-in for a worker VM of the platform and the backend
// server on it. It follows the API of the system as a correct worker does, and
// can be told to misbehave.
package worker

// Mode is a set of ways to misbehave.
type Mode uint16

const (
	// Slow lets tasks and requests take SlowFactor times as long.
	Slow Mode = 1 << iota
	// FailTasks lets every task fail shortly after its start.
	FailTasks
	// Vanished is a VM that is lost: its tasks are gone and it neither sends
	// nor accepts anything. Without the mode again it is an empty new VM.
	Vanished
	// Silent is a VM that is cut off: its tasks go on, and nothing is sent.
	Silent
	// Late delays the answers that the worker receives and those that the
	// backend server gives.
	Late
	// Truncate ends responses of the backend server half way.
	Truncate
	// Refuse lets the backend server confirm that it did not run a request.
	Refuse
	// Unreadable lets tasks find their newest checkpoint unreadable.
	Unreadable
)

// SlowFactor is the factor of the mode Slow.
const SlowFactor = 4

// has reports whether all modes of one are in mo.
func (mo Mode) has(one Mode) bool { return mo&one == one }

// with returns mo with one added or removed.
func (mo Mode) with(one Mode, on bool) Mode {
	if on {
		return mo | one
	}
	return mo &^ one
}
