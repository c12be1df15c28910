package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/io/fake/relay"
	"guavarail/io/host"
)

// relayPair holds the relays between hubs a and b, one for each hub that dials.
type relayPair struct {
	// fromA is dialled by hub a and fromB by hub b.
	fromA, fromB *relay.Relay
}

// setStall sets whether the relays stall the bytes from a to b (ab) and from b to a (ba),
// whichever hub dialled.
func (re relayPair) setStall(ab, ba bool) {
	re.fromA.SetFault(relay.ToTarget, relay.Fault{Stall: ab})
	re.fromA.SetFault(relay.ToClient, relay.Fault{Stall: ba})
	re.fromB.SetFault(relay.ToTarget, relay.Fault{Stall: ba})
	re.fromB.SetFault(relay.ToClient, relay.Fault{Stall: ab})
}

// startRelay starts a relay to addr.
func startRelay(t *testing.T, addr string) *relay.Relay {
	t.Helper()
	sys, stopSys := host.NewSystem(hclog.NewNullLogger())
	t.Cleanup(stopSys)
	rel, stop, err := relay.New(relay.Config{System: sys, Listen: "127.0.0.1:0", Target: addr})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return rel
}

// startThreeHubs starts hubs a, b and c; a and b are linked through relays.
func startThreeHubs(t *testing.T, mux *Mux) (hubA, hubB, hubC *Hub, re relayPair) {
	t.Helper()
	hubs := make([]*Hub, 3)
	for at, vm := range []model.VMID{"a", "b", "c"} {
		hub, stop := startHub(t, vm, mux)
		t.Cleanup(stop)
		hubs[at] = hub
	}
	re = relayPair{fromA: startRelay(t, hubs[1].Addr()), fromB: startRelay(t, hubs[0].Addr())}
	hubs[0].SetPeers(map[model.VMID]string{"b": re.fromA.Addr(), "c": hubs[2].Addr()})
	hubs[1].SetPeers(map[model.VMID]string{"a": re.fromB.Addr(), "c": hubs[2].Addr()})
	hubs[2].SetPeers(map[model.VMID]string{"a": hubs[0].Addr(), "b": hubs[1].Addr()})
	eventually(t, "three VMs linked", func() bool {
		return hubs[0].Vars().OpenLinks() == 2 && hubs[1].Vars().OpenLinks() == 2 && hubs[2].Vars().OpenLinks() == 2
	})
	return hubs[0], hubs[1], hubs[2], re
}

// Guards against a link that stays open while it delivers in one direction only:
// both VMs must close it, and reconnect once both directions work again.
func TestOneWayLinkIsClosed(t *testing.T) {
	// Each case stalls the bytes from a to b (ab) or from b to a (ba).
	for _, tc := range []struct {
		name   string
		ab, ba bool
	}{{"to the higher name", true, false}, {"to the lower name", false, true}} {
		t.Run(tc.name, func(t *testing.T) {
			mux := &Mux{}
			HandleRequest(mux, func(_ context.Context, _ model.VMID, req *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
				return req, nil
			})
			hubA, hubB, _, re := startThreeHubs(t, mux)
			re.setStall(tc.ab, tc.ba)
			hubA.Send("b", wrapperspb.Bool(true))
			hubB.Send("a", wrapperspb.Bool(true))
			eventually(t, "link closed on both sides", func() bool {
				return hubA.Vars().OpenLinks() == 1 && hubB.Vars().OpenLinks() == 1
			})
			re.setStall(false, false)
			for _, hub := range []*Hub{hubA, hubB} {
				to := model.VMID("a")
				if hub == hubA {
					to = "b"
				}
				eventually(t, "answer again", func() bool {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					_, err := hub.Request(ctx, to, wrapperspb.String("x"))
					return err == nil
				})
			}
		})
	}
}

