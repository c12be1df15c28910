package group

import (
	"context"
	"slices"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
	"guavarail/io/wire"
)

// The messages of the actor, besides quorum.Input.
type (
	// storeReady is the first message, before any input.
	storeReady struct{ store disk.Ref }

	propose[R any] struct {
		data  []byte
		reply chan<- result[R]
	}

	// flush proposes the commands that were queued before it together.
	flush struct{}

	request[R any] struct {
		input func(id uint64) quorum.Input
		until until
		reply chan<- result[R]
	}

	do[M any] func(now model.Instant, role quorum.Role, mac M)

	read[M any] struct {
		ctx  context.Context
		run  func(now model.Instant, role quorum.Role, mac M)
		fail func(err error)
	}

	members struct{ reply chan<- result[quorum.Members] }
)

// until says what completes a request.
type until uint8

const (
	untilApplied until = iota
	untilLeft
)

// waiter is a caller that waits for the result of a command or request.
type waiter[R any] struct {
	reply chan<- result[R]
	until until
}

// placedWaiter is the waiter of the entry with one index and term. A leader
// that lost and regained its role may have added several at one index.
type placedWaiter struct {
	id   uint64
	term uint64
}

// groupActor owns the node and the state machine.
type groupActor[M quorum.Replica[C, R, S], C, R, S any] struct {
	cfg   Config[M, C, R, S]
	node  *quorum.Node
	store disk.Ref
	// waiting holds the callers by the identifier of their request, atIndex
	// the identifiers of those whose entry is in the log.
	waiting map[uint64]waiter[R]
	atIndex map[uint64][]placedWaiter
	lastID  uint64
	// queued are commands that the next flush proposes.
	queued []quorum.Proposal
	// parked are reads that wait for the lease.
	parked []read[M]
	// received is the data of the snapshot that the node is about to install.
	received []byte
	// broken is set when the state machine no longer matches the log. Nothing
	// is applied from then on.
	broken error
}

// Receive handles one actor message.
func (act *groupActor[M, C, R, S]) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case storeReady:
		act.store = msg.store
	case quorum.Input:
		act.step(msg)
	case propose[R]:
		act.queue(ctx, msg)
	case flush:
		lst := act.queued
		act.queued = nil
		act.step(quorum.NewPropose(lst...))
	case request[R]:
		act.step(msg.input(act.wait(msg.reply, msg.until)))
	case do[M]:
		now := act.cfg.Clock()
		msg(now, act.node.Role(now), act.cfg.Replica)
	case read[M]:
		act.parked = append(act.parked, msg)
		act.serveReads()
	case members:
		msg.reply <- result[quorum.Members]{val: act.node.Members()}
	case disk.StoredChunk:
		act.received = msg.Data()
		act.step(msg.Stored())
		act.received = nil
	case disk.ChunkMessage:
		act.send(msg.Message())
	case *actor.Restarting:
		act.broken = &PanicError{group: act.cfg.Group}
		act.step(quorum.NewHalt(act.broken))
	case *actor.Stopping:
		act.stop()
	}
}

// queue collects the commands that arrive together into one proposal.
func (act *groupActor[M, C, R, S]) queue(ctx actor.Context, msg propose[R]) {
	if len(act.queued) == 0 {
		ctx.Send(ctx.Self(), flush{})
	}
	act.queued = append(act.queued, quorum.NewProposal(act.wait(msg.reply, untilApplied), msg.data))
}

func (act *groupActor[M, C, R, S]) wait(reply chan<- result[R], until until) uint64 {
	act.lastID++
	act.waiting[act.lastID] = waiter[R]{reply: reply, until: until}
	return act.lastID
}

func (act *groupActor[M, C, R, S]) answer(id uint64, res result[R]) {
	if wai, ok := act.waiting[id]; ok {
		delete(act.waiting, id)
		wai.reply <- res
	}
}

func (act *groupActor[M, C, R, S]) step(in quorum.Input) {
	effs := act.node.Step(act.cfg.Clock(), in)
	// State that belongs to the leader must be dropped before what follows is
	// applied or restored.
	for i, eff := range effs {
		if val, ok := eff.(quorum.RoleChanged); ok && !val.Role().Leading() {
			act.roleChanged(val.Role())
			effs = slices.Delete(slices.Clone(effs), i, i+1)
			break
		}
	}
	for _, eff := range effs {
		act.carry(eff)
	}
	if act.broken != nil && act.node.Err() == nil {
		act.step(quorum.NewHalt(act.broken))
	}
	act.serveReads()
}

