package group

import (
	"slices"
	"strconv"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/admit"
	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
	"guavarail/io/wire"
)

// Messages to the actor, besides quorum.Input and those of io/disk.
type (
	// storeReady passes the store to the actor. It precedes all other messages.
	storeReady struct{ store disk.Ref }

	// propose adds an encoded command to the next batch, unless expiry has passed; 0 means
	// never. It is answered once the command has been applied.
	propose[R any] struct {
		data   []byte
		expiry model.Instant
		reply  chan<- result[R]
	}

	// flush proposes all queued commands as one batch.
	flush struct{}

	// request passes an input to the node. It is answered once cond holds.
	request[R any] struct {
		input func(id uint64) quorum.Input
		cond  waitCondition
		reply chan<- result[R]
	}

	// do is a function that the actor runs regardless of the replica's role.
	do[M any] func(now model.Instant, role quorum.Role, mac M)

	// inspect runs a function that reads the node.
	inspect func(nod *quorum.Node)
)

// waitCondition is the condition that completes a request.
type waitCondition uint8

const (
	// waitApplied: the entry of the request has been applied.
	waitApplied waitCondition = iota
	// waitSteppedDown: the replica no longer leads.
	waitSteppedDown
)

// waiter is a caller that waits for the result of a request or proposal.
type waiter[R any] struct {
	reply chan<- result[R]
	cond  waitCondition
}

// entryWaiter identifies the waiter for the entry with this term at some index.
// Several can wait at one index if the replica lost and regained leadership.
type entryWaiter struct {
	id   uint64
	term uint64
}

// groupActor owns the consensus node and the state machine of a replica.
type groupActor[M quorum.Replica[C, R, S], C, R, S any] struct {
	cfg   Config[M, C, R, S]
	node  *quorum.Node
	store disk.Ref
	// waiters holds the waiting callers by request ID, counted from 1.
	// waitersByIndex holds the request IDs of those whose entry is in the log, by
	// the log index of the entry.
	waiters        map[uint64]waiter[R]
	waitersByIndex map[uint64][]entryWaiter
	// lastID is the latest request ID, 0 before the first.
	lastID uint64
	// queuedProposals are the commands that the next flush proposes.
	queuedProposals []quorum.Proposal
	// pendingReads are the reads that wait for the leader lease.
	pendingReads []read[M]
	// queue holds the work that waits until all other messages have been handled.
	// workScheduled is set while a nextWork is on its way.
	queue         admit.Queue[string, Work[M]]
	workScheduled bool
	// receivedSnapshot is the data of the snapshot that the node is about to
	// install, nil otherwise.
	receivedSnapshot []byte
	// fatalErr is set when the state machine may no longer match the log. From
	// then on nothing is applied, and the node halts.
	fatalErr error
}

// Receive handles one message of the actor.
func (act *groupActor[M, C, R, S]) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case storeReady:
		act.store = msg.store
	case quorum.Input:
		act.step(msg)
	case propose[R]:
		act.queueProposal(ctx, msg)
	case flush:
		batch := act.queuedProposals
		act.queuedProposals = nil
		act.step(quorum.NewPropose(batch...))
	case request[R]:
		act.step(msg.input(act.addWaiter(msg.reply, msg.cond)))
	case do[M]:
		now := act.cfg.Clock()
		msg(now, act.node.Role(now), act.cfg.Replica)
	case read[M]:
		act.pendingReads = append(act.pendingReads, msg)
		act.serveReads()
	case inspect:
		msg(act.node)
	case Item[M]:
		act.enqueue(ctx, msg)
	case nextWork:
		act.work(ctx)
	case disk.StoredChunk:
		act.receivedSnapshot = msg.Data()
		act.step(msg.Stored())
		act.receivedSnapshot = nil
	case disk.ChunkMessage:
		act.send(msg.Message())
	case *actor.Restarting:
		act.fatalErr = &PanicError{group: act.cfg.Group}
		act.step(quorum.NewHalt(act.fatalErr))
		act.workScheduled = false
		act.scheduleWork(ctx)
	case *actor.Stopping:
		act.stop()
	}
}

// queueProposal adds a command to the next batch. All commands that arrive
// before the flush message are proposed together.
func (act *groupActor[M, C, R, S]) queueProposal(ctx actor.Context, msg propose[R]) {
	if msg.expiry > 0 && !act.cfg.Clock().Before(msg.expiry) {
		msg.reply <- result[R]{err: &BusyError{group: act.cfg.Group}}
		return
	}
	if len(act.queuedProposals) == 0 {
		ctx.Send(ctx.Self(), flush{})
	}
	act.queuedProposals = append(act.queuedProposals, quorum.NewProposal(act.addWaiter(msg.reply, waitApplied), msg.data))
}

