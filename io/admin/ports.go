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

// Fleet is the port to the fleet group, the replication group of the whole system. It
// replicates the presets, the data centres and the VMs.
type Fleet interface {
	// Propose submits a command to the group and waits for its result. The error
	// is a Redirect when this VM does not lead the group.
	Propose(ctx context.Context, cmd fleet.Command) (fleet.Result, error)
	// Read returns the result of fn on the newest state. The error is a
	// Redirect when this VM does not lead the group. fn must not keep the
	// state.
	Read(ctx context.Context, fn func(sta *fleet.State) any) (any, error)
	// Do posts fn to the actor that owns this VM's copy of the state and returns
	// at once. fn must not keep the state.
	Do(fn func(sta *fleet.State))
}

// Tasks is the port to the replication group of this VM's data centre. The error
// of every method is a Redirect when another VM has to answer.
type Tasks interface {
	// Propose submits one operation to the group, waits until it is applied and
	// returns whether it was accepted.
	Propose(ctx context.Context, op sched.Op) (sched.Verdict, error)
	// Read returns the result of fn on the leader's state. fn must not keep the
	// state.
	Read(ctx context.Context, fn func(rdr CentreReader) any) (any, error)
	// Report sends the report of a worker to the leader and waits for the
	// answer. The port sets rep.Poll.
	Report(ctx context.Context, rep sched.ReportSpec) (sched.Answer, error)
}

// CentreReader reads the jobs and workers of a data centre from its leader's state.
type CentreReader interface {
	Job(id model.JobID) (rest.Job, bool)
	Jobs() []rest.Job
	Workers() []rest.Worker
}

// Backends is the port to the request path, which holds the list of announced
// backend servers.
type Backends interface {
	// Announce registers a backend server or renews its registration.
	Announce(ann rest.BackendAnnounce) error
	// Leave stops the dispatch of new requests to a backend server that shuts down
	// (P8).
	Leave(lea rest.BackendLeave) error
}

// Local is the port to the status of this VM and its view of the other VMs.
type Local interface {
	// Status returns the state of the system as this VM sees it.
	Status(ctx context.Context) (rest.Status, error)
	// Events returns at most limit events that match fil and that this VM recorded
	// after the given sequence number, in its current epoch. 0 stands for all.
	Events(after uint64, fil event.Filter, limit int) (event.Page, error)
	// NotReadyReason returns why this VM is not ready for callers, or "" if it is ready.
	NotReadyReason() string
	// ReachableVM returns a VM of centre that gossip reports as alive. It returns
	// false if there is none, or if centre is this VM's own data centre.
	ReachableVM(centre model.CentreID) (model.VMID, bool)
	// Centres returns the data centres of the fleet.
	Centres() []model.CentreID
}

// Ports are the dependencies of the API. Self and Centre are this VM and its data
// centre.
type Ports struct {
	Self     model.VMID
	Centre   model.CentreID
	Fleet    Fleet
	Tasks    Tasks
	Backends Backends
	Local    Local
	Forward  Forwarder
}

// readFleet returns the result of fn on the newest fleet state, so that an
// operator sees the configuration number of a command that just returned. If no
// leader can be reached, as in a partition, fn reads this VM's copy, which may be
// older.
func readFleet[T any](ctx context.Context, fle Fleet, fn func(sta *fleet.State) T) (T, error) {
	val, err := fle.Read(ctx, func(sta *fleet.State) any { return fn(sta) })
	var red Redirect
	if errors.As(err, &red) && (red.Leader() == "" || isLocalRead(ctx)) {
		return readLocal(ctx, fle, fn)
	}
	out, _ := val.(T)
	return out, err
}

// readLocal returns the result of fn on this VM's copy of the fleet state.
func readLocal[T any](ctx context.Context, fle Fleet, fn func(sta *fleet.State) T) (T, error) {
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

// readTasks returns the result of fn on the state of the data centre's leader.
func readTasks[T any](ctx context.Context, tas Tasks, fn func(rdr CentreReader) T) (T, error) {
	val, err := tas.Read(ctx, func(rdr CentreReader) any { return fn(rdr) })
	out, _ := val.(T)
	return out, err
}
