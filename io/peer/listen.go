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
	protocolVersion = 1
	helloTimeout    = 2 * time.Second
	// maxHello keeps a stranger from making the VM allocate a whole frame.
	maxHello = 4 << 10
	// maxHandshakes bounds the connections whose Hello is awaited.
	maxHandshakes = 64
	// acceptPause follows a failed accept, such as one without a free file
	// descriptor, so that the loop does not spin.
	acceptPause = 100 * time.Millisecond
)

// acceptor reads the Hello of new connections.
type acceptor struct {
	hub  *Hub
	lis  net.Listener
	post func(msg any)
}

// run accepts connections until ctx ends and the listener is closed. It closes
// ended once all handshakes have ended.
func (acc *acceptor) run(ctx context.Context, ended chan<- struct{}) {
	defer close(ended)
	busy := make(chan struct{}, maxHandshakes)
	defer fill(busy)
	for ctx.Err() == nil {
		conn, err := acc.lis.Accept()
		if err != nil {
			host.Pause(ctx, acceptPause)
			continue
		}
		select {
		case busy <- struct{}{}:
			go acc.greet(ctx, conn, busy)
		default:
			_ = conn.Close()
		}
	}
}

// greet reads the Hello of one connection and signals its end by taking a
// value from busy.
func (acc *acceptor) greet(ctx context.Context, conn net.Conn, busy <-chan struct{}) {
	defer func() { <-busy }()
	defer context.AfterFunc(ctx, func() { _ = conn.Close() })()
	from, err := acc.readHello(conn)
	if err != nil {
		acc.hub.vars.refusedFrames.Add(1)
		acc.hub.cfg.Log.Warn("link refused", "address", conn.RemoteAddr(), "error", err)
		_ = conn.Close()
		return
	}
	acc.post(incoming{from: from, conn: conn})
}

func (acc *acceptor) readHello(conn net.Conn) (model.VMID, error) {
	_ = conn.SetReadDeadline(time.Now().Add(helloTimeout))
	env, _, err := readFrame(conn, maxHello)
	if err != nil {
		return "", errors.Trace(err)
	}
	var hel wire.Hello
	if env.GetKind() != kindOf(&hel) {
		return "", errors.Trace(&ProtocolError{text: "first frame is " + strconv.Quote(env.GetKind())})
	}
	if err := proto.Unmarshal(env.GetBody(), &hel); err != nil {
		return "", errors.Trace(err)
	}
	if hel.GetVersion() != protocolVersion {
		return "", errors.Trace(&ProtocolError{text: "version " + strconv.Itoa(int(hel.GetVersion())) + " is not supported"})
	}
	if env.GetTo() != string(acc.hub.cfg.Self) {
		return "", errors.Trace(&ProtocolError{text: "link is meant for vm " + strconv.Quote(env.GetTo()) + ": check its address in the settings"})
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

// fill waits until all goroutines that hold a place in busy have ended.
func fill(busy chan struct{}) {
	for range cap(busy) {
		busy <- struct{}{}
	}
}
