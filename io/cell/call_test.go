package cell

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/model"
	"guavarail/io/config"
	"guavarail/io/disk"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// ackTimeout is the time in which an operator's order must be acknowledged.
const ackTimeout = 4 * time.Second

// fakeVM is another VM of a cell, which answers that it leads while term is not 0.
type fakeVM struct {
	term atomic.Uint64
	// hangs makes calls wait until their caller gives up.
	hangs bool
}

// startFakeVM starts a fake VM on an address.
func startFakeVM(t *testing.T, address string, hangs bool) *fakeVM {
	t.Helper()
	fake, mux := &fakeVM{hangs: hangs}, &peer.Mux{}
	peer.HandleRequest(mux, func(context.Context, model.VMID, *wire.CellHello) (*wire.CellWelcome, error) {
		return &wire.CellWelcome{Leased: fake.term.Load() > 0, Term: fake.term.Load()}, nil
	})
	peer.HandleRequest(mux, func(ctx context.Context, _ model.VMID, _ *wire.CellCall) (*wire.CellReply, error) {
		if fake.hangs {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return &wire.CellReply{Status: 200}, nil
	})
	_, stop, err := peer.New(peer.Config{Self: model.VMID(address), Listen: address, Mux: mux, AcceptUnlisted: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return fake
}

// Guards against an order that is not acknowledged in time because its calls wait for a
// former leader that still answers that it leads, but serves no call.
func TestOrderIsAcknowledgedBesideAFormerLeader(t *testing.T) {
	lis, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	port := lis.Addr().(*net.TCPAddr).Port
	_ = lis.Close()
	former := startFakeVM(t, fmt.Sprintf("127.0.9.2:%d", port), true)
	next := startFakeVM(t, fmt.Sprintf("127.0.9.3:%d", port), false)
	former.term.Store(1)
	set, err := config.ParseCell("test.ini", fmt.Appendf(nil, "[vm]\nname = vm-1\ncentre = centre-1\nregion = north\n"+
		"[listen]\npeers = 127.0.9.1:%d\ncallers = 127.0.9.1:%d\n[cell]\nseeds = 127.0.9.2:%d,127.0.9.3:%d\n", port, port+1, port, port))
	if err != nil {
		t.Fatal(err)
	}
	vm, stop, err := newVM(set, hclog.NewNullLogger(), disk.OS{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	for end := time.Now().Add(20 * time.Second); !vm.Ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no leader was found")
		}
	}
	next.term.Store(2)
	ctx, cancel := context.WithTimeout(t.Context(), ackTimeout)
	defer cancel()
	for {
		rep, err := vm.Route(ctx, Call{Method: "POST", Path: "/order"})
		if err == nil && rep.Status == 200 {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("no acknowledgement within %v: %v", ackTimeout, err)
		}
	}
}
