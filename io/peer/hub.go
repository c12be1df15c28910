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
	"guavarail/io/wire"
)

const (
	// defaultRequest bounds requests whose context has no deadline.
	defaultRequest = 10 * time.Second
	// maxTransit bounds the bytes of ordered messages that wait for the actor of
	// the hub, which never blocks, and maxLinkTransit those for one link.
	maxTransit     = 8 * MaxFrame
	maxLinkTransit = 2 * MaxFrame
)

// Clock is the hybrid clock that frames carry. It is called from many
// goroutines at once.
type Clock interface {
	// Stamp returns the clock of a message that is sent now.
	Stamp() uint64
	// Observe takes note of the clock of a message that was received.
	Observe(clock uint64)
}

// Config describes the links of one VM.
type Config struct {
	// System runs the actors; New makes one when it is nil.
	System *actor.ActorSystem
	Self   model.VMID
	// Listen is the address for links of other VMs.
	Listen string
	// Peers holds the addresses of the other VMs; an entry for Self is ignored.
	Peers map[model.VMID]string
	// AcceptUnlisted accepts links of VMs that are not in Peers. Messages to such a VM
	// are sent while its link is up.
	AcceptUnlisted bool
	Mux            *Mux
	Log            hclog.Logger
	// Clock may be nil.
	Clock Clock
	// Seed fixes the jitter of the reconnect delays.
	Seed uint64
}

// Hub is the links of one VM. It implements Sender.
type Hub struct {
	cfg  Config
	pid  *actor.PID
	addr net.Addr
	vars *Vars
	// transit is the size of the ordered messages in the mailbox of the hub.
	transit atomic.Int64
	// done is closed when the hub stops.
	done chan struct{}
}

// New starts to listen and to link to the other VMs. The clean-up function
// closes all links and returns when their goroutines have ended.
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
	hub := &Hub{cfg: cfg, addr: lis.Addr(), vars: newVars(cfg.Self), done: make(chan struct{})}
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
// in the map or that have another address are closed; the others stay up.
func (hub *Hub) SetPeers(addrs map[model.VMID]string) {
	addrs = maps.Clone(addrs)
	delete(addrs, hub.cfg.Self)
	hub.cfg.System.Root.Send(hub.pid, setPeers{addrs: addrs})
}

// Send implements Sender. A message to the VM itself is handled as well.
func (hub *Hub) Send(to model.VMID, msg proto.Message) {
	env, err := hub.envelope(to, msg)
	if err != nil {
		hub.vars.refusedFrames.Add(1)
		hub.cfg.Log.Error("message not encoded", "to", to, "kind", kindOf(msg), "error", err)
		return
	}
	if to == hub.cfg.Self {
		hub.cfg.System.Root.Send(hub.pid, loop{env: env})
		return
	}
	fr, err := newFrame(env)
	if err != nil {
		hub.vars.refusedFrames.Add(1)
		hub.cfg.Log.Error("message not sent", "to", to, "kind", env.GetKind(), "error", err)
		return
	}
	if hub.transit.Add(int64(len(fr.buf))) > maxTransit {
		hub.transit.Add(-int64(len(fr.buf)))
		hub.vars.droppedFrames.Add(1)
		return
	}
	hub.cfg.System.Root.Send(hub.pid, outgoing{to: to, fr: fr})
}

// Request implements Sender. The error is an *UnreachableError, *TimeoutError,
// *RemoteError, *UnknownMessageError or *FrameSizeError. A request to the VM
// itself runs on the caller's goroutine.
func (hub *Hub) Request(ctx context.Context, to model.VMID, msg proto.Message) (proto.Message, error) {
	env, err := hub.envelope(to, msg)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if to == hub.cfg.Self {
		ans, err := hub.cfg.Mux.answer(ctx, to, env)
		return ans, errors.Trace(err)
	}
	fr, err := newFrame(env)
	if err != nil {
		hub.vars.refusedFrames.Add(1)
		return nil, errors.Trace(err)
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultRequest)
		defer cancel()
	}
	ask := &exchange{to: to, fr: fr, ctx: ctx, reply: make(chan answered, 1)}
	hub.cfg.System.Root.Send(hub.pid, ask)
	select {
	case got := <-ask.reply:
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
	return openBody(env)
}

// Call sends que to a VM and returns the answer as type A.
func Call[A proto.Message](ctx context.Context, sen Sender, to model.VMID, que proto.Message) (A, error) {
	var zero A
	msg, err := sen.Request(ctx, to, que)
	if err != nil {
		return zero, errors.Trace(err)
	}
	ans, ok := msg.(A)
	if !ok {
		return zero, errors.Trace(&ProtocolError{text: "answer to " + kindOf(que) + " is a " + kindOf(msg)})
	}
	return ans, nil
}

// envelope encodes msg.
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

// openBody decodes the message in env.
func openBody(env *wire.Envelope) (proto.Message, error) {
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

// noClock stamps nothing.
type noClock struct{}

// Stamp implements Clock.
func (noClock) Stamp() uint64 { return 0 }

// Observe implements Clock.
func (noClock) Observe(uint64) {}
