package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"guavarail/core/model"
)

// eventTimeout bounds the wait for an event that must happen. It is far longer than
// any event takes, so that no result depends on timing.
const eventTimeout = 20 * time.Second

// boomError is returned by a request handler. Its type name and its text must reach the
// caller.
type boomError struct{}

func (boomError) Error() string { return "boom" }

// startHub starts a hub without peers on a free port.
func startHub(t *testing.T, self model.VMID, mux *Mux) (*Hub, func()) {
	t.Helper()
	hub, stop, err := New(Config{Self: self, Listen: "127.0.0.1:0", Mux: mux, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	return hub, stop
}

// eventually polls until ok returns true and fails the test after eventTimeout.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(eventTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// startTwoHubs starts two linked hubs, of the VMs a and b.
func startTwoHubs(t *testing.T, muxA, muxB *Mux) (hubA, hubB *Hub) {
	t.Helper()
	hubA, stopA := startHub(t, "a", muxA)
	hubB, stopB := startHub(t, "b", muxB)
	t.Cleanup(stopA)
	t.Cleanup(stopB)
	hubA.SetPeers(map[model.VMID]string{"b": hubB.Addr()})
	hubB.SetPeers(map[model.VMID]string{"a": hubA.Addr()})
	eventually(t, "link up", func() bool { return hubA.Vars().OpenLinks() == 1 && hubB.Vars().OpenLinks() == 1 })
	return hubA, hubB
}

// Guards against messages that are reordered or lost while a link is up.
func TestOrderedMessages(t *testing.T) {
	const num = 2000
	got := make(chan int64, num)
	mux := &Mux{}
	Handle(mux, func(_ model.VMID, msg *wrapperspb.Int64Value) { got <- msg.GetValue() })
	hubA, _ := startTwoHubs(t, nil, mux)
	for i := range int64(num) {
		hubA.Send("b", wrapperspb.Int64(i))
	}
	for want := range int64(num) {
		select {
		case val := <-got:
			if val != want {
				t.Fatalf("message %d arrived in place of %d", val, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("message %d did not arrive", want)
		}
	}
}

// Guards against failures of different kinds that reach the caller as the same error
// type.
func TestRequestOutcomes(t *testing.T) {
	mux := &Mux{}
	HandleRequest(mux, func(_ context.Context, from model.VMID, req *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
		return wrapperspb.String(string(from) + req.GetValue()), nil
	})
	HandleRequest(mux, func(context.Context, model.VMID, *wrapperspb.BoolValue) (*wrapperspb.BoolValue, error) {
		return nil, boomError{}
	})
	HandleRequest(mux, func(ctx context.Context, _ model.VMID, _ *wrapperspb.FloatValue) (*wrapperspb.FloatValue, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	hubA, _ := startTwoHubs(t, nil, mux)
	ctx := context.Background()
	if ans, err := Call[*wrapperspb.StringValue](ctx, hubA, "b", wrapperspb.String("x")); err != nil || ans.GetValue() != "ax" {
		t.Errorf("answer %v, error %v", ans, err)
	}
	var rem *RemoteError
	if _, err := hubA.Request(ctx, "b", wrapperspb.Bool(true)); !errors.As(err, &rem) || rem.Type() != "boomError" || rem.Text() != "boom" {
		t.Errorf("error %v, want a RemoteError of type boomError", err)
	}
	var unk *UnknownMessageError
	if _, err := hubA.Request(ctx, "b", wrapperspb.Int32(1)); !errors.As(err, &unk) || unk.Kind() != "google.protobuf.Int32Value" {
		t.Errorf("error %v, want an UnknownMessageError", err)
	}
	var unr *UnreachableError
	if _, err := hubA.Request(ctx, "c", wrapperspb.Int32(1)); !errors.As(err, &unr) {
		t.Errorf("error %v, want an UnreachableError", err)
	}
	short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
	defer cancel()
	var tim *TimeoutError
	if _, err := hubA.Request(short, "b", wrapperspb.Float(1)); !errors.As(err, &tim) {
		t.Errorf("error %v, want a TimeoutError", err)
	}
}

// Guards against a caller whose timeout in the middle of a large request closes the
// session that other requests use.
func TestAbandonedRequestKeepsTheSession(t *testing.T) {
	mux := &Mux{}
	HandleRequest(mux, func(_ context.Context, _ model.VMID, req *wrapperspb.BytesValue) (*wrapperspb.Int64Value, error) {
		return wrapperspb.Int64(int64(len(req.GetValue()))), nil
	})
	hubA, hubB := startTwoHubs(t, nil, mux)
	big := wrapperspb.Bytes(make([]byte, MaxFrame-1000))
	for wait := range 20 {
		ctx, cancel := context.WithTimeout(context.Background(), time.Duration(wait)*time.Millisecond)
		_, _ = hubA.Request(ctx, "b", big)
		cancel()
	}
	if _, err := hubA.Request(context.Background(), "b", big); err != nil {
		t.Errorf("request after abandoned ones: %v", err)
	}
	if num := hubA.Vars().Reconnects() + hubB.Vars().Reconnects(); num != 0 {
		t.Errorf("%d reconnects", num)
	}
}

// Guards against requests that still reach the old VM after a VM with the same name
// and another address replaced it.
func TestReplacedVMGetsTheRequests(t *testing.T) {
	answer := func(text string) *Mux {
		mux := &Mux{}
		HandleRequest(mux, func(context.Context, model.VMID, *wrapperspb.BoolValue) (*wrapperspb.StringValue, error) {
			return wrapperspb.String(text), nil
		})
		return mux
	}
	hubA, _ := startTwoHubs(t, nil, answer("old"))
	hubB, stop := startHub(t, "b", answer("new"))
	defer stop()
	hubB.SetPeers(map[model.VMID]string{"a": hubA.Addr()})
	hubA.SetPeers(map[model.VMID]string{"b": hubB.Addr()})
	eventually(t, "the new VM answers", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ans, err := Call[*wrapperspb.StringValue](ctx, hubA, "b", wrapperspb.Bool(true))
		return err == nil && ans.GetValue() == "new"
	})
}

// Guards against frames above MaxFrame on both sides: the sender must reject them,
// and the reader must reject them by their length, before it allocates a buffer.
func TestFrameBound(t *testing.T) {
	hubA, _ := startTwoHubs(t, nil, nil)
	var siz *FrameSizeError
	if _, err := hubA.Request(context.Background(), "b", wrapperspb.Bytes(make([]byte, MaxFrame))); !errors.As(err, &siz) {
		t.Errorf("error %v, want a FrameSizeError", err)
	}
	// The bytes are the length field of a frame of MaxFrame+1 bytes.
	left, right := net.Pipe()
	defer left.Close()
	go func() { _, _ = right.Write([]byte{0, 0x80, 0, 1}) }()
	if _, _, err := readFrame(left, MaxFrame, noReserve); !errors.As(err, &siz) || siz.Size() != MaxFrame+1 {
		t.Errorf("error %v, want a FrameSizeError", err)
	}
}

// Guards against two sessions for one pair of VMs, or none, when both dial at the
// same time, and against a link that is not reopened after a restart.
func TestOneSessionAfterRestart(t *testing.T) {
	hubA, hubB := startTwoHubs(t, nil, nil)
	mux := &Mux{}
	HandleRequest(mux, func(_ context.Context, _ model.VMID, req *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
		return req, nil
	})
	hubC, stop := startHub(t, "c", mux)
	all := map[model.VMID]string{"a": hubA.Addr(), "b": hubB.Addr(), "c": hubC.Addr()}
	for _, hub := range []*Hub{hubA, hubB, hubC} {
		hub.SetPeers(all)
	}
	up := func() bool {
		return hubA.Vars().OpenLinks() == 2 && hubB.Vars().OpenLinks() == 2 && hubC.Vars().OpenLinks() == 2
	}
	eventually(t, "three VMs linked", up)
	stop()
	eventually(t, "links to c closed", func() bool { return hubA.Vars().OpenLinks() == 1 && hubB.Vars().OpenLinks() == 1 })
	hubC, stop, err := New(Config{Self: "c", Listen: hubC.Addr(), Mux: mux, Peers: all})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	eventually(t, "three VMs linked again", up)
	eventually(t, "c answers", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := hubA.Request(ctx, "c", wrapperspb.String("x"))
		return err == nil
	})
}

// Guards against a queue that grows without bound while a VM is not reachable: only the
// newest maxQueuedUnlinked messages may stay queued, and they must arrive once the VM is
// reachable.
func TestUnlinkedQueueBound(t *testing.T) {
	const num = 3 * maxQueuedUnlinked
	hubA, stopA := startHub(t, "a", nil)
	defer stopA()
	got := make(chan int64, num)
	mux := &Mux{}
	Handle(mux, func(_ model.VMID, msg *wrapperspb.Int64Value) { got <- msg.GetValue() })
	hubB, stopB := startHub(t, "b", mux)
	defer stopB()
	hubA.SetPeers(map[model.VMID]string{"b": "127.0.0.1:1"})
	for i := range int64(num) {
		hubA.Send("b", wrapperspb.Int64(i))
	}
	eventually(t, "old messages dropped", func() bool { return hubA.Vars().Dropped() == num-maxQueuedUnlinked })
	hubA.SetPeers(map[model.VMID]string{"b": hubB.Addr()})
	hubB.SetPeers(map[model.VMID]string{"a": hubA.Addr()})
	for want := int64(num - maxQueuedUnlinked); want < num; want++ {
		select {
		case val := <-got:
			if val != want {
				t.Fatalf("message %d arrived in place of %d", val, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("message %d did not arrive", want)
		}
	}
}

var _ Sender = (*Hub)(nil)