// addWaiter registers a waiting caller and returns its request ID.
func (act *groupActor[M, C, R, S]) addWaiter(reply chan<- result[R], cond waitCondition) uint64 {
	act.lastID++
	act.waiters[act.lastID] = waiter[R]{reply: reply, cond: cond}
	return act.lastID
}

// answer sends a result to the caller of a request, unless the request has
// already been answered.
func (act *groupActor[M, C, R, S]) answer(id uint64, res result[R]) {
	if wai, ok := act.waiters[id]; ok {
		delete(act.waiters, id)
		wai.reply <- res
	}
}

// step passes an input to the node and executes the effects.
func (act *groupActor[M, C, R, S]) step(in quorum.Input) {
	effs := act.node.Step(act.cfg.Clock(), in)
	// OnRole must discard leader state before other effects apply entries or
	// restore a snapshot, so the loss of leadership is handled first.
	for i, eff := range effs {
		if val, ok := eff.(quorum.RoleChanged); ok && !val.Role().Leading() {
			act.roleChanged(val.Role())
			effs = slices.Delete(slices.Clone(effs), i, i+1)
			break
		}
	}
	for _, eff := range effs {
		act.handleEffect(eff)
	}
	if act.fatalErr != nil && act.node.Err() == nil {
		act.step(quorum.NewHalt(act.fatalErr))
	}
	act.serveReads()
}

// handleEffect executes one effect of the node.
func (act *groupActor[M, C, R, S]) handleEffect(eff quorum.Effect) {
	switch val := eff.(type) {
	case quorum.Send:
		act.send(val.Message())
	case quorum.SendChunk:
		act.store.ReadChunk(val)
	case quorum.Persist:
		act.store.Persist(val)
	case quorum.Compact:
		act.store.Compact(val)
	case quorum.StoreChunk:
		act.store.StoreChunk(val)
	case quorum.TakeSnapshot:
		begin := act.cfg.Clock()
		snap, cdc := act.cfg.Replica.Snapshot(), act.cfg.Snapshots
		act.record("snapshotTaken", event.NewField("index", strconv.FormatUint(val.Snapshot().Index(), 10)),
			event.NewField("durationMs", strconv.FormatInt(act.cfg.Clock().Sub(begin).Milliseconds(), 10)))
		act.store.Save(disk.NewSaveSnapshot(val.Snapshot(), func() ([]byte, error) { return cdc.Encode(snap) }))
	case quorum.InstallSnapshot:
		act.installSnapshot(val.Snapshot())
	case quorum.Apply:
		act.apply(val.Entry())
	case quorum.Accepted:
		act.waitersByIndex[val.Index()] = append(act.waitersByIndex[val.Index()], entryWaiter{id: val.ID(), term: val.Term()})
	case quorum.Rejected:
		act.answer(val.ID(), result[R]{err: val.Err()})
	case quorum.RoleChanged:
		act.roleChanged(val.Role())
	case quorum.RecordEvent:
		if act.cfg.OnEvent != nil {
			act.cfg.OnEvent(val.Event())
		}
	}
}

// send sends a message to another member. A group with one member may have no
// sender.
func (act *groupActor[M, C, R, S]) send(msg quorum.Message) {
	if act.cfg.Sender != nil {
		act.cfg.Sender.Send(msg.To(), wire.QuorumMessageToProto(act.cfg.Group, msg))
	}
}

// roleChanged answers the callers that wait for the end of leadership and calls
// OnRole.
func (act *groupActor[M, C, R, S]) roleChanged(role quorum.Role) {
	if !role.Leading() {
		for id, wai := range act.waiters {
			if wai.cond == waitSteppedDown {
				act.answer(id, result[R]{})
			}
		}
	}
	if act.cfg.OnRole != nil {
		act.cfg.OnRole(role)
	}
}

// stop reports an unknown outcome to all callers that still wait, and drops the queued
// work.
func (act *groupActor[M, C, R, S]) stop() {
	act.dropQueue()
	err := &UnknownError{group: act.cfg.Group, cause: &StoppedError{}}
	for id := range act.waiters {
		act.answer(id, result[R]{err: err})
	}
	for _, rd := range act.pendingReads {
		rd.fail(err)
	}
}
