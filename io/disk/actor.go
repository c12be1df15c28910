package disk

import (
	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/quorum"
)

// SaveSnapshot asks for a snapshot to be stored. Encode runs on the actor that
// owns the snapshots.
type SaveSnapshot struct {
	snap   quorum.Snapshot
	encode func() ([]byte, error)
}

// NewSaveSnapshot returns the request.
func NewSaveSnapshot(snap quorum.Snapshot, encode func() ([]byte, error)) SaveSnapshot {
	return SaveSnapshot{snap: snap, encode: encode}
}

// StoredChunk tells that a piece of a snapshot is stored. The data is the whole
// snapshot when it is complete.
type StoredChunk struct {
	stored quorum.ChunkStored
	data   []byte
}

// Stored returns the input for the node.
func (rcv StoredChunk) Stored() quorum.ChunkStored { return rcv.stored }

// Data returns the whole snapshot after its last piece.
func (rcv StoredChunk) Data() []byte { return rcv.data }

// ChunkMessage is a message with the data of its piece, ready to be sent.
type ChunkMessage struct{ msg quorum.Message }

// Message returns the message.
func (fil ChunkMessage) Message() quorum.Message { return fil.msg }

// Callbacks receives the answers of the actors. It must not block.
type Callbacks struct {
	// Input takes inputs of the node.
	Input func(quorum.Input)
	// ChunkStored takes stored pieces.
	ChunkStored func(StoredChunk)
	// ChunkRead takes messages with the data of their piece.
	ChunkRead func(ChunkMessage)
}

// Ref addresses the actors of a store.
type Ref struct {
	sys   *actor.ActorSystem
	log   *actor.PID
	snaps *actor.PID
}

// Spawn starts the actors that own the store. The clean-up function returns
// once they have handled what was queued before.
func Spawn(sys *actor.ActorSystem, name string, sto Store, own Callbacks) (Ref, func(), error) {
	log := func() actor.Actor { return &logActor{log: sto.Log(), own: own} }
	snaps := func() actor.Actor { return &snapshotActor{snaps: sto.Snapshots(), own: own} }
	ref := Ref{sys: sys}
	var err error
	if ref.log, err = sys.Root.SpawnNamed(actor.PropsFromProducer(log), name+"/log"); err != nil {
		return Ref{}, func() {}, &SpawnError{name: name, cause: err}
	}
	if ref.snaps, err = sys.Root.SpawnNamed(actor.PropsFromProducer(snaps), name+"/snapshots"); err != nil {
		_ = sys.Root.PoisonFuture(ref.log).Wait()
		return Ref{}, func() {}, &SpawnError{name: name, cause: err}
	}
	return ref, func() {
		_ = sys.Root.PoisonFuture(ref.log).Wait()
		_ = sys.Root.PoisonFuture(ref.snaps).Wait()
	}, nil
}

// Persist queues a change of the log.
func (ref Ref) Persist(eff quorum.Persist) { ref.sys.Root.Send(ref.log, eff) }

// Compact queues the replacement of the log.
func (ref Ref) Compact(eff quorum.Compact) { ref.sys.Root.Send(ref.log, eff) }

// Save queues a snapshot.
func (ref Ref) Save(req SaveSnapshot) { ref.sys.Root.Send(ref.snaps, req) }

// StoreChunk queues a piece of a received snapshot.
func (ref Ref) StoreChunk(eff quorum.StoreChunk) { ref.sys.Root.Send(ref.snaps, eff) }

// ReadChunk queues a message that needs a piece of a stored snapshot.
func (ref Ref) ReadChunk(eff quorum.SendChunk) { ref.sys.Root.Send(ref.snaps, eff) }

// flush asks the log actor to sync. It is queued behind the changes that
// arrived before it.
type flush struct{}

// logActor owns the log.
type logActor struct {
	log Log
	own Callbacks
	// pending is the newest change that is written and not synced, or 0.
	pending uint64
	failed  bool
}

// Receive handles one actor message.
func (act *logActor) Receive(ctx actor.Context) {
	if act.failed {
		return
	}
	switch msg := ctx.Message().(type) {
	case quorum.Persist:
		act.check(act.log.Append(msg.HardState(), msg.Entries()))
		if act.pending == 0 {
			ctx.Send(ctx.Self(), flush{})
		}
		act.pending = msg.Seq()
	case flush:
		act.sync()
	case quorum.Compact:
		act.check(act.log.Replace(msg.Stored().HardState(), msg.Stored().Entries()))
		act.answer(msg.Seq())
	case *actor.Stopping:
		act.sync()
	}
}

func (act *logActor) sync() {
	if act.pending == 0 || act.failed {
		return
	}
	seq := act.pending
	act.pending = 0
	act.check(act.log.Sync())
	act.answer(seq)
}

func (act *logActor) answer(seq uint64) {
	if !act.failed {
		act.own.Input(quorum.NewPersisted(seq))
	}
}

// check stops the actor's work for good on the first error: after a failed sync
// it is not known what is on disk.
func (act *logActor) check(err error) {
	if err != nil && !act.failed {
		act.failed = true
		act.own.Input(quorum.NewHalt(err))
	}
}

// snapshotActor owns the snapshots.
type snapshotActor struct {
	snaps  Snapshots
	own    Callbacks
	failed bool
}

// Receive handles one actor message.
func (act *snapshotActor) Receive(ctx actor.Context) {
	if act.failed {
		return
	}
	var err error
	switch msg := ctx.Message().(type) {
	case SaveSnapshot:
		err = act.save(msg)
	case quorum.StoreChunk:
		err = act.store(msg)
	case quorum.SendChunk:
		err = act.fill(msg)
	}
	if err != nil {
		act.failed = true
		act.own.Input(quorum.NewHalt(err))
	}
}

func (act *snapshotActor) save(msg SaveSnapshot) error {
	data, err := msg.encode()
	if err != nil {
		return err
	}
	snap := msg.snap.WithSize(uint64(len(data)))
	if err := act.snaps.Save(snap, data); err != nil {
		return err
	}
	act.own.Input(quorum.NewSnapshotSaved(snap))
	return nil
}

func (act *snapshotActor) store(msg quorum.StoreChunk) error {
	data, err := act.snaps.Receive(msg.Snapshot(), msg.Offset(), msg.Data(), msg.Last())
	if err != nil {
		return err
	}
	end := msg.Offset() + uint64(len(msg.Data()))
	act.own.ChunkStored(StoredChunk{stored: quorum.NewChunkStored(msg.From(), msg.Snapshot(), end), data: data})
	return nil
}

func (act *snapshotActor) fill(msg quorum.SendChunk) error {
	spec := msg.Message().Spec()
	data, err := act.snaps.Read(spec.Snapshot, spec.Offset, msg.Length())
	if err != nil || data == nil && msg.Length() > 0 {
		return err
	}
	spec.Data = data
	act.own.ChunkRead(ChunkMessage{msg: quorum.NewMessage(spec)})
	return nil
}
