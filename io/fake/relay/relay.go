// Package relay is a TCP relay between two loopback ports that can be told to
// fail as a network does.
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
	// maxPipes bounds the connections that are relayed at once.
	maxPipes    = 256
	dialTimeout = 2 * time.Second
	acceptPause = 50 * time.Millisecond
)

// Direction is one direction of a connection.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	ToClient
	directions
)

// Fault is what the relay does to the bytes of one direction. The zero value
// forwards them.
type Fault struct {
	// Stall keeps the bytes until the fault is over, as TCP does while the
	// packets of one direction are lost.
	Stall bool
	// Drop discards the bytes. A connection that lost some is closed once the
	// fault is over.
	Drop bool
	// Delay is added to each read of up to 32 KB; reads are not overlapped.
	Delay time.Duration
}

// setting is the fault of one direction until changed is closed.
type setting struct {
	fault   Fault
	changed chan struct{}
}

// Messages to the actor.
type (
	accepted struct{ conn *net.TCPConn }
	ended    struct{ pip *pipe }
	setFault struct {
		dir   Direction
		fault Fault
	}
	setCut    struct{ cut bool }
	halfClose struct{ dir Direction }
)

// Config describes a relay.
type Config struct {
	System *actor.ActorSystem
	// Listen is the address of the relay and Target where it forwards to.
	Listen, Target string
}

// Relay addresses a relay.
type Relay struct {
	sys  *actor.ActorSystem
	pid  *actor.PID
	addr net.Addr
}

// New starts a relay. The clean-up function closes all its connections.
func New(cfg Config) (*Relay, func(), error) {
	lis, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, func() {}, errors.Trace(&ListenError{addr: cfg.Listen, cause: err})
	}
	act := &relayActor{lis: lis, target: cfg.Target, pipes: map[*pipe]bool{}}
	for dir := range act.settings {
		act.settings[dir] = &atomic.Pointer[setting]{}
		act.settings[dir].Store(&setting{changed: make(chan struct{})})
	}
	pid := cfg.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return act }))
	rel := &Relay{sys: cfg.System, pid: pid, addr: lis.Addr()}
	return rel, func() { _ = cfg.System.Root.PoisonFuture(pid).Wait() }, nil
}

// Addr returns the address that the relay listens on.
func (rel *Relay) Addr() string { return rel.addr.String() }

// SetFault sets the fault of one direction of all connections.
func (rel *Relay) SetFault(dir Direction, fault Fault) {
	rel.sys.Root.Send(rel.pid, setFault{dir: dir, fault: fault})
}

// SetDown closes all connections and refuses new ones until it is called with
// false.
func (rel *Relay) SetDown(cut bool) { rel.sys.Root.Send(rel.pid, setCut{cut: cut}) }

// HalfClose ends the byte stream of one direction of the connections that are
// open now.
func (rel *Relay) HalfClose(dir Direction) { rel.sys.Root.Send(rel.pid, halfClose{dir: dir}) }

// relayActor owns the listener and the connections.
type relayActor struct {
	lis      net.Listener
	target   string
	settings [directions]*atomic.Pointer[setting]
	pipes    map[*pipe]bool
	cut      bool
	stop     context.CancelFunc
	// done is closed when the accept loop has ended.
	done chan struct{}
}

// Receive handles one actor message.
func (act *relayActor) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *actor.Started:
		act.start(ctx)
	case *actor.Stopping:
		act.stop()
		_ = act.lis.Close()
		<-act.done
		act.closeAll()
	case accepted:
		act.accept(ctx, msg.conn)
	case ended:
		delete(act.pipes, msg.pip)
	case setFault:
		old := act.settings[msg.dir].Swap(&setting{fault: msg.fault, changed: make(chan struct{})})
		close(old.changed)
	case setCut:
		act.cut = msg.cut
		if act.cut {
			act.closeAll()
		}
	case halfClose:
		for pip := range act.pipes {
			pip.halfClose(msg.dir)
		}
	}
}

func (act *relayActor) start(ctx actor.Context) {
	run, cancel := context.WithCancel(context.Background())
	act.stop, act.done = cancel, make(chan struct{})
	root, self := ctx.ActorSystem().Root, ctx.Self()
	go acceptLoop(run, act.done, act.lis, func(conn *net.TCPConn) { root.Send(self, accepted{conn: conn}) })
}

func (act *relayActor) accept(ctx actor.Context, conn *net.TCPConn) {
	if act.cut || len(act.pipes) >= maxPipes {
		reset(conn)
		return
	}
	pip := newPipe(conn, act.target, act.settings)
	act.pipes[pip] = true
	root, self := ctx.ActorSystem().Root, ctx.Self()
	run, cancel := context.WithCancel(context.Background())
	pip.cancel = cancel
	go pip.run(run, func() { root.Send(self, ended{pip: pip}) })
}

// closeAll closes all connections and waits for their goroutines.
func (act *relayActor) closeAll() {
	for pip := range act.pipes {
		pip.cancel()
		<-pip.ended
		delete(act.pipes, pip)
	}
}

// acceptLoop hands connections to post until ctx ends and the listener is
// closed, and then closes done.
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

// reset closes a connection so that its other side sees a failure.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// ListenError reports that the address of the relay cannot be used.
type ListenError struct {
	addr  string
	cause error
}

// Error describes the failure.
func (err *ListenError) Error() string { return "listen on " + err.addr + ": " + err.cause.Error() }

// Unwrap returns the cause.
func (err *ListenError) Unwrap() error { return err.cause }
