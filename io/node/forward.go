package node

import (
	"context"
	"net/http"
	"slices"

	"guavarail/core/buffer"
	"guavarail/core/model"
	"guavarail/io/admin"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// forwarder sends API calls to other VMs, and supplies the addresses of entry VMs
// in other data centres to which the request path forwards requests. It
// implements admin.Forwarder and entry.Forwarder.
type forwarder struct {
	nod *Node
}

// Forward sends a call to another VM and returns its reply.
func (fwd *forwarder) Forward(ctx context.Context, to model.VMID, cal admin.Call) (admin.Reply, error) {
	req := &wire.ApiCall{Method: cal.Method, Target: cal.Target, Body: cal.Body, Hops: uint32(cal.Hops)}
	rep, err := peer.Call[*wire.ApiReply](ctx, fwd.nod.hub, to, req)
	if err != nil {
		return admin.Reply{}, err
	}
	return admin.Reply{Status: int(rep.GetStatus()), Body: rep.GetBody()}, nil
}

// serve registers the handler for the calls that other VMs forward.
func (fwd *forwarder) serve(mux *admin.Mux) {
	peer.HandleRequest(fwd.nod.mux, func(ctx context.Context, _ model.VMID, req *wire.ApiCall) (*wire.ApiReply, error) {
		release, err := fwd.nod.budget.Take(ctx, buffer.Control, buffer.DecodedBytes(req.GetBody()))
		if err != nil {
			return &wire.ApiReply{Status: http.StatusServiceUnavailable}, nil
		}
		defer release()
		rep := mux.Serve(ctx, admin.Call{
			Method: req.GetMethod(), Target: req.GetTarget(), Body: req.GetBody(), Hops: int(req.GetHops()),
		})
		return &wire.ApiReply{Status: uint32(rep.Status), Body: rep.Body}, nil
	})
}

// Addresses returns the addresses at which entry VMs in other data centres accept
// requests of callers. It excludes data centres that are out of service and those
// in traversed, through which the request has already passed.
func (fwd *forwarder) Addresses(traversed []model.CentreID) []string {
	vie := fwd.nod.view.Load()
	if vie == nil {
		return nil
	}
	var out []string
	for _, vmi := range vie.vms {
		cen := vmi.Centre()
		if cen == fwd.nod.centre || vie.outOfService(cen) || slices.Contains(traversed, cen) {
			continue
		}
		if addr, ok := fwd.nod.callerAddress(vmi.Name()); ok {
			out = append(out, addr)
		}
	}
	return out
}
