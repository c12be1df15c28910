package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/core/once"
	"guavarail/core/quorum"
	"guavarail/io/admin"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// claims sends each command on an idempotency key to the home data centre of
// the key (see once.Home), whose group stores the claim, and serves the commands
// that other VMs send. A claim records which request owns the key (see package
// once). It implements entry.Claims.
type claims struct {
	nod *Node
}

func startClaims(nod *Node) *claims {
	cla := &claims{nod: nod}
	peer.HandleRequest(nod.mux, cla.serve)
	return cla
}

// Claim claims key for the request that owner identifies. maxRunTime is the
// longest time that the request can run.
func (cla *claims) Claim(ctx context.Context, key, owner string, maxRunTime time.Duration) (once.Result, error) {
	return cla.propose(ctx, once.NewClaim(key, owner, wallClock(), maxRunTime))
}

// Settle records the outcome of the request that owner identifies. The outcome
// once.None means that the request did not run; Settle then releases the key.
func (cla *claims) Settle(ctx context.Context, key, owner string, sta once.State) error {
	cmd := once.NewSettle(key, owner, sta, wallClock())
	if sta == once.None {
		cmd = once.NewRelease(key, owner, wallClock())
	}
	_, err := cla.propose(ctx, cmd)
	return err
}

// propose sends cmd to the VMs of the key's home data centre in turn, this VM first
// if it is one of them, until one of them returns a result. After an error it tries
// the next VM, unless ctx has ended and the error is not an UnreachableError. If
// no VM returns a result, it returns the last error. The home is chosen among all
// data centres, including those out of service, so that it does not change when
// one goes out of service.
func (cla *claims) propose(ctx context.Context, cmd once.Command) (once.Result, error) {
	vie := cla.nod.view.Load()
	if vie == nil {
		return once.Result{}, &admin.NotReadyError{}
	}
	home := once.Home(cmd.Key(), vie.centreNames())
	req := &wire.OnceRequest{Command: wire.OnceCommandToProto(cmd)}
	var lastErr error = quorum.NewNotLeaderError("")
	for _, vmi := range cla.nod.selfFirst(vie.centreVMs(home)) {
		rep, err := peer.Call[*wire.OnceReply](ctx, cla.nod.hub, vmi, req)
		if err == nil {
			return once.NewResult(rep.GetFirst(), once.State(rep.GetState())), nil
		}
		lastErr = err
		var unreachable *peer.UnreachableError
		if !errors.As(err, &unreachable) && ctx.Err() != nil {
			break
		}
	}
	return once.Result{}, lastErr
}

// serve commits a command that a VM sent. If another VM is known to lead the group,
// it forwards the command to that VM, unless it was forwarded before. A command may
// arrive twice. Since it names its owner, the second one does not change the claim,
// unless the claim was released or removed in between: a Claim command then claims
// the key again if no other request has claimed it.
func (cla *claims) serve(ctx context.Context, _ model.VMID, req *wire.OnceRequest) (*wire.OnceReply, error) {
	cen := cla.nod.ownCentre
	res, err := cen.proposeClaim(ctx, wire.OnceCommandFromProto(req.GetCommand()))
	var red admin.Redirect
	if asRedirect(err, &red) && red.Leader() != "" && red.Leader() != cla.nod.self && !req.GetForwarded() {
		return peer.Call[*wire.OnceReply](ctx, cla.nod.hub, red.Leader(), &wire.OnceRequest{Command: req.GetCommand(), Forwarded: true})
	}
	if err != nil {
		return nil, err
	}
	// First reports whether the command took effect, also for Settle and Release.
	return &wire.OnceReply{First: res.Accepted(), State: uint32(res.State())}, nil
}

// wallClock returns the wall clock time since the Unix epoch.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// asRedirect reports whether err is an admin.Redirect, so that another VM has to
// answer, and stores it in red. Its Leader is empty while that VM is unknown.
func asRedirect(err error, red *admin.Redirect) bool { return err != nil && errors.As(err, red) }
