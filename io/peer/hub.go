package peer

import (
	"context"
	"maps"
	"net"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoregistry"

	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/limit"
	"guavarail/io/lines"
	"guavarail/io/wire"
)

const (
	// defaultRequestTimeout bounds requests whose context has no deadline.
	defaultRequestTimeout = 10 * time.Second
	// maxMailboxBytes bounds the ordered messages in the mailbox of the hub's actor,
	// and maxLinkMailboxBytes those in the mailbox of one link's actor, in bytes.
	// An actor's mailbox is unbounded, and sending to it never blocks.
	maxMailboxBytes     = 8 * MaxFrame
	maxLinkMailboxBytes = 2 * MaxFrame
)

// Clock is the hybrid logical clock whose value each frame carries. Its methods are
// called concurrently.
type Clock interface {
	// Stamp returns the clock value of a message that is sent now.
	Stamp() uint64
	// Observe advances the clock to that of a received message.
	Observe(clock uint64)
}

// Config describes the links of one VM.
type Config struct {
	// System runs the actors. If it is nil, New creates one and the clean-up function
	// stops it.
	System *actor.ActorSystem
	// Self is the name of this VM.
	Self model.VMID
	// Listen is the address on which links of other VMs are accepted.
	Listen string
	// Peers holds the addresses of the other VMs; an entry for Self is ignored.
	Peers map[model.VMID]string
	// AcceptUnlisted accepts links from VMs that are not in Peers. Messages to such a
	// VM are dropped before its first connection; this VM never dials it.
	AcceptUnlisted bool
	// Mux holds the handlers of received messages and requests. It may be nil.
	Mux *Mux
	// Budget bounds the memory of large frames that other VMs send. It may be nil.
	Budget *limit.Budget
	// Log may be nil.
	Log hclog.Logger
	// Clock may be nil; frames then carry 0.
	Clock Clock
	// Seed seeds the jitter of the reconnect delays.
	Seed uint64
}

// Hub addresses the actor that owns the links of one VM to the others. It implements
// Sender, and its methods are safe for concurrent use.
type Hub struct {
	cfg  Config
	pid  *actor.PID
	addr net.Addr
	vars *Vars
	// mailboxBytes is the size of the ordered messages in the mailbox of the actor.
	mailboxBytes atomic.Int64
	// clock is used for the limiters: rejected bounds the log lines about connections that
	// were rejected, dropped those about messages that were dropped, and unlisted those
	// about links of VMs without a known address.
	clock                       host.Clock
	rejected, dropped, unlisted lines.SharedLimiter
	// done is closed when the hub stops.
	done chan struct{}
}

// New listens for links and opens links to the other VMs. Its error is a *ListenError.
// The clean-up function closes all links and returns once their goroutines have ended.
func New(cfg Config) (*Hub, func(), error) {
	if cfg.Mux == nil {
		cfg.Mux = &Mux{}
	}
	if cfg.Log == nil {
		cfg.Log = hclog.NewNullLogger()
	}
	if cfg.Clock == nil {
		cfg.Clock = noClock{}
	}
	stopSystem := func() {}
	if cfg.System == nil {
		cfg.System, stopSystem = host.NewSystem(cfg.Log)
	}
	lis, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		stopSystem()
		return nil, func() {}, errors.Trace(&ListenError{addr: cfg.Listen, cause: err})
	}
	hub := &Hub{cfg: cfg, addr: lis.Addr(), vars: newVars(cfg.Self), clock: host.NewClock(), done: make(chan struct{})}
	prp := actor.PropsFromProducer(func() actor.Actor { return &hubActor{hub: hub, lis: lis} })
	hub.pid, err = cfg.System.Root.SpawnNamed(prp, "peer-"+string(cfg.Self))
	if err != nil {
		_ = lis.Close()
		stopSystem()
		return nil, func() {}, errors.Trace(&ListenError{addr: cfg.Listen, cause: err})
	}
	hub.SetPeers(cfg.Peers)
	return hub, func() {
		close(hub.done)
		_ = cfg.System.Root.PoisonFuture(hub.pid).Wait()
		stopSystem()
	}, nil
}

// Addr returns the address that the hub listens on.
func (hub *Hub) Addr() string { return hub.addr.String() }

// Vars returns the counters of the hub.
func (hub *Hub) Vars() *Vars { return hub.vars }

// SetPeers replaces the addresses of the other VMs. Links to VMs that are not
// in the map or that have another address are closed; the others stay up, and so do
// those of VMs that were never in the map (Config.AcceptUnlisted).
func (hub *Hub) SetPeers(addrs map[model.VMID]string) {
	addrs = maps.Clone(addrs)
	delete(addrs, hub.cfg.Self)
	hub.cfg.System.Root.Send(hub.pid, setPeers{addrs: addrs})
}

