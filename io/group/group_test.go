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

// list is a state machine that stores every command.
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

// listCodec stores each command in the Vote field of a record, which is a string.
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

// deliver passes a message to one replica.
type deliver func(from model.VMID, msg *wire.QuorumMessage)

// network connects the replicas of a test. The zero value has no replicas.
type network struct {
	mu sync.Mutex
	// deliverByVM has an entry for each running replica.
	deliverByVM map[model.VMID]deliver
}

func (net *network) add(vm model.VMID, to deliver) {
	net.mu.Lock()
	defer net.mu.Unlock()
	if net.deliverByVM == nil {
		net.deliverByVM = map[model.VMID]deliver{}
	}
	net.deliverByVM[vm] = to
}

func (net *network) remove(vm model.VMID) {
	net.mu.Lock()
	defer net.mu.Unlock()
	delete(net.deliverByVM, vm)
}

// networkSender sends the messages of one replica over the network. Messages to a
// stopped replica are lost.
type networkSender struct {
	net  *network
	self model.VMID
}

func (sen networkSender) Send(to model.VMID, msg proto.Message) {
	sen.net.mu.Lock()
	dlv, ok := sen.net.deliverByVM[to]
	sen.net.mu.Unlock()
	if ok {
		dlv(sen.self, msg.(*wire.QuorumMessage))
	}
}

func (sen networkSender) Request(context.Context, model.VMID, proto.Message) (proto.Message, error) {
	return nil, &StoppedError{}
}

func startReplica(tb testing.TB, net *network, vm model.VMID, sto disk.Store, voters ...model.VMID) (testRef, func()) {
	tb.Helper()
	return startReplicaOf(tb, net, &list{}, textCodec{}, vm, sto, voters...)
}

func startReplicaOf[M quorum.Replica[string, int, []string]](tb testing.TB, net *network, mac M, cdc wire.Codec[string], vm model.VMID, sto disk.Store, voters ...model.VMID) (Ref[M, string, int, []string], func()) {
	tb.Helper()
	ref, stop, err := New(Config[M, string, int, []string]{
		Group: "test", Self: vm, Voters: voters, Replica: mac, Commands: cdc, Snapshots: listCodec{},
		Store: sto, Sender: networkSender{net: net, self: vm}, Seed: uint64(len(vm)) + uint64(vm[0]),
	})
	if err != nil {
		tb.Fatal(err)
	}
	net.add(vm, ref.Deliver)
	return ref, func() {
		net.remove(vm)
		stop()
	}
}

// waitForLeader polls the replicas until one serves a read under its leader lease,
// and returns it.
func waitForLeader[M quorum.Replica[string, int, []string]](ctx context.Context, tb testing.TB, refs ...Ref[M, string, int, []string]) Ref[M, string, int, []string] {
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

// Guards against a group with one voter that waits for messages of other voters
// before it commits.
func TestSingleVoterCommits(t *testing.T) {
	ctx := testContext(t)
	ref, stop := startReplica(t, &network{}, "a", nil, "a")
	defer stop()
	waitForLeader(ctx, t, ref)
	if got, err := ref.Propose(ctx, "x"); got != 1 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
}

// Guards against a command that is too large for a frame and blocks the log. It
// must be rejected, and the group must accept further commands.
func TestLargeCommandIsRefused(t *testing.T) {
	ctx := testContext(t)
	ref, stop := startReplica(t, &network{}, "a", nil, "a")
	defer stop()
	waitForLeader(ctx, t, ref)
	var large *SizeError
	if _, err := ref.Propose(ctx, strings.Repeat("x", maxCommandBytes+1)); !errors.As(err, &large) {
		t.Fatalf("error %v, want a SizeError", err)
	}
	if got, err := ref.Propose(ctx, strings.Repeat("x", maxCommandBytes)); got != 1 || err != nil {
		t.Fatalf("got %d, %v", got, err)
	}
}

// Guards against a command that is lost when leadership is transferred to another
// VM, and against a former leader that still accepts commands.
func TestThreeVotersKeepCommandsOverTransfer(t *testing.T) {
	ctx := testContext(t)
	net := &network{}
	var refs []testRef
	for _, vm := range []model.VMID{"a", "b", "c"} {
		ref, stop := startReplica(t, net, vm, nil, "a", "b", "c")
		defer stop()
		refs = append(refs, ref)
	}
	first := waitForLeader(ctx, t, refs...)
	for pos := range 100 {
		if got, err := first.Propose(ctx, strconv.Itoa(pos)); got != pos+1 || err != nil {
			t.Fatalf("got %d, %v", got, err)
		}
	}
	if err := first.TransferLeadership(ctx); err != nil {
		t.Fatal(err)
	}
	second := waitForLeader(ctx, t, refs...)
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
