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

// statusTimeout bounds the wait for the parts of the status.
const statusTimeout = 2 * time.Second

// settleTime is how long a VM collects announcements, which backend servers
// repeat every second, before it takes callers.
const settleTime = 1500 * time.Millisecond

// local answers what this VM knows about itself. It implements admin.Local.
type local struct {
	nod *Node
}

// NotReadyReason returns why this VM is not ready for callers, or "".
func (loc *local) NotReadyReason() string {
	switch {
	case loc.nod.view.Load() == nil:
		return "no fleet state yet"
	case loc.nod.clock().Sub(model.Instant(loc.nod.informed.Load())) < settleTime:
		return "collecting the announcements of backend servers"
	case !loc.nod.entry.Ready():
		return "shutting down"
	}
	return ""
}

// Centres returns the data centres of the fleet.
func (loc *local) Centres() []model.CentreID {
	if vie := loc.nod.view.Load(); vie != nil {
		return vie.names()
	}
	return nil
}

// ReachableVM returns a VM of another data centre that is believed to be alive.
func (loc *local) ReachableVM(name model.CentreID) (model.VMID, bool) {
	vie := loc.nod.view.Load()
	if vie == nil || name == loc.nod.centre {
		return "", false
	}
	return loc.nod.liveMember(vie, name, loc.nod.states())
}

// Events returns the events that this VM recorded after the given number.
func (loc *local) Events(after uint64, fil event.Filter, limit int) (event.Page, error) {
	start, err := loc.nod.rec.Page(event.Position{}, event.Filter{}, 1)
	if err != nil {
		return event.Page{}, err
	}
	return loc.nod.rec.Page(event.NewPosition(start.Next().Epoch(), after), fil, limit)
}

// groupState is what this VM knows about one of its groups.
type groupState struct {
	name    string
	role    quorum.Role
	members quorum.Members
}

// groupStates returns the two groups of this VM.
func (loc *local) groupStates(ctx context.Context) ([]groupState, error) {
	nod := loc.nod
	fle := groupState{name: fleetGroup}
	cen := groupState{name: groupName(nod.centre)}
	var err error
	if fle.members, err = nod.fleet.ref.Members(ctx); err != nil {
		return nil, err
	}
	if cen.members, err = nod.own.ref.Members(ctx); err != nil {
		return nil, err
	}
	roles := make(chan quorum.Role, 1)
	nod.fleet.ref.Do(func(_ model.Instant, rol quorum.Role, _ *fleet.State) { roles <- rol })
	if fle.role, err = next(ctx, roles); err != nil {
		return nil, err
	}
	nod.own.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) { roles <- rol })
	if cen.role, err = next(ctx, roles); err != nil {
		return nil, err
	}
	return []groupState{fle, cen}, nil
}

// next returns the next value of a channel, or the error of ctx.
func next[T any](ctx context.Context, vals <-chan T) (T, error) {
	select {
	case val := <-vals:
		return val, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// heldFleet is the part of the status that comes from the fleet state.
type heldFleet struct {
	inEffect rest.InEffect
	last     fleet.Change
}

func (loc *local) heldFleet(ctx context.Context) (heldFleet, error) {
	vals := make(chan heldFleet, 1)
	loc.nod.fleet.ref.Do(func(_ model.Instant, _ quorum.Role, sta *fleet.State) {
		vals <- heldFleet{inEffect: admin.InEffect(sta), last: sta.LastChange()}
	})
	return next(ctx, vals)
}
