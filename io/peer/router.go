package peer

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
	"guavarail/io/wire"
)

// maxUnlisted bounds the links of VMs that are not among the peers, if no budget does. A
// control VM has a link of each entry VM, of which there may be a thousand and more, and the
// links of VMs that were replaced stay until they time out.
const maxUnlisted = 3000

// Messages to the actor of the hub.
type (
	// setPeers replaces the addresses of the other VMs.
	setPeers struct{ addrs map[model.VMID]string }
	// orderedMessage is an ordered message to another VM.
	orderedMessage struct {
		to model.VMID
		fr frame
	}
	// selfMessage is an ordered message from the VM to itself.
	selfMessage struct{ env *wire.Envelope }
	// acceptedConn is an accepted connection whose Hello was received.
	acceptedConn struct {
		from model.VMID
		conn *boundedConn
	}
	// linkEnded reports that a link has no session and no address.
	linkEnded struct {
		vm  model.VMID
		ref *linkRef
	}
)

// linkRef addresses the actor of a link.
type linkRef struct {
	pid *actor.PID
	// unlisted is true if the VM connected while it was not among the peers and has not
	// been added to them since.
	unlisted bool
	// mailboxBytes is the size of the ordered messages in the mailbox of the actor.
	mailboxBytes atomic.Int64
}

// hubActor owns the listener and the table of links.
type hubActor struct {
	hub   *Hub
	lis   net.Listener
	links map[model.VMID]*linkRef
	// stop ends the accept loop once lis is closed too. The loop then closes ended.
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
	case orderedMessage:
		act.forward(ctx, msg)
	case *request:
		if ref := act.links[msg.to]; ref != nil {
			ctx.Send(ref.pid, msg)
		} else {
			msg.fail(&UnreachableError{vm: msg.to})
		}
	case selfMessage:
		if err := act.hub.cfg.Mux.deliver(act.hub.cfg.Self, msg.env); err != nil {
			act.hub.vars.refusedFrames.Add(1)
			act.hub.logPanic(act.hub.cfg.Self, err)
			act.hub.cfg.Log.Warn("incoming message dropped", "from", msg.env.GetFrom(), "kind", msg.env.GetKind(), "error", err)
		}
	case acceptedConn:
		act.accept(ctx, msg)
	case linkEnded:
		if ref := act.links[msg.vm]; ref == msg.ref && ref.unlisted {
			ctx.Poison(ref.pid)
			delete(act.links, msg.vm)
		}
	}
}

// forward passes an ordered message to its link, or drops it if there is none or
// the mailbox of the link is full.
func (act *hubActor) forward(ctx actor.Context, msg orderedMessage) {
	size := int64(len(msg.fr.buf))
	act.hub.mailboxBytes.Add(-size)
	ref := act.links[msg.to]
	if ref == nil {
		act.hub.vars.droppedFrames.Add(1)
		return
	}
	if ref.mailboxBytes.Add(size) > maxLinkMailboxBytes {
		ref.mailboxBytes.Add(-size)
		act.hub.vars.droppedFrames.Add(1)
		return
	}
	ctx.Send(ref.pid, msg)
}

// start starts the accept loop.
func (act *hubActor) start(ctx actor.Context) {
	act.links = map[model.VMID]*linkRef{}
	run, cancel := context.WithCancel(context.Background())
	act.stop, act.ended = cancel, make(chan struct{})
	root, self := ctx.ActorSystem().Root, ctx.Self()
	acc := &acceptor{hub: act.hub, lis: act.lis, post: func(msg any) { root.Send(self, msg) }}
	go acc.run(run, act.ended)
}

// setPeers stops the links to VMs that are not in addrs, except unlisted ones, starts the
// missing links and passes each its address.
func (act *hubActor) setPeers(ctx actor.Context, addrs map[model.VMID]string) {
	for vm, ref := range act.links {
		if _, ok := addrs[vm]; !ok && !ref.unlisted {
			ctx.Stop(ref.pid)
			delete(act.links, vm)
		}
	}
	for vm, addr := range addrs {
		if act.links[vm] == nil {
			act.spawn(ctx, vm)
		}
		act.links[vm].unlisted = false
		ctx.Send(act.links[vm].pid, setAddr{addr: addr})
	}
}

// spawn starts the actor of a link and adds it to the table.
func (act *hubActor) spawn(ctx actor.Context, vm model.VMID) *linkRef {
	ref := &linkRef{}
	root, self := ctx.ActorSystem().Root, ctx.Self()
	ended := func() { root.Send(self, linkEnded{vm: vm, ref: ref}) }
	ref.pid = ctx.Spawn(actor.PropsFromProducer(func() actor.Actor { return newLink(act.hub, vm, &ref.mailboxBytes, ended) }))
	act.links[vm] = ref
	return ref
}

// unlisted returns the number of links of VMs that are not among the peers.
func (act *hubActor) unlisted() int {
	num := 0
	for _, ref := range act.links {
		if ref.unlisted {
			num++
		}
	}
	return num
}

// accept passes an accepted connection to the link of its VM. A connection of a VM that is
// not a peer is closed, unless Config.AcceptUnlisted is set.
func (act *hubActor) accept(ctx actor.Context, msg acceptedConn) {
	ref := act.links[msg.from]
	if ref == nil && act.hub.cfg.AcceptUnlisted && (act.hub.cfg.Budget.Bounded() || act.unlisted() < maxUnlisted) {
		ref = act.spawn(ctx, msg.from)
		ref.unlisted = true
	}
	if ref == nil {
		act.hub.logRejected("from", msg.from, "reason", "unknown vm, or too many of them")
		_ = msg.conn.Close()
		return
	}
	ctx.Send(ref.pid, msg)
}
