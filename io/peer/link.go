package peer

import (
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
)

const (
	// maxQueuedUnlinked bounds the messages queued for a VM while its link is down. The
	// oldest are dropped, because the senders' protocols resend what they still need.
	maxQueuedUnlinked = 64
	// maxQueued bounds the messages queued for a VM that is linked but reads slowly,
	// and maxQueuedBytes those queued for any VM.
	maxQueued      = 4096
	maxQueuedBytes = 2 * MaxFrame
	// maxBatch is a size in bytes. A batch, which is the frames that are sent in one
	// write, gets no further frame once it has that size.
	maxBatch = 256 << 10
)

// Messages to the actor of a link.
type (
	setAddr struct{ addr string }
	// dialDone reports that the result of a dial attempt can be received.
	dialDone struct{ att *dialAttempt }
	// batchWritten reports that the writer of a session is free for the next batch.
	batchWritten struct{ ses *session }
	// sessionFailed reports the failure of a session.
	sessionFailed struct {
		ses   *session
		cause error
	}
)

// link is the actor that owns the link to one VM: its session, which is the open
// connection, and the frames queued for it.
type link struct {
	hub  *Hub
	peer model.VMID
	// addr is the address to dial; if it is empty, only the other VM dials.
	addr string
	// post sends a message to this actor.
	post func(msg any)
	// ended tells the actor of the hub that this link has no session and no address.
	ended   func()
	backoff backoff
	// mailboxBytes is the size of the ordered messages in the mailbox of the actor.
	// The hub adds to it, the link subtracts.
	mailboxBytes *atomic.Int64

	// ses is the current session; nil while the VM is not linked.
	ses *session
	// att is the dial attempt in progress, or nil. It is nil while ses is set.
	att *dialAttempt
	// queue holds the frames not yet passed to the writer, oldest first.
	queue []frame
	// queuedBytes is the sum of the sizes in queue.
	queuedBytes int
	// writing is true while the writer of ses has a batch.
	writing bool
	// wasLinked is true once the link has had a session.
	wasLinked bool
}

func newLink(hub *Hub, peer model.VMID, mailboxBytes *atomic.Int64, ended func()) *link {
	return &link{hub: hub, peer: peer, mailboxBytes: mailboxBytes, ended: ended, backoff: newBackoff(hub.cfg.Seed, hub.cfg.Self, peer)}
}

// Receive handles one actor message.
func (li *link) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *actor.Started:
		root, self := ctx.ActorSystem().Root, ctx.Self()
		li.post = func(msg any) { root.Send(self, msg) }
	case *actor.Stopping:
		li.closeSession()
		li.stopDial()
	case setAddr:
		li.setAddr(msg.addr)
	case orderedMessage:
		li.mailboxBytes.Add(-int64(len(msg.fr.buf)))
		li.enqueue(msg.fr)
		li.flush()
	case *request:
		li.startRequest(msg)
	case acceptedConn:
		li.accept(msg.conn)
	case dialDone:
		li.dialDone(msg.att)
	case batchWritten:
		if msg.ses == li.ses {
			li.writing = false
			li.flush()
		}
	case sessionFailed:
		if msg.ses == li.ses {
			li.sessionFailed(msg.cause)
		}
	}
}

// setAddr sets the address of the VM. A session that was opened under another
// address is closed, because it may lead to a process that the VM at the new address
// has replaced.
func (li *link) setAddr(addr string) {
	if li.addr == addr {
		return
	}
	if li.addr != "" {
		li.closeSession()
	}
	li.addr = addr
	li.stopDial()
	li.redial()
}

// enqueue queues a frame; if the queue is full, the oldest frames are dropped.
func (li *link) enqueue(fr frame) {
	li.queue = append(li.queue, fr)
	li.queuedBytes += len(fr.buf)
	li.dropOldest()
}

