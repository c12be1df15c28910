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

// tickInterval is the interval of the node's ticks, and so the precision of
// heartbeats and election timeouts.
const tickInterval = 25 * time.Millisecond

// maxCommandBytes keeps an encoded command well below the maximum frame size of
// 8 MB between VMs. A larger log entry could not be sent.
const maxCommandBytes = 4 << 20

// Config describes one replica of a group.
type Config[M quorum.Replica[C, R, S], C, R, S any] struct {
	// Group is the name of the group. Every message carries it.
	Group string
	// Self is the VM of the replica.
	Self model.VMID
	// Voters and Learners are the bootstrap members. If the log already has
	// members, those are used instead. The first election needs the votes of
	// all voters.
	Voters   []model.VMID
	Learners []model.VMID
	// MinCopies is the number of voters' disks that must have a command before it
	// is acknowledged, if that is more than a majority. A group with fewer voters
	// needs all of them.
	MinCopies int
	// Replica is the state machine to which committed commands are applied. The
	// actor owns it once New is called.
	Replica M
	// Commands and Snapshots encode commands and snapshots for the log and the
	// network.
	Commands  wire.Codec[C]
	Snapshots wire.Codec[S]
	// Store is a data directory or memory; nil means memory. The actors of
	// io/disk own it once New is called; the caller closes it after the clean-up
	// function has returned.
	Store disk.Store
	// Sender sends messages to the other members. It may be nil in a group with
	// one member.
	Sender peer.Sender
	// Clock is the monotonic clock; nil means a new clock.
	Clock host.Clock
	// Seed makes the election timeouts of the replicas differ.
	Seed uint64
	// System runs the actors; nil means a new actor system.
	System *actor.ActorSystem
	// OnApply is called after each applied command with its log index and result,
	// OnRole when the role changes and OnEvent for each event of the timeline.
	// They run on the actor's goroutine and must not block. Each may be nil.
	OnApply func(index uint64, cmd C, res R)
	OnRole  func(role quorum.Role)
	OnEvent func(ev event.Event)
	// SnapshotEntries and SnapshotBytes are the number and size of the log
	// entries after which a snapshot is taken. Zero means the default of quorum.
	SnapshotEntries uint64
	SnapshotBytes   int
}

// Ref is a reference to one replica. The zero value rejects every request.
type Ref[M quorum.Replica[C, R, S], C, R, S any] struct {
	group string
	self  model.VMID
	codec wire.Codec[C]
	clock host.Clock
	sys   *actor.ActorSystem
	pid   *actor.PID
	// done is closed when the replica is being stopped.
	done <-chan struct{}
}

// New starts a replica with the state in its store. The clean-up function stops
// the replica and returns when all its writes are done. It does not transfer
// leadership; call TransferLeadership first for a planned shutdown.
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
	ref := Ref[M, C, R, S]{group: cfg.Group, self: cfg.Self, codec: cfg.Commands, clock: cfg.Clock, sys: cfg.System, pid: pid, done: done}
	sto, closeStore, err := disk.Spawn(cfg.System, name, cfg.Store, ref.storeCallbacks())
	if err != nil {
		_ = cfg.System.Root.PoisonFuture(pid).Wait()
		return none, func() {}, errors.Trace(err)
	}
	cfg.System.Root.Send(pid, storeReady{store: sto})
	stopTicks := host.Every(context.Background(), tickInterval, func(context.Context) { ref.send(quorum.Tick{}) })
	return ref, func() {
		stopTicks()
		close(done)
		_ = cfg.System.Root.PoisonFuture(pid).Wait()
		closeStore()
	}, nil
}

// load creates the actor with the state in the store.
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
		Self: cfg.Self, Disk: cfg.Store.Disk(), Voters: cfg.Voters, Learners: cfg.Learners, MinCopies: cfg.MinCopies, Seed: cfg.Seed,
		SnapshotEntries: cfg.SnapshotEntries, SnapshotBytes: cfg.SnapshotBytes, Stored: sv,
	})
	return &groupActor[M, C, R, S]{cfg: cfg, node: node, waiters: map[uint64]waiter[R]{}, waitersByIndex: map[uint64][]entryWaiter{}}, nil
}

// storeCallbacks returns the functions through which the actors of the store send
// their results to the actor of the replica.
func (ref Ref[M, C, R, S]) storeCallbacks() disk.Callbacks {
	return disk.Callbacks{
		Input:       ref.send,
		ChunkStored: func(chk disk.StoredChunk) { ref.sys.Root.Send(ref.pid, chk) },
		ChunkRead:   func(msg disk.ChunkMessage) { ref.sys.Root.Send(ref.pid, msg) },
	}
}

// unknownError returns the error for a command whose caller stops waiting because
// of cause.
func (ref Ref[M, C, R, S]) unknownError(cause error) error {
	return &UnknownError{group: ref.group, cause: cause}
}

func (ref Ref[M, C, R, S]) send(in quorum.Input) { ref.sys.Root.Send(ref.pid, in) }

// Deliver passes a message from another VM to the replica.
func (ref Ref[M, C, R, S]) Deliver(from model.VMID, msg *wire.QuorumMessage) {
	if ref.pid != nil && msg.GetGroup() == ref.group {
		ref.send(quorum.NewReceive(wire.QuorumMessageFromProto(from, ref.self, msg)))
	}
}

