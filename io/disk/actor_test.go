package disk

import (
	"log/slog"
	"syscall"
	"testing"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/quorum"
)

// gateLog waits in each sync until the test lets it go on.
type gateLog struct {
	appended int
	syncs    chan chan error
}

func (gl *gateLog) Append(quorum.HardState, []quorum.Entry) error {
	gl.appended++
	return nil
}

func (gl *gateLog) Sync() error {
	gate := make(chan error)
	gl.syncs <- gate
	return <-gate
}

func (gl *gateLog) Replace(quorum.HardState, []quorum.Entry) error { return nil }

type gateStore struct {
	*Memory
	log *gateLog
}

func (gs gateStore) Log() Log { return gs.log }

func testSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.DiscardHandler)
	}))
}

// persists returns count writes as a node numbers them.
func persists(count int) []quorum.Persist {
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

// Guards group commit: writes that arrive during a sync share the next one, and
// a failed sync answers none of them and ends the work.
func TestWritesDuringASyncShareTheNext(t *testing.T) {
	gl := &gateLog{syncs: make(chan chan error)}
	told := make(chan quorum.Input, 100)
	ref, stop, err := Spawn(testSystem(), "test", gateStore{Memory: NewMemory(), log: gl}, Callbacks{Input: func(in quorum.Input) { told <- in }})
	if err != nil {
		t.Fatal(err)
	}
	lst := persists(12)
	ref.Persist(lst[0])
	gate := <-gl.syncs
	for _, eff := range lst[1:11] {
		ref.Persist(eff)
	}
	gate <- nil
	if got := <-told; got != quorum.NewPersisted(lst[0].Seq()) {
		t.Fatalf("got %v", got)
	}
	gate = <-gl.syncs
	if gl.appended != 11 {
		t.Fatalf("the second sync covers %d writes, want 11", gl.appended)
	}
	gate <- syscall.ENOSPC
	if got := <-told; got != quorum.NewHalt(syscall.ENOSPC) {
		t.Fatalf("got %v", got)
	}
	ref.Persist(lst[11])
	stop()
	if len(told) > 0 {
		t.Fatalf("got %v after a failed sync", <-told)
	}
}