// carry carries out one effect.
func (act *groupActor[M, C, R, S]) carry(eff quorum.Effect) {
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
		snap, cdc := act.cfg.Replica.Snapshot(), act.cfg.Snapshots
		act.store.Save(disk.NewSaveSnapshot(val.Snapshot(), func() ([]byte, error) { return cdc.Encode(snap) }))
	case quorum.InstallSnapshot:
		act.install(val.Snapshot())
	case quorum.Apply:
		act.apply(val.Entry())
	case quorum.Accepted:
		act.atIndex[val.Index()] = append(act.atIndex[val.Index()], placedWaiter{id: val.ID(), term: val.Term()})
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

func (act *groupActor[M, C, R, S]) send(msg quorum.Message) {
	if act.cfg.Sender != nil {
		act.cfg.Sender.Send(msg.To(), wire.QuorumMessageToProto(act.cfg.Group, msg))
	}
}

// apply carries out a committed entry and answers the caller that proposed it,
// or the one whose entry was replaced by it.
func (act *groupActor[M, C, R, S]) apply(ent quorum.Entry) {
	if act.broken != nil {
		return
	}
	var res R
	if ent.Kind() == quorum.EntryCommand {
		cmd, err := act.cfg.Commands.Decode(ent.Data())
		if err != nil {
			act.broken = &CodecError{group: act.cfg.Group, index: ent.Index(), cause: err}
			return
		}
		res = act.cfg.Replica.Apply(cmd)
		if act.cfg.OnApply != nil {
			act.cfg.OnApply(ent.Index(), cmd, res)
		}
	}
	for _, wai := range act.atIndex[ent.Index()] {
		if wai.term == ent.Term() {
			act.answer(wai.id, result[R]{val: res})
		} else {
			act.answer(wai.id, result[R]{err: quorum.NewNotLeaderError(act.node.Role(act.cfg.Clock()).Leader())})
		}
	}
	delete(act.atIndex, ent.Index())
}

// install replaces the state by a received snapshot. What the commands up to
// its end returned is not known here.
func (act *groupActor[M, C, R, S]) install(snap quorum.Snapshot) {
	val, err := act.cfg.Snapshots.Decode(act.received)
	if err != nil {
		act.broken = &CodecError{group: act.cfg.Group, index: snap.Index(), cause: err}
		return
	}
	act.cfg.Replica.Restore(val)
	for idx, lst := range act.atIndex {
		if idx > snap.Index() {
			continue
		}
		delete(act.atIndex, idx)
		for _, wai := range lst {
			act.answer(wai.id, result[R]{err: &UnknownError{group: act.cfg.Group, cause: &SkippedError{}}})
		}
	}
}

func (act *groupActor[M, C, R, S]) roleChanged(role quorum.Role) {
	if !role.Leading() {
		for id, wai := range act.waiting {
			if wai.until == untilLeft {
				act.answer(id, result[R]{})
			}
		}
	}
	if act.cfg.OnRole != nil {
		act.cfg.OnRole(role)
	}
}

// serveReads runs the waiting reads if the lease holds and refuses them if this
// replica does not lead.
func (act *groupActor[M, C, R, S]) serveReads() {
	if len(act.parked) == 0 {
		return
	}
	now := act.cfg.Clock()
	role := act.node.Role(now)
	var keep []read[M]
	for _, rd := range act.parked {
		switch {
		case role.Leased():
			rd.run(now, role, act.cfg.Replica)
		case !role.Leading():
			rd.fail(quorum.NewNotLeaderError(role.Leader()))
		case rd.ctx.Err() == nil:
			keep = append(keep, rd)
		}
	}
	act.parked = keep
}

// stop answers everyone who still waits.
func (act *groupActor[M, C, R, S]) stop() {
	err := &UnknownError{group: act.cfg.Group, cause: &StoppedError{}}
	for id := range act.waiting {
		act.answer(id, result[R]{err: err})
	}
	for _, rd := range act.parked {
		rd.fail(err)
	}
}
