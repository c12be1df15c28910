package disk

import (
	"log/slog"
	"syscall"
	"testing"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/quorum"
)

// blockingLog blocks in each sync until the test sends the result of the sync.
type blockingLog struct {
	appended int
	syncs    chan chan error
}

func (bl *blockingLog) Append(quorum.HardState, []quorum.Entry) error {
	bl.appended++
	return nil
}

func (bl *blockingLog) Sync() error {
	release := make(chan error)
	bl.syncs <- release
	return <-release
}

func (bl *blockingLog) Replace(quorum.HardState, []quorum.Entry) error { return nil }

// blockingStore is a Memory whose log is a blockingLog.
type blockingStore struct {
	*Memory
	log *blockingLog
}

func (bs blockingStore) Log() Log { return bs.log }

// testSystem returns an actor system that logs nothing.
func testSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
}

// persistEffects returns the first count Persist effects of a consensus node whose writes
// all succeed.
func persistEffects(count int) []quorum.Persist {
	node := quorum.NewNode(quorum.Config{Self: "a", Disk: "d"})
	var lst []quorum.Persist
	for in := []quorum.Input{quorum.Tick{}}; len(lst) < count; {
		for _, eff := range node.Step(0, in[0]) {
			if val, ok := eff.(quorum.Persist); ok {
				lst = append(lst, val)
				in = append(in, quorum.NewPersisted(val.Seq()), quorum.NewPropose(quorum.NewProposal(1, nil)))
			}
		}
		in = in[1:]
	}
	return lst
}

// Guards against a sync for each write: writes that arrive during a sync must share the
// next one (group commit). It also guards against a confirmation of writes whose sync
// failed, and of writes after that.
func TestWritesDuringASyncShareTheNext(t *testing.T) {
	bl := &blockingLog{syncs: make(chan chan error)}
	inputs := make(chan quorum.Input, 100)
	ref, stop, err := Spawn(testSystem(), "test", blockingStore{Memory: NewMemory(), log: bl}, Callbacks{Input: func(in quorum.Input) { inputs <- in }})
	if err != nil {
		t.Fatal(err)
	}
	lst := persistEffects(12)
	ref.Persist(lst[0])
	release := <-bl.syncs
	for _, eff := range lst[1:11] {
		ref.Persist(eff)
	}
	release <- nil
	if got := <-inputs; got != quorum.NewPersisted(lst[0].Seq()) {
		t.Fatalf("got %v, want Persisted with the sequence number of the first write", got)
	}
	release = <-bl.syncs
	if bl.appended != 11 {
		t.Fatalf("the second sync covers %d writes, want 11", bl.appended)
	}
	release <- syscall.ENOSPC
	if got := <-inputs; got != quorum.NewHalt(syscall.ENOSPC) {
		t.Fatalf("got %v, want Halt with the error of the sync", got)
	}
	ref.Persist(lst[11])
	stop()
	if len(inputs) > 0 {
		t.Fatalf("got %v after a failed sync", <-inputs)
	}
}
