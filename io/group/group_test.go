package group

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/disk"
	"guavarail/io/wire"
)

// list is a state machine that keeps every command.
type list struct{ cmds []string }

func (lst *list) Apply(cmd string) int {
	lst.cmds = append(lst.cmds, cmd)
	return len(lst.cmds)
}

func (lst *list) Snapshot() []string { return append([]string(nil), lst.cmds...) }

func (lst *list) Restore(snap []string) { lst.cmds = append([]string(nil), snap...) }

type textCodec struct{}

func (textCodec) Encode(val string) ([]byte, error) { return []byte(val), nil }

func (textCodec) Decode(buf []byte) (string, error) { return string(buf), nil }

type listCodec struct{}

func (listCodec) Encode(val []string) ([]byte, error) {
	msg := &wire.QuorumBatch{}
	for _, cmd := range val {
		msg.Records = append(msg.Records, &wire.QuorumRecord{Vote: cmd})
	}
	return proto.Marshal(msg)
}

func (listCodec) Decode(buf []byte) ([]string, error) {
	var msg wire.QuorumBatch
	err := proto.Unmarshal(buf, &msg)
	var out []string
	for _, rec := range msg.GetRecords() {
		out = append(out, rec.GetVote())
	}
	return out, err
}

type testRef = Ref[*list, string, int, []string]

// deliver is the input of one replica.
type deliver func(from model.VMID, msg *wire.QuorumMessage)

// links joins the replicas of a test. The zero value has none.
type links struct {
	mu   sync.Mutex
	refs map[model.VMID]deliver
}

func (lin *links) add(vm model.VMID, to deliver) {
	lin.mu.Lock()
	defer lin.mu.Unlock()
	if lin.refs == nil {
		lin.refs = map[model.VMID]deliver{}
	}
	lin.refs[vm] = to
}

func (lin *links) remove(vm model.VMID) {
	lin.mu.Lock()
	defer lin.mu.Unlock()
	delete(lin.refs, vm)
}

type link struct {
	lin  *links
	self model.VMID
}

func (lk link) Send(to model.VMID, msg proto.Message) {
	lk.lin.mu.Lock()
	dlv, ok := lk.lin.refs[to]
	lk.lin.mu.Unlock()
	if ok {
		dlv(lk.self, msg.(*wire.QuorumMessage))
	}
}

func (lk link) Request(context.Context, model.VMID, proto.Message) (proto.Message, error) {
	return nil, &StoppedError{}
}

func startReplica(tb testing.TB, lin *links, vm model.VMID, sto disk.Store, voters ...model.VMID) (testRef, func()) {
	tb.Helper()
	return startWith(tb, lin, &list{}, vm, sto, voters...)
}

func startWith[M quorum.Replica[string, int, []string]](tb testing.TB, lin *links, mac M, vm model.VMID, sto disk.Store, voters ...model.VMID) (Ref[M, string, int, []string], func()) {
	tb.Helper()
	ref, stop, err := New(Config[M, string, int, []string]{
		Group: "test", Self: vm, Voters: voters, Replica: mac, Commands: textCodec{}, Snapshots: listCodec{},
		Store: sto, Sender: link{lin: lin, self: vm}, Seed: uint64(len(vm)) + uint64(vm[0]),
	})
	if err != nil {
		tb.Fatal(err)
	}
	lin.add(vm, ref.Deliver)
	return ref, func() {
		lin.remove(vm)
		stop()
	}
}

// leaderOf waits until one of the replicas serves a read under its lease.
func leaderOf[M quorum.Replica[string, int, []string]](ctx context.Context, tb testing.TB, refs ...Ref[M, string, int, []string]) Ref[M, string, int, []string] {
	tb.Helper()
	for {
		for _, ref := range refs {
			if _, err := Read(ctx, ref, func(model.Instant, quorum.Role, M) int { return 0 }); err == nil {
				return ref
			}
		}
		select {
		case <-ctx.Done():
			tb.Fatal("no leader")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func testContext(tb testing.TB) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	tb.Cleanup(cancel)
	return ctx
}

// Guards a group of one: it must commit without any message.
func TestSingleVoterCommits(t *testing.T) {
	ctx := testContext(t)
	ref, stop := startReplica(t, &links{}, "a", nil, "a")
	defer stop()
	leaderOf(ctx, t, ref)
	if got, err := ref.Propose(ctx, "x"); got != 1 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
}

// Guards the log against a command that no frame can carry: it must be refused
// and leave the group working.
func TestLargeCommandIsRefused(t *testing.T) {
	ctx := testContext(t)
	ref, stop := startReplica(t, &links{}, "a", nil, "a")
	defer stop()
	leaderOf(ctx, t, ref)
	var large *SizeError
	if _, err := ref.Propose(ctx, strings.Repeat("x", maxCommand+1)); !errors.As(err, &large) {
		t.Fatalf("got %v", err)
	}
	if got, err := ref.Propose(ctx, strings.Repeat("x", maxCommand)); got != 1 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
}

// Guards the whole path: a command that one leader accepted must be there
// after leadership was handed to another VM.
func TestThreeVotersKeepCommandsOverTransfer(t *testing.T) {
	ctx := testContext(t)
	lin := &links{}
	var refs []testRef
	for _, vm := range []model.VMID{"a", "b", "c"} {
		ref, stop := startReplica(t, lin, vm, nil, "a", "b", "c")
		defer stop()
		refs = append(refs, ref)
	}
	first := leaderOf(ctx, t, refs...)
	for pos := range 100 {
		if got, err := first.Propose(ctx, strconv.Itoa(pos)); got != pos+1 || err != nil {
			t.Fatalf("got %d, %v", got, err)
		}
	}
	if err := first.TransferLeadership(ctx); err != nil {
		t.Fatal(err)
	}
	second := leaderOf(ctx, t, refs...)
	if first.self == second.self {
		t.Fatalf("%s still leads", first.self)
	}
	if got, err := second.Propose(ctx, "last"); got != 101 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
	if _, err := first.Propose(ctx, "late"); err == nil {
		t.Fatal("a replica that does not lead accepted a command")
	}
}
