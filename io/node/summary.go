package node

import (
	"context"
	"time"

	"guavarail/core/centre"
	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/sched"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// summaryTimeout bounds the wait for the summaries of other data centres.
const summaryTimeout = 500 * time.Millisecond

// serveSummary registers the handler that returns the summary of this VM's data
// centre: its leader, its task counts and the percentage of admitted requests.
func serveSummary(nod *Node) {
	peer.HandleRequest(nod.mux, func(ctx context.Context, _ model.VMID, _ *wire.SummaryRequest) (*wire.SummaryReply, error) {
		return nod.summary(ctx)
	})
}

// summary returns the summary of this VM's data centre according to the replica
// on this VM, which may lag behind the leader. Tasks that are starting or stopping
// count as running.
func (nod *Node) summary(ctx context.Context) (*wire.SummaryReply, error) {
	reply := make(chan *wire.SummaryReply, 1)
	nod.ownCentre.ref.Do(func(_ model.Instant, rol quorum.Role, sta *centre.State) {
		out := &wire.SummaryReply{Leader: string(rol.Leader()), AdmitPercent: uint32(nod.admitPercent())}
		for _, jv := range sta.Tasks().Jobs() {
			out.WaitingTasks += uint32(jv.Count(sched.Waiting))
			out.RunningTasks += uint32(jv.Count(sched.Starting) + jv.Count(sched.Running) + jv.Count(sched.Stopping))
		}
		reply <- out
	})
	select {
	case out := <-reply:
		return out, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// summaries requests the summary of every data centre in parallel, each from
// one live VM. A data centre that does not answer is missing from the result.
func (nod *Node) summaries(ctx context.Context, vie *view, states map[model.VMID]member.State) map[model.CentreID]*wire.SummaryReply {
	ctx, cancel := context.WithTimeout(ctx, summaryTimeout)
	defer cancel()
	type answer struct {
		centre model.CentreID
		reply  *wire.SummaryReply
	}
	requests := 0
	answers := make(chan answer, len(vie.centres))
	for _, name := range vie.centreNames() {
		vmi, ok := nod.liveMember(vie, name, states)
		if !ok {
			continue
		}
		requests++
		go func() {
			rep, err := peer.Call[*wire.SummaryReply](ctx, nod.hub, vmi, &wire.SummaryRequest{})
			if err != nil {
				rep = nil
			}
			answers <- answer{centre: name, reply: rep}
		}()
	}
	out := map[model.CentreID]*wire.SummaryReply{}
	for range requests {
		if ans := <-answers; ans.reply != nil {
			out[ans.centre] = ans.reply
		}
	}
	return out
}

// liveMember returns a VM of a data centre that the failure detector reports as
// alive, preferably this VM, or false if there is none.
func (nod *Node) liveMember(vie *view, name model.CentreID, states map[model.VMID]member.State) (model.VMID, bool) {
	for _, vmi := range nod.selfFirst(vie.centreVMs(name)) {
		if states[vmi] == member.Alive {
			return vmi, true
		}
	}
	return "", false
}