// Send implements Sender. A message to the VM itself is passed to its handler in Config.Mux
// on the hub's actor.
func (hub *Hub) Send(to model.VMID, msg proto.Message) {
	env, err := hub.envelope(to, msg)
	if err != nil {
		hub.vars.refusedFrames.Add(1)
		hub.cfg.Log.Error("outgoing message dropped", "to", to, "kind", kindOf(msg), "error", err)
		return
	}
	if to == hub.cfg.Self {
		hub.cfg.System.Root.Send(hub.pid, selfMessage{env: env})
		return
	}
	fr, err := newFrame(env)
	if err != nil {
		hub.vars.refusedFrames.Add(1)
		hub.cfg.Log.Error("outgoing message dropped", "to", to, "kind", env.GetKind(), "error", err)
		return
	}
	if hub.mailboxBytes.Add(int64(len(fr.buf))) > maxMailboxBytes {
		hub.mailboxBytes.Add(-int64(len(fr.buf)))
		hub.vars.droppedFrames.Add(1)
		return
	}
	hub.cfg.System.Root.Send(hub.pid, orderedMessage{to: to, fr: fr})
}

// Request implements Sender. The error is an *UnreachableError, *TimeoutError,
// *RemoteError, *UnknownMessageError or *FrameSizeError, or reports that a message cannot
// be encoded or decoded. Without a deadline in ctx, the timeout is
// defaultRequestTimeout. The handler of a request to the VM itself runs on the caller's
// goroutine, without that timeout, and its error is returned as it is.
func (hub *Hub) Request(ctx context.Context, to model.VMID, msg proto.Message) (proto.Message, error) {
	env, err := hub.envelope(to, msg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if to == hub.cfg.Self {
		ans, err := hub.cfg.Mux.serveRequest(ctx, to, env)
		hub.logPanic(to, err)
		return ans, errors.Trace(err)
	}
	fr, err := newFrame(env)
	if err != nil {
		hub.vars.refusedFrames.Add(1)
		return nil, errors.Trace(err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultRequestTimeout)
		defer cancel()
	}
	req := &request{to: to, fr: fr, ctx: ctx, reply: make(chan response, 1)}
	hub.cfg.System.Root.Send(hub.pid, req)
	select {
	case got := <-req.reply:
		env, err = got.env, got.err
	case <-ctx.Done():
		err = &TimeoutError{vm: to, kind: fr.kind, cause: ctx.Err()}
	case <-hub.done:
		err = &UnreachableError{vm: to}
	}
	if err != nil {
		hub.vars.failedRequests.Add(1)
		return nil, errors.Trace(err)
	}
	if env.GetFailure() != nil {
		return nil, errors.Trace(fromFailure(to, fr.kind, env.GetFailure()))
	}
	return decodeBody(env)
}

// Call sends the request req to a VM and returns the answer as type A. An answer of
// another type is a ProtocolError.
func Call[A proto.Message](ctx context.Context, sen Sender, to model.VMID, req proto.Message) (A, error) {
	var zero A
	msg, err := sen.Request(ctx, to, req)
	if err != nil {
		return zero, errors.Trace(err)
	}
	ans, ok := msg.(A)
	if !ok {
		return zero, errors.Trace(&ProtocolError{text: "answer to " + kindOf(req) + " is a " + kindOf(msg)})
	}
	return ans, nil
}

// envelope encodes msg and adds the sender, the receiver and the clock.
func (hub *Hub) envelope(to model.VMID, msg proto.Message) (*wire.Envelope, error) {
	body, err := proto.Marshal(msg)
	if err != nil {
		return nil, errors.Annotatef(err, "encode %s", kindOf(msg))
	}
	return &wire.Envelope{
		From: string(hub.cfg.Self), To: string(to), Clock: hub.cfg.Clock.Stamp(),
		Kind: kindOf(msg), Body: body,
	}, nil
}

// decodeBody decodes the message in the body of env, whose kind names its type.
func decodeBody(env *wire.Envelope) (proto.Message, error) {
	typ, err := protoregistry.GlobalTypes.FindMessageByURL(env.GetKind())
	if err != nil {
		return nil, errors.Trace(&UnknownMessageError{vm: model.VMID(env.GetTo()), kind: env.GetKind()})
	}
	msg := typ.New().Interface()
	if err := proto.Unmarshal(env.GetBody(), msg); err != nil {
		return nil, errors.Annotatef(err, "decode %s", env.GetKind())
	}
	return msg, nil
}

// noClock is the Clock of a hub whose Config has none.
type noClock struct{}

// Stamp implements Clock.
func (noClock) Stamp() uint64 { return 0 }

// Observe implements Clock.
func (noClock) Observe(uint64) {}