// dropOldest drops the oldest frames until the queue is within its bounds.
func (li *link) dropOldest() {
	limit := maxQueuedUnlinked
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

// flush passes the next batch to the writer if the writer is free.
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

// startRequest sends a request on the session. The request fails if there is no session
// or if maxRequests requests are unanswered.
func (li *link) startRequest(req *request) {
	if li.ses == nil {
		req.fail(&UnreachableError{vm: li.peer})
		return
	}
	select {
	case li.ses.requestSem <- struct{}{}:
		go req.run(li.ses.ctx, li.ses)
	default:
		req.fail(&UnreachableError{vm: li.peer, cause: &BusyError{limit: maxRequests}})
	}
}

// accept starts a session on a connection that the other VM dialled, unless the
// current session is preferred.
func (li *link) accept(conn *boundedConn) {
	if li.ses != nil && !li.replaces(false) {
		// The other VM may have lost the current session, which only a ping detects here.
		li.ses.requestPing()
		_ = conn.Close()
		return
	}
	if li.addr != "" {
		conn.trust()
	} else {
		conn.count()
	}
	if mc, err := newMuxConn(conn, false, li.hub.vars); err == nil {
		li.setSession(mc, false)
	}
}

// unlink reports a link without a session to the hub, which ends it if the address of the
// VM is not known: only a new connection of that VM can open a session.
func (li *link) unlink() {
	if li.ses == nil && li.addr == "" {
		li.ended()
	}
}

// replaces reports whether a new session replaces the current one; dialled says whether
// this VM dialled the new one. If the same VM dialled both, the new one replaces the
// current one, because a VM dials only if it has no session. Otherwise the session that
// the VM with the lower name dialled is kept, so that both VMs keep the same one.
func (li *link) replaces(dialled bool) bool {
	if li.ses.dialled == dialled {
		return true
	}
	return dialled == (li.hub.cfg.Self < li.peer)
}

// dialDone starts a session on the result of the current dial attempt, or redials if it
// failed. It ignores an attempt that was cancelled.
func (li *link) dialDone(att *dialAttempt) {
	if att != li.att {
		return
	}
	li.att = nil
	att.cancel()
	if res := <-att.result; res.conn != nil {
		li.setSession(res.conn, true)
		return
	}
	li.redial()
}

// setSession starts the session of the link on mc and closes the previous one.
func (li *link) setSession(mc *muxConn, dialled bool) {
	li.closeSession()
	li.stopDial()
	li.ses = startSession(li, mc, dialled)
	if li.wasLinked {
		li.hub.vars.reconnects.Add(1)
	}
	li.wasLinked = true
	li.hub.vars.openLinks.Add(1)
	if suppressed, ok := li.allowLine(); ok {
		li.hub.cfg.Log.Info("link up", "peer", li.peer, "dialled", dialled, "suppressed", suppressed)
	}
	li.flush()
}

// allowLine reports whether a change of the link may be logged. The lines about VMs without
// a known address are bounded, because anyone may connect as one.
func (li *link) allowLine() (suppressed int, ok bool) {
	if li.addr != "" {
		return 0, true
	}
	return li.hub.unlisted.Allow(li.hub.clock())
}

// sessionFailed closes the failed session and redials.
func (li *link) sessionFailed(cause error) {
	if suppressed, ok := li.allowLine(); ok {
		li.hub.cfg.Log.Warn("link down", "peer", li.peer, "cause", cause, "suppressed", suppressed)
	}
	if time.Since(li.ses.openedAt) > backoffResetAge {
		li.backoff.reset()
	}
	li.closeSession()
	li.dropOldest()
	li.redial()
	li.unlink()
}

// closeSession closes the session if there is one.
func (li *link) closeSession() {
	if li.ses == nil {
		return
	}
	li.ses.close()
	li.ses, li.writing = nil, false
	li.hub.vars.openLinks.Add(-1)
}

// redial starts a dial attempt after the reconnect delay, unless there is a session, an
// attempt in progress or no address to dial.
func (li *link) redial() {
	if li.ses == nil && li.att == nil && li.addr != "" {
		li.att = startDial(li, li.backoff.next())
	}
}

// stopDial cancels the dial attempt if there is one and waits for its end.
func (li *link) stopDial() {
	if li.att == nil {
		return
	}
	li.att.cancel()
	if res := <-li.att.result; res.conn != nil {
		res.conn.close()
	}
	li.att = nil
}
