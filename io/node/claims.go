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
// the key. It implements entry.Claims.
type claims struct {
	nod *Node
}

func startClaims(nod *Node) *claims {
	cla := &claims{nod: nod}
	peer.HandleRequest(nod.mux, cla.answer)
	return cla
}

// Claim takes key for owner.
func (cla *claims) Claim(ctx context.Context, key, owner string, bound time.Duration) (once.Result, error) {
	return cla.do(ctx, once.NewClaim(key, owner, wallClock(), bound))
}

// Settle records how the request of owner ended.
func (cla *claims) Settle(ctx context.Context, key, owner string, sta once.State) error {
	cmd := once.NewSettle(key, owner, sta, wallClock())
	if sta == once.None {
		cmd = once.NewRelease(key, owner, wallClock())
	}
	_, err := cla.do(ctx, cmd)
	return err
}

// do asks the leader of the key's home data centre. Home is taken over all
// data centres, also those out of service, so that it does not move.
func (cla *claims) do(ctx context.Context, cmd once.Command) (once.Result, error) {
	vie := cla.nod.view.Load()
	if vie == nil {
		return once.Result{}, &admin.NotReadyError{}
	}
	home := once.Home(cmd.Key(), vie.names())
	que := &wire.OnceRequest{Command: wire.OnceCommandToProto(cmd)}
	var last error = quorum.NewNotLeaderError("")
	for _, vmi := range cla.nod.nearestFirst(vie.members(home)) {
		rep, err := peer.Call[*wire.OnceReply](ctx, cla.nod.hub, vmi, que)
		if err == nil {
			return once.NewResult(rep.GetFirst(), once.State(rep.GetState())), nil
		}
		last = err
		var rem *peer.UnreachableError
		if !errors.As(err, &rem) && ctx.Err() != nil {
			break
		}
	}
	return once.Result{}, last
}

// answer decides a command for another VM, or passes it on to the leader. A
// command is carried out at most once, since it names its owner.
func (cla *claims) answer(ctx context.Context, _ model.VMID, que *wire.OnceRequest) (*wire.OnceReply, error) {
	cen := cla.nod.own
	res, err := cen.claim(ctx, wire.OnceCommandFromProto(que.GetCommand()))
	var els admin.Redirect
	if asElsewhere(err, &els) && els.Leader() != "" && els.Leader() != cla.nod.self && !que.GetForwarded() {
		return peer.Call[*wire.OnceReply](ctx, cla.nod.hub, els.Leader(), &wire.OnceRequest{Command: que.GetCommand(), Forwarded: true})
	}
	if err != nil {
		return nil, err
	}
	return &wire.OnceReply{First: res.Accepted(), State: uint32(res.State())}, nil
}

// wallClock returns the time since the Unix epoch.
func wallClock() time.Duration { return time.Duration(time.Now().UnixNano()) }

func asElsewhere(err error, els *admin.Redirect) bool { return err != nil && errors.As(err, els) }
