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
// the key, whose group stores the claim, and serves the commands that other VMs
// send. It implements entry.Claims.
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

// Settle records how the request that owner identifies has ended. once.None means
// that it did not run and releases the key.
func (cla *claims) Settle(ctx context.Context, key, owner string, sta once.State) error {
	cmd := once.NewSettle(key, owner, sta, wallClock())
	if sta == once.None {
		cmd = once.NewRelease(key, owner, wallClock())
	}
	_, err := cla.propose(ctx, cmd)
	return err
}

// propose sends cmd to the VMs of the key's home data centre, this VM first if it
// is one of them, until one of them returns a result or ctx ends. The home is
// chosen among all data centres, including those out of service, so that it does
// not change when one goes out of service.
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
// it forwards the command to that VM, unless it was forwarded before. A command that
// arrives twice has no further effect, since it names its owner.
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
	return &wire.OnceReply{First: res.Accepted(), State: uint32(res.State())}, nil
}

// wallClock returns the wall clock time since the Unix epoch.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

// asRedirect reports whether err names the VM that can answer instead, and
// stores that error in red.
func asRedirect(err error, red *admin.Redirect) bool { return err != nil && errors.As(err, red) }
