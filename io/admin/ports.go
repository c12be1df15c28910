package admin

import (
	"context"

	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/sched"
	"guavarail/io/rest"
)

// Fleet is the port to the fleet group.
type Fleet interface {
	// Propose has a command decided. The error is an Elsewhere when this VM
	// does not lead the group.
	Propose(ctx context.Context, cmd fleet.Command) (fleet.Result, error)
	// Read returns what fn reads from the newest state. The error is an
	// Elsewhere when this VM does not lead the group. fn must not keep the
	// state.
	Read(ctx context.Context, fn func(sta *fleet.State) any) (any, error)
	// Do runs fn with the state that this VM holds, on the actor that owns it,
	// and returns at once. fn must not keep the state.
	Do(fn func(sta *fleet.State))
}

// Tasks is the port to the group of this VM's data centre. Every method
// returns an Elsewhere when another VM has to answer.
type Tasks interface {
	// Propose has one operation decided.
	Propose(ctx context.Context, op sched.Op) (sched.Verdict, error)
	// Read returns what fn reads from the state of the leader. fn must not keep
	// the state.
	Read(ctx context.Context, fn func(vie CentreReader) any) (any, error)
	// Report passes on the report of a worker and waits for its answer. The
	// port sets the identifier of the poll.
	Report(ctx context.Context, rep sched.ReportSpec) (sched.Answer, error)
}

// CentreReader is what the leader of a data centre knows of its jobs and workers.
type CentreReader interface {
	Job(id model.JobID) (rest.Job, bool)
	Jobs() []rest.Job
	Workers() []rest.Worker
}

// Backends is the port to the request path.
type Backends interface {
	Announce(ann rest.BackendAnnounce) error
	Leave(lea rest.BackendLeave) error
}

// Local is the port to what this VM knows about itself and its neighbours.
type Local interface {
	Status(ctx context.Context) (rest.Status, error)
	// Events returns the events that this VM recorded after the given number.
	Events(after uint64, fil event.Filter, limit int) (event.Page, error)
	// NotReadyReason returns why this VM is not ready for callers, or "".
	NotReadyReason() string
	// ReachableVM returns a VM of another data centre that can be reached.
	ReachableVM(centre model.CentreID) (model.VMID, bool)
	// Centres returns the data centres of the fleet.
	Centres() []model.CentreID
}

// Ports are what the API needs.
type Ports struct {
	Self     model.VMID
	Centre   model.CentreID
	Fleet    Fleet
	Tasks    Tasks
	Backends Backends
	Local    Local
	Forward  Forwarder
}

// readFleet returns what fn reads from the newest fleet state, so that an
// operator sees the number of the command just sent. Without a leader, as in a
// partition, it is the state that this VM holds.
func readFleet[T any](ctx context.Context, fle Fleet, fn func(sta *fleet.State) T) (T, error) {
	val, err := fle.Read(ctx, func(sta *fleet.State) any { return fn(sta) })
	var els Redirect
	if errors.As(err, &els) && (els.Leader() == "" || isLocal(ctx)) {
		return readHeld(ctx, fle, fn)
	}
	out, _ := val.(T)
	return out, err
}

// readHeld returns what fn reads from the fleet state that this VM holds.
func readHeld[T any](ctx context.Context, fle Fleet, fn func(sta *fleet.State) T) (T, error) {
	reply := make(chan T, 1)
	fle.Do(func(sta *fleet.State) { reply <- fn(sta) })
	select {
	case val := <-reply:
		return val, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// readTasks returns what fn reads from the state of the data centre's leader.
func readTasks[T any](ctx context.Context, tas Tasks, fn func(vie CentreReader) T) (T, error) {
	val, err := tas.Read(ctx, func(vie CentreReader) any { return fn(vie) })
	out, _ := val.(T)
	return out, err
}
