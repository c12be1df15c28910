package group

import (
	"context"
	"log/slog"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// tickInterval is the precision of heartbeats and elections.
const tickInterval = 25 * time.Millisecond

// maxCommand keeps a command well under the largest frame of 8 MB, which no
// larger entry could pass.
const maxCommand = 4 << 20

// Config describes one replica of a group.
type Config[M quorum.Replica[C, R, S], C, R, S any] struct {
	// Group names the group. Every message carries it.
	Group string
	// Self is the VM of the replica.
	Self model.VMID
	// Voters and Learners are the first members. A group that has a log uses
	// the members in the log. The first election needs all voters.
	Voters   []model.VMID
	Learners []model.VMID
	// Replica is the state machine, owned by the actor from New on.
	Replica M
	// Commands and Snapshots encode what is stored and sent.
	Commands  wire.Codec[C]
	Snapshots wire.Codec[S]
	// Store is a data directory or memory. It is owned by the group from New
	// on. A nil Store means memory.
	Store disk.Store
	// Sender reaches the other members. It may be nil in a group of one.
	Sender peer.Sender
	// Clock is the monotonic clock. Nil means the clock of the process.
	Clock host.Clock
	// Seed makes the election timeouts of the replicas differ.
	Seed uint64
	// System runs the actors. Nil means one of its own.
	System *actor.ActorSystem
	// OnApply is called after each command with its index and result, OnRole
	// when the role changes and OnEvent for the timeline. They run on the
	// owning actor and must not block. Each may be nil.
	OnApply func(index uint64, cmd C, res R)
	OnRole  func(role quorum.Role)
	OnEvent func(ev event.Event)
	// SnapshotEntries and SnapshotBytes bound the log between snapshots. Zero
	// means the defaults.
	SnapshotEntries uint64
	SnapshotBytes   int
}

// Ref addresses one replica. The zero value refuses every request.
type Ref[M quorum.Replica[C, R, S], C, R, S any] struct {
	group string
	self  model.VMID
	codec wire.Codec[C]
	sys   *actor.ActorSystem
	pid   *actor.PID
	// done is closed when the actor no longer takes messages.
	done <-chan struct{}
}

// New starts a replica with the state that its store holds. The clean-up
// function stops it and returns when all its writes are done; it does not
// transfer leadership.
func New[M quorum.Replica[C, R, S], C, R, S any](cfg Config[M, C, R, S]) (Ref[M, C, R, S], func(), error) {
	var none Ref[M, C, R, S]
	if cfg.Store == nil {
		cfg.Store = disk.NewMemory()
	}
	if cfg.Clock == nil {
		cfg.Clock = host.NewClock()
	}
	if cfg.System == nil {
		cfg.System = actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
			return slog.New(slog.DiscardHandler)
		}))
	}
	act, err := load(cfg)
	if err != nil {
		return none, func() {}, errors.Annotatef(err, "load group %s", cfg.Group)
	}
	done := make(chan struct{})
	name := "group/" + cfg.Group + "/" + string(cfg.Self)
	pid, err := cfg.System.Root.SpawnNamed(actor.PropsFromProducer(func() actor.Actor { return act }), name)
	if err != nil {
		return none, func() {}, &SpawnError{name: name, cause: err}
	}
	ref := Ref[M, C, R, S]{group: cfg.Group, self: cfg.Self, codec: cfg.Commands, sys: cfg.System, pid: pid, done: done}
	sto, closeStore, err := disk.Spawn(cfg.System, name, cfg.Store, ref.owner())
	if err != nil {
		_ = cfg.System.Root.PoisonFuture(pid).Wait()
		return none, func() {}, errors.Trace(err)
	}
	cfg.System.Root.Send(pid, storeReady{store: sto})
	stopTicks := host.Every(context.Background(), tickInterval, func(context.Context) { ref.tell(quorum.Tick{}) })
	return ref, func() {
		stopTicks()
		close(done)
		_ = cfg.System.Root.PoisonFuture(pid).Wait()
		closeStore()
	}, nil
}

// load makes the actor from what the store holds.
func load[M quorum.Replica[C, R, S], C, R, S any](cfg Config[M, C, R, S]) (*groupActor[M, C, R, S], error) {
	sv, data, err := cfg.Store.Load()
	if err != nil {
		return nil, errors.Trace(err)
	}
	if idx := sv.Snapshot().Index(); idx > 0 {
		snap, err := cfg.Snapshots.Decode(data)
		if err != nil {
			return nil, &CodecError{group: cfg.Group, index: idx, cause: err}
		}
		cfg.Replica.Restore(snap)
	}
	node := quorum.NewNode(quorum.Config{
		Self: cfg.Self, Disk: cfg.Store.Disk(), Voters: cfg.Voters, Learners: cfg.Learners, Seed: cfg.Seed,
		SnapshotEntries: cfg.SnapshotEntries, SnapshotBytes: cfg.SnapshotBytes, Stored: sv,
	})
	return &groupActor[M, C, R, S]{cfg: cfg, node: node, waiting: map[uint64]waiter[R]{}, atIndex: map[uint64][]placedWaiter{}}, nil
}

// owner takes the answers of the store's actors.
func (ref Ref[M, C, R, S]) owner() disk.Callbacks {
	return disk.Callbacks{
		Input:       ref.tell,
		ChunkStored: func(rcv disk.StoredChunk) { ref.sys.Root.Send(ref.pid, rcv) },
		ChunkRead:   func(fil disk.ChunkMessage) { ref.sys.Root.Send(ref.pid, fil) },
	}
}

