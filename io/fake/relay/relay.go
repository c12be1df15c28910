// Package relay is a TCP relay between two loopback ports that injects network
// faults.
package relay

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/juju/errors"

	"guavarail/io/host"
)

const (
	// maxConnections limits the number of connections relayed at the same time;
	// further ones are reset.
	maxConnections = 256
	// dialTimeout limits the time to connect to the target.
	dialTimeout = 2 * time.Second
	// acceptPause is the pause after a failed accept.
	acceptPause = 50 * time.Millisecond
)

// Direction is one direction of a relayed connection.
type Direction int

// The directions. The client is the side that dialled the relay.
const (
	ToTarget Direction = iota
	ToClient
	// directions is the number of directions.
	directions
)

// Fault is the fault injected into one direction. The zero value forwards all
// bytes.
type Fault struct {
	// Stall delays all bytes until the fault is cleared, like TCP while the
	// packets of one direction are lost.
	Stall bool
	// Drop discards all bytes. A connection that lost bytes is reset on the next
	// read after the fault is cleared.
	Drop bool
	// Delay is the time by which the bytes of each read, up to 32 KB, are
	// delayed. Delays don't overlap: the next read starts after the bytes of the
	// previous one have been forwarded.
	Delay time.Duration
}

// faultState is the fault of one direction. changed is closed when another
// faultState replaces it.
type faultState struct {
	fault   Fault
	changed chan struct{}
}

// Messages to relayActor.
type (
	connAccepted struct{ conn *net.TCPConn }
	pipeEnded    struct{ pip *pipe }
	setFault     struct {
		dir   Direction
		fault Fault
	}
	setDown   struct{ down bool }
	halfClose struct{ dir Direction }
)

// Config describes a relay.
type Config struct {
	// System is the actor system that the relay runs in.
	System *actor.ActorSystem
	// Listen is the address that the relay listens on, Target the address that
	// it forwards to.
	Listen, Target string
}

// Relay is a reference to a running relay.
type Relay struct {
	sys  *actor.ActorSystem
	pid  *actor.PID
	addr net.Addr
}

// New starts a relay. The clean-up function stops it and closes all its
// connections.
func New(cfg Config) (*Relay, func(), error) {
	lis, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, func() {}, errors.Trace(&ListenError{addr: cfg.Listen, cause: err})
	}
	act := &relayActor{lis: lis, target: cfg.Target, pipes: map[*pipe]bool{}}
	for dir := range act.faults {
		act.faults[dir] = &atomic.Pointer[faultState]{}
		act.faults[dir].Store(&faultState{changed: make(chan struct{})})
	}
	pid := cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return act }))
	rel := &Relay{sys: cfg.System, pid: pid, addr: lis.Addr()}
	return rel, func() { _ = cfg.System.Root.PoisonFuture(pid).Wait() }, nil
}

// Addr returns the address that the relay listens on.
func (rel *Relay) Addr() string { return rel.addr.String() }

// SetFault sets the fault of one direction of all connections, open and future. It
// replaces the earlier fault; the zero Fault clears it.
func (rel *Relay) SetFault(dir Direction, fault Fault) {
	rel.sys.Root.Send(rel.pid, setFault{dir: dir, fault: fault})
}

// SetDown takes the relay down or up. While it is down, all connections are closed
// and new ones are reset.
func (rel *Relay) SetDown(down bool) { rel.sys.Root.Send(rel.pid, setDown{down: down}) }

// HalfClose closes one direction of the connections that are open now; the other
// direction stays open.
func (rel *Relay) HalfClose(dir Direction) { rel.sys.Root.Send(rel.pid, halfClose{dir: dir}) }

// relayActor owns the listener and the set of connections.
type relayActor struct {
	lis    net.Listener
	target string
	// faults is shared with the goroutines of the pipes, which only read it.
	faults     [directions]*atomic.Pointer[faultState]
	pipes      map[*pipe]bool
	down       bool
	stopAccept context.CancelFunc
	// acceptEnded is closed when acceptLoop has ended.
	acceptEnded chan struct{}
}

// Receive handles one actor message.
func (act *relayActor) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *actor.Started:
		act.start(ctx)
	case *actor.Stopping:
		act.stopAccept()
		_ = act.lis.Close()
		<-act.acceptEnded
		act.closeAll()
	case connAccepted:
		act.accept(ctx, msg.conn)
	case pipeEnded:
		delete(act.pipes, msg.pip)
	case setFault:
		prev := act.faults[msg.dir].Swap(&faultState{fault: msg.fault, changed: make(chan struct{})})
		close(prev.changed)
	case setDown:
		act.down = msg.down
		if act.down {
			act.closeAll()
		}
	case halfClose:
		for pip := range act.pipes {
			pip.halfClose(msg.dir)
		}
	}
}

func (act *relayActor) start(ctx actor.Context) {
	runCtx, cancel := context.WithCancel(context.Background())
	act.stopAccept, act.acceptEnded = cancel, make(chan struct{})
	root, self := ctx.ActorSystem().Root, ctx.Self()
	go acceptLoop(runCtx, act.acceptEnded, act.lis, func(conn *net.TCPConn) { root.Send(self, connAccepted{conn: conn}) })
}

func (act *relayActor) accept(ctx actor.Context, conn *net.TCPConn) {
	if act.down || len(act.pipes) >= maxConnections {
		reset(conn)
		return
	}
	pip := newPipe(conn, act.target, act.faults)
	act.pipes[pip] = true
	root, self := ctx.ActorSystem().Root, ctx.Self()
	runCtx, cancel := context.WithCancel(context.Background())
	pip.cancel = cancel
	go pip.run(runCtx, func() { root.Send(self, pipeEnded{pip: pip}) })
}

// closeAll closes all connections and waits for their goroutines.
func (act *relayActor) closeAll() {
	for pip := range act.pipes {
		pip.cancel()
		<-pip.ended
		delete(act.pipes, pip)
	}
}

// acceptLoop passes accepted connections to post until ctx has ended and the
// listener is closed, and then closes done.
func acceptLoop(ctx context.Context, done chan<- struct{}, lis net.Listener, post func(conn *net.TCPConn)) {
	defer close(done)
	for ctx.Err() == nil {
		conn, err := lis.Accept()
		if err != nil {
			host.Pause(ctx, acceptPause)
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			post(tcp)
		}
	}
}

// reset closes a connection with a TCP reset, so that the other side sees an
// error instead of the end of the stream.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// ListenError reports that the relay cannot listen on its address.
type ListenError struct {
	addr  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string { return "listen on " + err.addr + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }
