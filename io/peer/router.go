package peer

import (
	"context"
	"net"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
	"guavarail/io/wire"
)

// Messages to the actor of the hub.
type (
	setPeers struct{ addrs map[model.VMID]string }
	// outgoing is one ordered message.
	outgoing struct {
		to model.VMID
		fr frame
	}
	// loop is an ordered message of the VM to itself.
	loop struct{ env *wire.Envelope }
	// incoming is a connection whose Hello was received.
	incoming struct {
		from model.VMID
		conn net.Conn
	}
)

// hubActor owns the listener and the table of links.
type hubActor struct {
	hub   *Hub
	lis   net.Listener
	links map[model.VMID]*actor.PID
	// stop ends the accept loop, which signals on ended.
	stop  context.CancelFunc
	ended chan struct{}
}

// Receive handles one actor message.
func (act *hubActor) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *actor.Started:
		act.start(ctx)
	case *actor.Stopping:
		act.stop()
		_ = act.lis.Close()
		<-act.ended
	case setPeers:
		act.setPeers(ctx, msg.addrs)
	case outgoing:
		if pid := act.links[msg.to]; pid != nil {
			ctx.Send(pid, msg)
		} else {
			act.hub.vars.droppedFrames.Add(1)
		}
	case *exchange:
		if pid := act.links[msg.to]; pid != nil {
			ctx.Send(pid, msg)
		} else {
			msg.fail(&UnreachableError{vm: msg.to})
		}
	case loop:
		if err := act.hub.cfg.Mux.deliver(act.hub.cfg.Self, msg.env); err != nil {
			act.hub.vars.refusedFrames.Add(1)
			act.hub.cfg.Log.Warn("message refused", "from", msg.env.GetFrom(), "kind", msg.env.GetKind(), "error", err)
		}
	case incoming:
		act.accept(ctx, msg)
	}
}

func (act *hubActor) start(ctx actor.Context) {
	act.links = map[model.VMID]*actor.PID{}
	run, cancel := context.WithCancel(context.Background())
	act.stop, act.ended = cancel, make(chan struct{})
	root, self := ctx.ActorSystem().Root, ctx.Self()
	acc := &acceptor{hub: act.hub, lis: act.lis, post: func(msg any) { root.Send(self, msg) }}
	go acc.run(run, act.ended)
}

func (act *hubActor) setPeers(ctx actor.Context, addrs map[model.VMID]string) {
	for vm, pid := range act.links {
		if _, ok := addrs[vm]; !ok {
			ctx.Stop(pid)
			delete(act.links, vm)
		}
	}
	for vm, addr := range addrs {
		if act.links[vm] == nil {
			act.links[vm] = ctx.Spawn(actor.PropsFromProducer(func() actor.Actor {
				return newLink(act.hub, vm)
			}))
		}
		ctx.Send(act.links[vm], setAddr{addr: addr})
	}
}

func (act *hubActor) accept(ctx actor.Context, msg incoming) {
	pid := act.links[msg.from]
	if pid == nil {
		act.hub.cfg.Log.Warn("link refused", "from", msg.from, "reason", "unknown vm")
		_ = msg.conn.Close()
		return
	}
	ctx.Send(pid, msg)
}
