package disk

import (
	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/quorum"
)

// SaveSnapshot is a request to store a snapshot that this replica made. Its encode
// function returns the data and is called on the goroutine of the actor that owns the
// snapshots.
type SaveSnapshot struct {
	snap   quorum.Snapshot
	encode func() ([]byte, error)
}

// NewSaveSnapshot returns the request. The size of snap is set when encode returns the
// data. It must be safe to call encode on another goroutine.
func NewSaveSnapshot(snap quorum.Snapshot, encode func() ([]byte, error)) SaveSnapshot {
	return SaveSnapshot{snap: snap, encode: encode}
}

// StoredChunk reports that a chunk of a received snapshot was written. For the last chunk
// it has the data of the whole snapshot, which is then durable.
type StoredChunk struct {
	stored quorum.ChunkStored
	data   []byte
}

// Stored returns the input that reports the chunk to the consensus node.
func (chk StoredChunk) Stored() quorum.ChunkStored { return chk.stored }

// Data returns the data of the whole snapshot, or nil if the chunk is not the last one.
func (chk StoredChunk) Data() []byte { return chk.data }

// ChunkMessage is a consensus message whose snapshot chunk was read from the store. It is
// ready to be sent.
type ChunkMessage struct{ msg quorum.Message }

// Message returns the message.
func (msg ChunkMessage) Message() quorum.Message { return msg.msg }

// Callbacks holds the functions that the actors of a store call with their results, on
// their own goroutines. They must not block.
type Callbacks struct {
	// Input receives inputs for the consensus node.
	Input func(quorum.Input)
	// ChunkStored receives a report for each stored chunk of a received snapshot.
	ChunkStored func(StoredChunk)
	// ChunkRead receives the messages of Ref.ReadChunk, completed with the data of their
	// snapshot chunk.
	ChunkRead func(ChunkMessage)
}

// Ref addresses the two actors of a store. Its methods queue a message and do not block.
type Ref struct {
	sys   *actor.ActorSystem
	log   *actor.PID
	snaps *actor.PID
}

// Spawn starts the actors that own the store. Its error is a *SpawnError. The clean-up
// function stops them and returns once they have handled the messages queued before.
func Spawn(sys *actor.ActorSystem, name string, sto Store, cbs Callbacks) (Ref, func(), error) {
	log := func() actor.Actor { return &logActor{log: sto.Log(), callbacks: cbs} }
	snaps := func() actor.Actor { return &snapshotActor{snaps: sto.Snapshots(), callbacks: cbs} }
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

// Persist queues a change of the log. Once it is synced, Callbacks.Input receives a
// quorum.Persisted with its sequence number or a higher one.
func (ref Ref) Persist(eff quorum.Persist) { ref.sys.Root.Send(ref.log, eff) }

// Compact queues the replacement of the whole log. It is reported like Persist.
func (ref Ref) Compact(eff quorum.Compact) { ref.sys.Root.Send(ref.log, eff) }

// Save queues a snapshot to be stored. Once it is durable, Callbacks.Input receives a
// quorum.SnapshotSaved.
func (ref Ref) Save(req SaveSnapshot) { ref.sys.Root.Send(ref.snaps, req) }

// StoreChunk queues a chunk of a received snapshot to be stored.
func (ref Ref) StoreChunk(eff quorum.StoreChunk) { ref.sys.Root.Send(ref.snaps, eff) }

// ReadChunk queues a message whose data is to be read from a stored snapshot. If that
// snapshot is no longer stored, the message is dropped.
func (ref Ref) ReadChunk(eff quorum.SendChunk) { ref.sys.Root.Send(ref.snaps, eff) }

// flush is the message that makes the log actor sync. It is queued behind the changes
// that arrived before it, so that one sync covers all of them.
type flush struct{}

// logActor owns the log and groups the changes that arrive during a sync.
type logActor struct {
	log       Log
	callbacks Callbacks
	// pending is the sequence number of the newest change that is written but not
	// synced, or 0.
	pending uint64
	// failed is true after the first error; all later messages are ignored.
	failed bool
}

// Receive handles one actor message.
func (act *logActor) Receive(ctx actor.Context) {
	if act.failed {
		return
	}
	switch msg := ctx.Message().(type) {
	case quorum.Persist:
		act.failOn(act.log.Append(msg.HardState(), msg.Entries()))
		if act.pending == 0 {
			ctx.Send(ctx.Self(), flush{})
		}
		act.pending = msg.Seq()
	case flush:
		act.sync()
	case quorum.Compact:
		act.failOn(act.log.Replace(msg.Stored().HardState(), msg.Stored().Entries()))
		act.sendPersisted(msg.Seq())
	case *actor.Stopping:
		act.sync()
	}
}

// sync syncs the log and reports the changes that were written before.
func (act *logActor) sync() {
	if act.pending == 0 || act.failed {
		return
	}
	seq := act.pending
	act.pending = 0
	act.failOn(act.log.Sync())
	act.sendPersisted(seq)
}

// sendPersisted reports all changes up to seq as durable, unless the log has failed.
func (act *logActor) sendPersisted(seq uint64) {
	if !act.failed {
		act.callbacks.Input(quorum.NewPersisted(seq))
	}
}

// failOn halts the consensus node and ignores all later messages if err is not nil: after
// a failed sync it is unknown what is on disk.
func (act *logActor) failOn(err error) {
	if err != nil && !act.failed {
		act.failed = true
		act.callbacks.Input(quorum.NewHalt(err))
	}
}

// snapshotActor owns the snapshots. After an error it halts the consensus node and ignores
// all later messages.
type snapshotActor struct {
	snaps     Snapshots
	callbacks Callbacks
	failed    bool
}

// Receive handles one actor message.
func (act *snapshotActor) Receive(ctx actor.Context) {
	if act.failed {
		return
	}
	var err error
	switch msg := ctx.Message().(type) {
	case SaveSnapshot:
		err = act.saveSnapshot(msg)
	case quorum.StoreChunk:
		err = act.storeChunk(msg)
	case quorum.SendChunk:
		err = act.readChunk(msg)
	}
	if err != nil {
		act.failed = true
		act.callbacks.Input(quorum.NewHalt(err))
	}
}

func (act *snapshotActor) saveSnapshot(msg SaveSnapshot) error {
	data, err := msg.encode()
	if err != nil {
		return err
	}
	snap := msg.snap.WithSize(uint64(len(data)))
	if err := act.snaps.Save(snap, data); err != nil {
		return err
	}
	act.callbacks.Input(quorum.NewSnapshotSaved(snap))
	return nil
}

func (act *snapshotActor) storeChunk(msg quorum.StoreChunk) error {
	data, err := act.snaps.Receive(msg.Snapshot(), msg.Offset(), msg.Data(), msg.Last())
	if err != nil {
		return err
	}
	end := msg.Offset() + uint64(len(msg.Data()))
	act.callbacks.ChunkStored(StoredChunk{stored: quorum.NewChunkStored(msg.From(), msg.Snapshot(), end), data: data})
	return nil
}

// readChunk completes a message with its data. It drops the message if the snapshot is no
// longer stored.
func (act *snapshotActor) readChunk(msg quorum.SendChunk) error {
	spec := msg.Message().Spec()
	data, err := act.snaps.Read(spec.Snapshot, spec.Offset, msg.Length())
	if err != nil || data == nil && msg.Length() > 0 {
		return err
	}
	spec.Data = data
	act.callbacks.ChunkRead(ChunkMessage{msg: quorum.NewMessage(spec)})
	return nil
}