// Guards against a VM that does not read from its link and thereby blocks the
// messages and requests to another VM, or makes the sender's queue grow without bound.
func TestStalledVMDoesNotBlockOthers(t *testing.T) {
	// All messages to b, of 60 KiB each, fit in the mailbox of the hub, so that only the
	// bounds of the link can drop them.
	const num = maxMailboxBytes / (64 << 10)
	mux := &Mux{}
	got := make(chan int64, 1000)
	Handle(mux, func(_ model.VMID, msg *wrapperspb.Int64Value) { got <- msg.GetValue() })
	HandleRequest(mux, func(_ context.Context, _ model.VMID, req *wrapperspb.StringValue) (*wrapperspb.StringValue, error) {
		return req, nil
	})
	hubA, _, _, re := startThreeHubs(t, mux)
	re.setStall(true, true)
	big := wrapperspb.Bytes(make([]byte, 60<<10))
	for range num {
		hubA.Send("b", big)
	}
	for val := range int64(1000) {
		hubA.Send("c", wrapperspb.Int64(val))
	}
	for want := range int64(1000) {
		select {
		case val := <-got:
			if val != want {
				t.Fatalf("message %d in place of %d", val, want)
			}
		case <-time.After(eventTimeout):
			t.Fatalf("message %d did not arrive", want)
		}
	}
	if _, err := hubA.Request(context.Background(), "c", wrapperspb.String("x")); err != nil {
		t.Errorf("request to c: %v", err)
	}
	var unr *UnreachableError
	if _, err := hubA.Request(context.Background(), "b", wrapperspb.String("x")); !errors.As(err, &unr) {
		t.Errorf("request to b: %v, want an UnreachableError", err)
	}
	eventually(t, "messages to b dropped", func() bool { return hubA.Vars().Dropped() > num/2 })
}

// Guards against a failure detector that, over real links, does not report a stopped VM
// as dead or a restarted VM as alive.
func TestDetectorOverLinks(t *testing.T) {
	vms := []model.VMID{"a", "b", "c"}
	addrs := map[model.VMID]string{}
	startVM := func(vm model.VMID, listen string) (*Detector, *Hub, func()) {
		sys, stopSys := host.NewSystem(hclog.NewNullLogger())
		mux := &Mux{}
		hub, stopHub, err := New(Config{System: sys, Self: vm, Listen: listen, Mux: mux})
		if err != nil {
			t.Fatal(err)
		}
		det, stopDetector, err := StartDetector(DetectorConfig{
			System: sys, Sender: hub, Mux: mux, Member: member.Config{Self: vm, Peers: vms, Seed: uint64(len(vm))},
		})
		if err != nil {
			t.Fatal(err)
		}
		return det, hub, func() { stopDetector(); stopHub(); stopSys() }
	}
	dets, hubs, stops := make([]*Detector, 3), make([]*Hub, 3), make([]func(), 3)
	for at, vm := range vms {
		dets[at], hubs[at], stops[at] = startVM(vm, "127.0.0.1:0")
		addrs[vm] = hubs[at].Addr()
	}
	for _, hub := range hubs {
		hub.SetPeers(addrs)
	}
	waitForState := func(at int, vm model.VMID, want member.State) {
		t.Helper()
		eventually(t, string(vms[at])+" reports "+string(vm)+" as "+want.String(), func() bool {
			ups, err := dets[at].States()
			for _, up := range ups {
				if up.VM() == vm {
					return err == nil && up.State() == want
				}
			}
			return false
		})
	}
	waitForState(0, "c", member.Alive)
	waitForState(1, "c", member.Alive)
	stops[2]()
	waitForState(0, "c", member.Dead)
	waitForState(1, "c", member.Dead)
	dets[2], hubs[2], stops[2] = startVM("c", addrs["c"])
	hubs[2].SetPeers(addrs)
	// a and b must report the restarted VM c as alive, and c must report a.
	for at, vm := range []model.VMID{"c", "c", "a"} {
		waitForState(at, vm, member.Alive)
	}
	for _, stop := range stops {
		stop()
	}
}
