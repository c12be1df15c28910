package node

import (
	"context"
	"time"

	"guavarail/core/centre"
	"guavarail/core/event"
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/admin"
	"guavarail/io/rest"
)

// statusTimeout bounds the collection of the status.
const statusTimeout = 2 * time.Second

// announceCollectTime is how long a VM collects the announcements of backend
// servers before it reports that it is ready for callers. Backend servers
// announce every second, so it receives at least one announcement of each.
const announceCollectTime = 1500 * time.Millisecond

// localInfo provides the state of this VM to the API. It implements
// admin.Local.
type localInfo struct {
	nod *Node
}

// NotReadyReason returns why this VM is not ready for callers, or "" if it is
// ready.
func (loc *localInfo) NotReadyReason() string {
	switch {
	case loc.nod.view.Load() == nil:
		return "no fleet state yet"
	case loc.nod.clock().Sub(model.Instant(loc.nod.firstViewAt.Load())) < announceCollectTime:
		return "collecting the announcements of backend servers"
	case !loc.nod.entry.Ready():
		return "shutting down"
	}
	return ""
}

// Centres returns the names of all data centres of the fleet, or nil before the
// first fleet state.
func (loc *localInfo) Centres() []model.CentreID {
	if vie := loc.nod.view.Load(); vie != nil {
		return vie.centreNames()
	}
	return nil
}

// ReachableVM returns a VM of another data centre that the failure detector
// reports as alive, and false if there is none or name is the data centre of this
// VM.
func (loc *localInfo) ReachableVM(name model.CentreID) (model.VMID, bool) {
	vie := loc.nod.view.Load()
	if vie == nil || name == loc.nod.centre {
		return "", false
	}
	return loc.nod.liveMember(vie, name, loc.nod.memberStates())
}

// Events returns at most limit events that match fil, which this VM recorded
// after the given sequence number. The first query only reads the epoch, the
// start of the event log that the numbers refer to.
func (loc *localInfo) Events(after uint64, fil event.Filter, limit int) (event.Page, error) {
	start, err := loc.nod.rec.Page(event.Position{}, event.Filter{}, 1)
	if err != nil {
		return event.Page{}, err
	}
	return loc.nod.rec.Page(event.NewPosition(start.Next().Epoch(), after), fil, limit)
}

// groupState is the membership of a group, and the role of its replica on this
// VM.
type groupState struct {
	name    string
	role    quorum.Role
	members quorum.Members
}

// groupStates returns the states of the fleet group and of the group of this
// data centre.
func (loc *localInfo) groupStates(ctx context.Context) ([]groupState, error) {
	nod := loc.nod
	fle := groupState{name: fleetGroup}
	cen := groupState{name: groupName(nod.centre)}
	var err error
	if fle.members, err = nod.fleet.ref.Members(ctx); err != nil {
		return nil, err
	}
	if cen.members, err = nod.ownCentre.ref.Members(ctx); err != nil {
		return nil, err
	}
	roles := make(chan quorum.Role, 1)
	nod.fleet.ref.Do(func(_ model.Instant, rol quorum.Role, _ *fleet.State) { roles <- rol })
	if fle.role, err = receive(ctx, roles); err != nil {
		return nil, err
	}
	nod.ownCentre.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) { roles <- rol })
	if cen.role, err = receive(ctx, roles); err != nil {
		return nil, err
	}
	return []groupState{fle, cen}, nil
}

// receive waits for a value from vals or for the end of ctx.
func receive[T any](ctx context.Context, vals <-chan T) (T, error) {
	select {
	case val := <-vals:
		return val, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// fleetStatus is the part of the status that comes from the fleet state: the
// configuration in effect and the last change to it.
type fleetStatus struct {
	inEffect   rest.InEffect
	lastChange fleet.Change
}

func (loc *localInfo) fleetStatus(ctx context.Context) (fleetStatus, error) {
	vals := make(chan fleetStatus, 1)
	loc.nod.fleet.ref.Do(func(_ model.Instant, _ quorum.Role, sta *fleet.State) {
		vals <- fleetStatus{inEffect: admin.InEffect(sta), lastChange: sta.LastChange()}
	})
	return receive(ctx, vals)
}
