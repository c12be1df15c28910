package node

import (
	"context"
	"slices"

	"guavarail/core/model"
	"guavarail/io/admin"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// forward sends API calls to other VMs and knows entry VMs of other data
// centres. It implements admin.Forwarder and entry.Forwarder.
type forward struct {
	nod *Node
}

// Forward sends a call to another VM.
func (fwd *forward) Forward(ctx context.Context, to model.VMID, cal admin.Call) (admin.Reply, error) {
	que := &wire.ApiCall{Method: cal.Method, Target: cal.Target, Body: cal.Body, Hops: uint32(cal.Hops)}
	rep, err := peer.Call[*wire.ApiReply](ctx, fwd.nod.hub, to, que)
	if err != nil {
		return admin.Reply{}, err
	}
	return admin.Reply{Status: int(rep.GetStatus()), Body: rep.GetBody()}, nil
}

// serve answers the calls that other VMs forward.
func (fwd *forward) serve(mux *admin.Mux) {
	peer.HandleRequest(fwd.nod.mux, func(ctx context.Context, _ model.VMID, que *wire.ApiCall) (*wire.ApiReply, error) {
		rep := mux.Serve(ctx, admin.Call{
			Method: que.GetMethod(), Target: que.GetTarget(), Body: que.GetBody(), Hops: int(que.GetHops()),
		})
		return &wire.ApiReply{Status: uint32(rep.Status), Body: rep.Body}, nil
	})
}

// Addresses returns the entry VMs of data centres that are in service and not
// in traversed.
func (fwd *forward) Addresses(traversed []model.CentreID) []string {
	vie := fwd.nod.view.Load()
	if vie == nil {
		return nil
	}
	var out []string
	for _, vmi := range vie.vms {
		cen := vmi.Centre()
		if cen == fwd.nod.centre || vie.out(cen) || slices.Contains(traversed, cen) {
			continue
		}
		if addr, ok := fwd.nod.callerAddress(vmi.Name()); ok {
			out = append(out, addr)
		}
	}
	return out
}
