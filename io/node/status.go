package node

import (
	"context"
	"time"

	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/core/route"
	"guavarail/io/admin"
	"guavarail/io/rest"
	"guavarail/io/wire"
)

// Status returns the state of the system as seen by this VM. It fails before the
// first fleet state.
func (loc *localInfo) Status(ctx context.Context) (rest.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	vie := loc.nod.view.Load()
	if vie == nil {
		return rest.Status{}, &admin.NotReadyError{}
	}
	fleetSta, err := loc.fleetStatus(ctx)
	if err != nil {
		return rest.Status{}, err
	}
	grps, err := loc.groupStates(ctx)
	if err != nil {
		return rest.Status{}, err
	}
	notReady := loc.NotReadyReason()
	out := rest.Status{
		VM: string(loc.nod.self), Centre: string(loc.nod.centre), Ready: notReady == "", NotReady: notReady,
		InEffect: fleetSta.inEffect, Last: rest.NewChange(fleetSta.lastChange),
	}
	states := loc.nod.memberStates()
	sums := loc.nod.summaries(ctx, vie, states)
	for _, grp := range grps {
		out.Groups = append(out.Groups, groupRow(grp))
	}
	out.VMs = vmRows(vie, states, out.Groups)
	out.Centres = loc.centreRows(vie, sums)
	out.Services = loc.serviceRows(vie)
	out.Problems = problems(out)
	return out, nil
}

// groupRow returns the row of a group as seen by its replica on this VM.
func groupRow(grp groupState) rest.Group {
	row := rest.Group{Name: grp.name, Leader: string(grp.role.Leader()), Term: grp.role.Term(), Applied: grp.role.Applied()}
	for _, mem := range grp.members.List() {
		if mem.Voter() {
			row.Voters = append(row.Voters, string(mem.VM()))
		}
	}
	return row
}

// vmRows returns the row of each VM. A VM is unreachable unless its state is alive
// or suspect. Its row lists only those groups of grps that it leads.
func vmRows(vie *view, states map[model.VMID]member.State, grps []rest.Group) []rest.VM {
	var out []rest.VM
	for _, vmi := range vie.vms {
		row := rest.NewVM(vmi)
		row.State = "unreachable"
		if sta := states[vmi.Name()]; sta == member.Alive || sta == member.Suspect {
			row.State = sta.String()
		}
		for _, grp := range grps {
			if grp.Leader == row.Name {
				row.Leads = append(row.Leads, grp.Name)
			}
		}
		out = append(out, row)
	}
	return out
}

// centreRows returns the row of each data centre. A data centre without a summary
// is unreachable.
func (loc *localInfo) centreRows(vie *view, sums map[model.CentreID]*wire.SummaryReply) []rest.Centre {
	var out []rest.Centre
	for _, cen := range vie.centres {
		sum, ok := sums[cen.Name()]
		row := rest.Centre{
			Name: string(cen.Name()), Service: rest.ServiceIn, AdmitPercent: int(sum.GetAdmitPercent()), Reachable: ok,
			Leader: sum.GetLeader(), VMs: len(vie.centreVMs(cen.Name())), By: rest.NewChange(cen.ChangedBy()),
			RunningTasks: int(sum.GetRunningTasks()), WaitingTasks: int(sum.GetWaitingTasks()),
		}
		switch {
		case cen.Out():
			row.Service = rest.ServiceOut
		case ok && row.AdmitPercent < 100:
			row.Service = rest.ServiceReturning
		}
		out = append(out, row)
	}
	return out
}

// serviceRows returns, for each service, its tail latency target, the number of
// backend servers that were announced to this VM, and the requests that this VM
// has in flight to them. It returns nil if the request path does not answer.
func (loc *localInfo) serviceRows(vie *view) []rest.Service {
	sts, err := loc.nod.entry.Servers(time.Second)
	if err != nil {
		return nil
	}
	var out []rest.Service
	index := map[model.ServiceID]int{}
	for _, sta := range sts {
		name := sta.Backend().Service()
		pos, ok := index[name]
		if !ok {
			pos = len(out)
			index[name] = pos
			target := vie.preset.Service(name).TailTarget()
			out = append(out, rest.Service{Name: string(name), TailTargetMs: target.Milliseconds()})
		}
		addServer(&out[pos], sta)
	}
	return out
}

// addServer adds a backend server to the totals of its service.
func addServer(row *rest.Service, sta route.Status) {
	row.Backends++
	row.InFlight += sta.SlotsInUse()
}

// problems lists the conditions that an operator has to see: those of groups
// first, then those of data centres, then those of VMs.
func problems(sta rest.Status) []rest.Problem {
	var out []rest.Problem
	add := func(kind, detail, advice string) {
		out = append(out, rest.Problem{Kind: kind, Detail: detail, Advice: advice})
	}
	for _, grp := range sta.Groups {
		if grp.Leader == "" {
			add("noLeader", "group "+grp.Name+" has no leader that this VM knows", "wait a few seconds; then look at the VMs that are unreachable")
		}
	}
	for _, cen := range sta.Centres {
		if !cen.Reachable {
			add("centreUnreachable", "data centre "+cen.Name+" does not answer", "none is needed for a short partition; it starts no task meanwhile")
		}
		if cen.Service == rest.ServiceOut {
			add("centreOut", "data centre "+cen.Name+" is out of service", "guavarail centre in "+cen.Name)
		}
	}
	for _, vmi := range sta.VMs {
		switch {
		case vmi.State == "unreachable":
			add("vmUnreachable", "VM "+vmi.Name+" does not answer", "restart it, or guavarail vm replace "+vmi.Name)
		case vmi.Disk && vmi.Role == "learner":
			add("vmLearning", "VM "+vmi.Name+" has a new disk and does not vote yet", "none; it votes once it has the whole state")
		}
	}
	return out
}
