package node

import (
	"context"
	"time"

	"guavarail/core/event"
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/admin"
	"guavarail/io/rest"
)

// statusTimeout bounds the wait for the parts of the status.
const statusTimeout = time.Second

// local answers what this VM knows about itself. It implements admin.Local.
type local struct {
	nod *Node
}

// Ready returns why this VM is not ready for callers, or "".
func (loc *local) Ready() string {
	switch {
	case loc.nod.view.Load() == nil:
		return "no fleet state yet"
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

// Neighbour returns a VM of another data centre.
func (loc *local) Neighbour(name model.CentreID) (model.VMID, bool) {
	vie := loc.nod.view.Load()
	if vie == nil || name == loc.nod.centre {
		return "", false
	}
	vms := vie.members(name)
	if len(vms) == 0 {
		return "", false
	}
	return vms[0], true
}

// Events returns the events that this VM recorded after the given number.
func (loc *local) Events(after uint64, fil event.Filter, limit int) (event.Page, error) {
	start, err := loc.nod.rec.Page(event.Position{}, event.Filter{}, 1)
	if err != nil {
		return event.Page{}, err
	}
	return loc.nod.rec.Page(event.NewPosition(start.Next().Epoch(), after), fil, limit)
}

// Status returns the state of the system as this VM sees it.
func (loc *local) Status(ctx context.Context) (rest.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	out := make(chan rest.Status, 1)
	loc.nod.fleet.ref.Do(func(_ model.Instant, rol quorum.Role, sta *fleet.State) { out <- loc.status(rol, sta) })
	select {
	case sta := <-out:
		return sta, nil
	case <-ctx.Done():
		return rest.Status{}, ctx.Err()
	}
}

func (loc *local) status(rol quorum.Role, sta *fleet.State) rest.Status {
	why := loc.Ready()
	out := rest.Status{
		VM: string(loc.nod.self), Centre: string(loc.nod.centre), Ready: why == "", NotReady: why,
		InEffect: admin.InEffect(sta), Last: rest.NewChange(sta.Last()),
		Groups: []rest.Group{{Name: fleetGroup, Leader: string(rol.Leader()), Term: rol.Term(), Applied: rol.Applied()}},
	}
	for _, vmi := range sta.FleetVoters() {
		out.Groups[0].Voters = append(out.Groups[0].Voters, string(vmi.Name()))
	}
	counts := map[model.CentreID]int{}
	for _, vmi := range sta.VMs() {
		counts[vmi.Centre()]++
		out.VMs = append(out.VMs, rest.NewVM(vmi))
	}
	for _, cen := range sta.Centres() {
		row := rest.Centre{
			Name: string(cen.Name()), Service: rest.ServiceIn, AdmitPercent: 100, VMs: counts[cen.Name()], By: rest.NewChange(cen.By()),
		}
		if cen.Out() {
			row.Service, row.AdmitPercent = rest.ServiceOut, 0
		}
		out.Centres = append(out.Centres, row)
	}
	return out
}
