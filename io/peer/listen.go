package peer

import (
	"context"
	"net"
	"strconv"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/wire"
)

const (
	// protocolVersion is the version of the link protocol that Hello carries. A
	// connection with another version is rejected.
	protocolVersion = 1
	// helloTimeout bounds the sending of a Hello, which is the first frame of a
	// connection, and separately the wait for it.
	helloTimeout = 2 * time.Second
	// maxHello bounds the size of a Hello in bytes, so that an unidentified peer cannot
	// make the VM allocate MaxFrame bytes.
	maxHello = 4 << 10
	// maxName bounds the name of a VM in a Hello, in bytes.
	maxName = 256
	// maxHandshakes bounds the connections whose Hello has not arrived yet. One more
	// closes the oldest of them, so that one client cannot keep others out.
	maxHandshakes = 64
	// acceptRetryDelay keeps the accept loop from spinning while accepting fails, for
	// example because the process has no free file descriptor.
	acceptRetryDelay = 100 * time.Millisecond
)

// acceptor accepts connections, reads their Hello and posts them to the hub.
type acceptor struct {
	hub  *Hub
	lis  net.Listener
	post func(msg any)
	// pending has the connections whose Hello has not arrived yet.
	pending handshakes
}

// run accepts connections until ctx ends and the listener is closed. It closes
// ended once all handshakes have ended.
func (acc *acceptor) run(ctx context.Context, ended chan<- struct{}) {
	defer close(ended)
	sem := make(chan struct{}, maxHandshakes)
	defer waitForAll(sem)
	for ctx.Err() == nil {
		accepted, err := acc.lis.Accept()
		if err != nil {
			host.Pause(ctx, acceptRetryDelay)
			continue
		}
		conn, ok := newBoundedConn(accepted, acc.hub.cfg.Budget)
		if !ok {
			_ = accepted.Close()
			continue
		}
		select {
		case sem <- struct{}{}:
		default:
			acc.pending.closeOldest()
			sem <- struct{}{}
		}
		go acc.handshake(ctx, conn, acc.pending.add(conn), sem)
	}
}

// handshake reads the Hello of one connection, posts the connection to the hub and
// releases the semaphore. remove removes the connection from the pending ones.
func (acc *acceptor) handshake(ctx context.Context, conn *boundedConn, remove func(), sem <-chan struct{}) {
	defer func() { <-sem }()
	defer remove()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	from, err := acc.readHello(conn)
	if err != nil {
		acc.hub.vars.refusedFrames.Add(1)
		acc.hub.logRejected("address", conn.RemoteAddr(), "error", err)
		_ = conn.Close()
		return
	}
	acc.post(acceptedConn{from: from, conn: conn})
}

// logRejected logs a rejected connection with a bounded number of lines.
func (hub *Hub) logRejected(args ...any) {
	if suppressed, ok := hub.rejected.Allow(hub.clock()); ok {
		hub.cfg.Log.Warn("connection rejected", append(args, "suppressed", suppressed)...)
	}
}

// readHello returns the name of the VM that dialled the connection.
func (acc *acceptor) readHello(conn net.Conn) (model.VMID, error) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	env, _, err := readFrame(conn, maxHello, noReserve)
	if err != nil {
		return "", errors.Trace(err)
	}
	var hello wire.Hello
	if env.GetKind() != kindOf(&hello) {
		return "", errors.Trace(&ProtocolError{text: "first frame is " + strconv.Quote(env.GetKind())})
	}
	if err := proto.Unmarshal(env.GetBody(), &hello); err != nil {
		return "", errors.Trace(err)
	}
	if hello.GetVersion() != protocolVersion {
		return "", errors.Trace(&ProtocolError{text: "version " + strconv.Itoa(int(hello.GetVersion())) + " is not supported"})
	}
	if env.GetTo() != string(acc.hub.cfg.Self) {
		return "", errors.Trace(&ProtocolError{text: "link is meant for vm " + strconv.Quote(env.GetTo()) + ": check its address in the settings"})
	}
	if len(env.GetFrom()) > maxName {
		return "", errors.Trace(&ProtocolError{text: "the name of the vm has " + strconv.Itoa(len(env.GetFrom())) + " bytes"})
	}
	return model.VMID(env.GetFrom()), errors.Trace(conn.SetReadDeadline(time.Time{}))
}

// writeHello sends the Hello of a connection that this VM dialled.
func writeHello(conn net.Conn, hub *Hub, to model.VMID) error {
	env, err := hub.envelope(to, &wire.Hello{Version: protocolVersion})
	if err != nil {
		return errors.Trace(err)
	}
	fr, err := newFrame(env)
	if err != nil {
		return errors.Trace(err)
	}
	_ = conn.SetWriteDeadline(time.Now().Add(helloTimeout))
	if _, err := conn.Write(fr.buf); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(conn.SetWriteDeadline(time.Time{}))
}

// waitForAll waits until all goroutines that hold the semaphore sem have released it, by
// acquiring its whole capacity. The semaphore cannot be used afterwards.
func waitForAll(sem chan struct{}) {
	for range cap(sem) {
		sem <- struct{}{}
	}
}