// Propose adds a command to the log and returns its result once it is committed
// and applied. After a *NotLeaderError, an *EncodeError, a *SizeError or a *CodecError the
// command will never be applied; after an *UnknownError it may be.
func (ref Ref[M, C, R, S]) Propose(ctx context.Context, cmd C) (R, error) {
	return ref.ProposeBefore(ctx, 0, cmd)
}

// ProposeBefore is as Propose, but returns a *BusyError if the command isn't appended to the
// log before expiry, a time of the group's clock; 0 means never. The order of the log is
// that in which this is checked.
func (ref Ref[M, C, R, S]) ProposeBefore(ctx context.Context, expiry model.Instant, cmd C) (R, error) {
	var zero R
	if ref.pid == nil {
		return zero, quorum.NewNotLeaderError("")
	}
	data, err := ref.codec.Encode(cmd)
	if err != nil {
		return zero, &EncodeError{cause: err}
	}
	if len(data) > maxCommandBytes {
		return zero, &SizeError{size: len(data), limit: maxCommandBytes}
	}
	res, err := sendAndWait(ctx, ref.done, ref.unknownError, func(reply chan<- result[R]) {
		ref.sys.Root.Send(ref.pid, propose[R]{data: data, expiry: expiry, reply: reply})
	})
	return res, errors.Trace(err)
}

// ChangeMembers makes one membership change and returns once it is committed and
// applied. As with Propose, the change may still be applied after an
// *UnknownError. A change that waits for members when the deadline of ctx passes is
// dropped, so that another one can follow.
func (ref Ref[M, C, R, S]) ChangeMembers(ctx context.Context, chg quorum.Change) error {
	return ref.request(ctx, func(id uint64) quorum.Input {
		in := quorum.NewProposeChange(id, chg)
		if end, ok := ctx.Deadline(); ok {
			in = in.WithTimeout(max(time.Until(end), tickInterval))
		}
		return in
	}, waitApplied)
}

// TransferLeadership transfers leadership to another voter and returns once
// this replica no longer leads. It fails if this replica does not lead, or with a
// *quorum.TransferError if no other voter is reachable.
func (ref Ref[M, C, R, S]) TransferLeadership(ctx context.Context) error {
	return ref.request(ctx, func(id uint64) quorum.Input { return quorum.NewTransfer(id) }, waitSteppedDown)
}

// request passes the input that input returns for a request ID to the node, and
// returns once cond holds.
func (ref Ref[M, C, R, S]) request(ctx context.Context, input func(id uint64) quorum.Input, cond waitCondition) error {
	if ref.pid == nil {
		return quorum.NewNotLeaderError("")
	}
	_, err := sendAndWait(ctx, ref.done, ref.unknownError, func(reply chan<- result[R]) {
		ref.sys.Root.Send(ref.pid, request[R]{input: input, cond: cond, reply: reply})
	})
	return errors.Trace(err)
}

// ReplaceVoter restores the vote of a VM whose disk was lost and replaced: it
// removes the voter, adds the VM as a learner and promotes the learner once it
// has the whole log. Each step is a separate membership change.
func (ref Ref[M, C, R, S]) ReplaceVoter(ctx context.Context, vm model.VMID) error {
	for _, kind := range []quorum.ChangeKind{quorum.Remove, quorum.AddLearner, quorum.Promote} {
		if err := ref.ChangeMembers(ctx, quorum.NewChange(kind, vm)); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// Members returns the members according to the log of this replica.
func (ref Ref[M, C, R, S]) Members(ctx context.Context) (quorum.Members, error) {
	return inspectNode(ctx, ref, (*quorum.Node).Members)
}

// ReplacedVoters returns the voters whose VMs have answered this leader from another
// disk than the one in the configuration, or none if this replica does not lead.
func (ref Ref[M, C, R, S]) ReplacedVoters(ctx context.Context) ([]model.VMID, error) {
	return inspectNode(ctx, ref, (*quorum.Node).ReplacedVoters)
}

// Err returns the error because of which this replica has stopped voting and
// acknowledging, or nil.
func (ref Ref[M, C, R, S]) Err(ctx context.Context) error {
	cause, err := inspectNode(ctx, ref, (*quorum.Node).Err)
	if err != nil {
		return err
	}
	return cause
}

// inspectNode returns the result of fn, which runs on the actor.
func inspectNode[T any, M quorum.Replica[C, R, S], C, R, S any](ctx context.Context, ref Ref[M, C, R, S], fn func(nod *quorum.Node) T) (T, error) {
	if ref.pid == nil {
		var zero T
		return zero, &StoppedError{}
	}
	return sendAndWait(ctx, ref.done, errors.Trace, func(reply chan<- result[T]) {
		ref.sys.Root.Send(ref.pid, inspect(func(nod *quorum.Node) { reply <- result[T]{val: fn(nod)} }))
	})
}

// Do queues fn to run on the actor, regardless of the role, and returns
// immediately. After the replica has stopped, fn is not run.
func (ref Ref[M, C, R, S]) Do(fn func(now model.Instant, role quorum.Role, mac M)) {
	if ref.pid != nil {
		ref.sys.Root.Send(ref.pid, do[M](fn))
	}
}
