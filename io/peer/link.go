package peer

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/yamux"

	"guavarail/core/model"
)

const (
	// maxPending bounds the messages that wait for a VM that is not linked.
	// The oldest are dropped, as protocols resend what is still of use.
	maxPending = 64
	// maxQueued and maxQueuedBytes bound the messages that wait for a VM that
	// is linked but reads slowly.
	maxQueued      = 4096
	maxQueuedBytes = 2 * MaxFrame
	// maxBatch is the size from which a batch of frames takes no further frame.
	maxBatch = 256 << 10
)

// Messages to the actor of a link.
type (
	setAddr  struct{ addr string }
	dialDone struct{ dia *dialing }
	// wrote asks for the next batch.
	wrote struct{ ses *session }
	// broken reports that a session failed.
	broken struct {
		ses   *session
		cause error
	}
)

// link is the actor that owns the session with one VM.
type link struct {
	hub  *Hub
	peer model.VMID
	addr string
	post func(msg any)
	wait backoff
	// transit is reduced as ordered messages leave the mailbox.
	transit *atomic.Int64

	// ses is the session in use; nil while the VM is not linked.
	ses *session
	// dia is the dial attempt under way; nil when there is none. It is never
	// set while ses is.
	dia *dialing
	// queue holds the frames that were not handed to the writer, oldest first.
	queue []frame
	// queuedBytes is the sum of the sizes in queue.
	queuedBytes int
	// writing is true while the writer of ses has a batch.
	writing bool
	// linked is true once there was a session.
	linked bool
}

func newLink(hub *Hub, peer model.VMID, transit *atomic.Int64) *link {
	return &link{hub: hub, peer: peer, transit: transit, wait: newBackoff(hub.cfg.Seed, hub.cfg.Self, peer)}
}

// Receive handles one actor message.
func (li *link) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *actor.Started:
		root, self := ctx.ActorSystem().Root, ctx.Self()
		li.post = func(msg any) { root.Send(self, msg) }
	case *actor.Stopping:
		li.drop()
		li.stopDial()
	case setAddr:
		li.move(msg.addr)
	case outgoing:
		li.transit.Add(-int64(len(msg.fr.buf)))
		li.enqueue(msg.fr)
		li.flush()
	case *exchange:
		li.exchange(msg)
	case incoming:
		li.accept(msg.conn)
	case dialDone:
		li.dialled(msg.dia)
	case wrote:
		if msg.ses == li.ses {
			li.writing = false
			li.flush()
		}
	case broken:
		if msg.ses == li.ses {
			li.lost(msg.cause)
		}
	}
}

// move sets the address. The session with a VM that had another address may be
// one with the VM that was replaced.
func (li *link) move(addr string) {
	if li.addr == addr {
		return
	}
	if li.addr != "" {
		li.drop()
	}
	li.addr = addr
	li.stopDial()
	li.redial()
}

// enqueue adds a frame and drops the oldest ones beyond the bound.
func (li *link) enqueue(fr frame) {
	li.queue = append(li.queue, fr)
	li.queuedBytes += len(fr.buf)
	li.trim()
}

func (li *link) trim() {
	limit := maxPending
	if li.ses != nil {
		limit = maxQueued
	}
	for len(li.queue) > limit || li.queuedBytes > maxQueuedBytes {
		li.queuedBytes -= len(li.queue[0].buf)
		li.queue[0] = frame{}
		li.queue = li.queue[1:]
		li.hub.vars.droppedFrames.Add(1)
	}
}

// flush hands the next batch to the writer if it is free.
func (li *link) flush() {
	if li.ses == nil || li.writing || len(li.queue) == 0 {
		return
	}
	var num, size int
	for num < len(li.queue) && size < maxBatch {
		size += len(li.queue[num].buf)
		num++
	}
	li.ses.batches <- li.queue[:num:num]
	li.queue, li.queuedBytes = li.queue[num:], li.queuedBytes-size
	li.writing = true
}

// exchange starts one request.
func (li *link) exchange(ask *exchange) {
	if li.ses == nil {
		ask.fail(&UnreachableError{vm: li.peer})
		return
	}
	select {
	case li.ses.asking <- struct{}{}:
		go ask.run(li.ses.ctx, li.ses)
	default:
		ask.fail(&UnreachableError{vm: li.peer, cause: &BusyError{limit: maxExchanges}})
	}
}

// accept starts a session on a connection that the other VM dialled, unless
// the session in use is preferred.
func (li *link) accept(conn net.Conn) {
	if li.ses != nil && !li.replaces(false) {
		// The other VM may have lost the session in use without a trace here.
		li.ses.pokePing()
		_ = conn.Close()
		return
	}
	ymx, err := yamux.Server(countedConn{Conn: conn, vars: li.hub.vars}, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	li.use(ymx, false)
}

// replaces reports whether a new session takes the place of the one in use: a
// second one of the same side does, as a side dials only without a session, and
// otherwise that of the VM with the lower name, so that both VMs keep the same.
func (li *link) replaces(dialled bool) bool {
	if li.ses.dialled == dialled {
		return true
	}
	return dialled == (li.hub.cfg.Self < li.peer)
}

// dialled takes the result of a dial attempt.
func (li *link) dialled(dia *dialing) {
	if dia != li.dia {
		return
	}
	li.dia = nil
	dia.cancel()
	if got := <-dia.result; got.ymx != nil {
		li.use(got.ymx, true)
		return
	}
	li.redial()
}

// use makes ymx the session of the link.
func (li *link) use(ymx *yamux.Session, dialled bool) {
	li.drop()
	li.stopDial()
	li.ses = startSession(li, ymx, dialled)
	if li.linked {
		li.hub.vars.reconnects.Add(1)
	}
	li.linked = true
	li.hub.vars.openLinks.Add(1)
	li.hub.cfg.Log.Info("link up", "peer", li.peer, "dialled", dialled)
	li.flush()
}

// lost ends the session and starts to dial.
func (li *link) lost(cause error) {
	li.hub.cfg.Log.Warn("link down", "peer", li.peer, "cause", cause)
	if time.Since(li.ses.since) > steadySession {
		li.wait.reset()
	}
	li.drop()
	li.trim()
	li.redial()
}

// drop ends the session if there is one.
func (li *link) drop() {
	if li.ses == nil {
		return
	}
	li.ses.close()
	li.ses, li.writing = nil, false
	li.hub.vars.openLinks.Add(-1)
}

// redial starts a dial attempt after the reconnect delay.
func (li *link) redial() {
	if li.ses == nil && li.dia == nil && li.addr != "" {
		li.dia = startDial(li, li.wait.next())
	}
}

// stopDial ends the dial attempt if there is one.
func (li *link) stopDial() {
	if li.dia == nil {
		return
	}
	li.dia.cancel()
	if got := <-li.dia.result; got.ymx != nil {
		_ = got.ymx.Close()
	}
	li.dia = nil
}