// unknown is the outcome of a command whose caller stopped waiting.
func (ref Ref[M, C, R, S]) unknown(cause error) error {
	return &UnknownError{group: ref.group, cause: cause}
}

func (ref Ref[M, C, R, S]) tell(in quorum.Input) { ref.sys.Root.Send(ref.pid, in) }

// Deliver hands over a message that the VM from sent to this group.
func (ref Ref[M, C, R, S]) Deliver(from model.VMID, msg *wire.QuorumMessage) {
	if ref.pid != nil && msg.GetGroup() == ref.group {
		ref.tell(quorum.NewReceive(wire.QuorumMessageFromProto(from, ref.self, msg)))
	}
}

// Propose adds a command to the log and returns its result once it is
// committed and applied. A *NotLeaderError means that the command is not and
// will not be carried out; a *UnknownError means that it may be.
func (ref Ref[M, C, R, S]) Propose(ctx context.Context, cmd C) (R, error) {
	var zero R
	if ref.pid == nil {
		return zero, quorum.NewNotLeaderError("")
	}
	data, err := ref.codec.Encode(cmd)
	if err != nil {
		return zero, errors.Trace(err)
	}
	if len(data) > maxCommand {
		return zero, &SizeError{size: len(data), limit: maxCommand}
	}
	res, err := ask(ctx, ref.done, ref.unknown, func(reply chan<- result[R]) {
		ref.sys.Root.Send(ref.pid, propose[R]{data: data, reply: reply})
	})
	return res, errors.Trace(err)
}

// ChangeMembers carries out one membership change and returns once it is committed.
func (ref Ref[M, C, R, S]) ChangeMembers(ctx context.Context, chg quorum.Change) error {
	return ref.request(ctx, func(id uint64) quorum.Input { return quorum.NewProposeChange(id, chg) }, untilApplied)
}

// TransferLeadership hands leadership to another voter and returns once this replica no
// longer leads. It is used before a planned shutdown.
func (ref Ref[M, C, R, S]) TransferLeadership(ctx context.Context) error {
	return ref.request(ctx, func(id uint64) quorum.Input { return quorum.NewTransfer(id) }, untilLeft)
}

func (ref Ref[M, C, R, S]) request(ctx context.Context, input func(id uint64) quorum.Input, until until) error {
	if ref.pid == nil {
		return quorum.NewNotLeaderError("")
	}
	_, err := ask(ctx, ref.done, ref.unknown, func(reply chan<- result[R]) {
		ref.sys.Root.Send(ref.pid, request[R]{input: input, until: until, reply: reply})
	})
	return errors.Trace(err)
}

// ReplaceVoter makes the present disk of a voter's VM vote again after the old one
// was lost: it removes the voter, adds the VM as a learner and promotes it once
// it has the whole log. Each step is a change of its own.
func (ref Ref[M, C, R, S]) ReplaceVoter(ctx context.Context, vm model.VMID) error {
	for _, kind := range []quorum.ChangeKind{quorum.Remove, quorum.AddLearner, quorum.Promote} {
		if err := ref.ChangeMembers(ctx, quorum.NewChange(kind, vm)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Members returns the members as this replica knows them.
func (ref Ref[M, C, R, S]) Members(ctx context.Context) (quorum.Members, error) {
	if ref.pid == nil {
		return quorum.Members{}, &StoppedError{}
	}
	return ask(ctx, ref.done, errors.Trace, func(reply chan<- result[quorum.Members]) {
		ref.sys.Root.Send(ref.pid, members{reply: reply})
	})
}

// Do runs fn on the owning actor, whatever the role. It returns at once. Once
// the replica is stopped, fn is not run.
func (ref Ref[M, C, R, S]) Do(fn func(now model.Instant, role quorum.Role, mac M)) {
	if ref.pid != nil {
		ref.sys.Root.Send(ref.pid, do[M](fn))
	}
}

// Read runs fn on the owning actor under the leader lease, so that it sees
// every command that was accepted before.
func Read[T any, M quorum.Replica[C, R, S], C, R, S any](ctx context.Context, ref Ref[M, C, R, S], fn func(now model.Instant, role quorum.Role, mac M) T) (T, error) {
	if ref.pid == nil {
		var zero T
		return zero, quorum.NewNotLeaderError("")
	}
	return ask(ctx, ref.done, errors.Trace, func(reply chan<- result[T]) {
		ref.sys.Root.Send(ref.pid, read[M]{
			ctx:  ctx,
			run:  func(now model.Instant, role quorum.Role, mac M) { reply <- result[T]{val: fn(now, role, mac)} },
			fail: func(err error) { reply <- result[T]{err: err} },
		})
	})
}

// result is the answer to one request.
type result[T any] struct {
	val T
	err error
}

// ask sends a request and waits for its answer. The reply channel has room for
// the answer, so the actor never waits for a caller that went away.
func ask[T any](ctx context.Context, done <-chan struct{}, lost func(cause error) error, send func(chan<- result[T])) (T, error) {
	reply := make(chan result[T], 1)
	send(reply)
	var zero T
	select {
	case res := <-reply:
		return res.val, res.err
	case <-ctx.Done():
		return zero, lost(ctx.Err())
	case <-done:
		return zero, lost(&StoppedError{})
	}
}
