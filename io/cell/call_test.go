package cell

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/io/config"
	"guavarail/io/disk"
	"guavarail/io/group"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// ackTimeout is the time in which an operator's order must be acknowledged.
const ackTimeout = 4 * time.Second

// fakeVM is another VM of a cell, which answers that it leads while term is not 0.
type fakeVM struct {
	term atomic.Uint64
}

// startFakeVM starts a fake VM on an address, which serves calls with a function.
func startFakeVM(t *testing.T, address string, serve func(ctx context.Context) (*wire.CellReply, error)) *fakeVM {
	t.Helper()
	fake, mux := &fakeVM{}, &peer.Mux{}
	peer.HandleRequest(mux, func(context.Context, model.VMID, *wire.CellHello) (*wire.CellWelcome, error) {
		return &wire.CellWelcome{Leased: fake.term.Load() > 0, Term: fake.term.Load()}, nil
	})
	peer.HandleRequest(mux, func(ctx context.Context, _ model.VMID, _ *wire.CellCall) (*wire.CellReply, error) {
		return serve(ctx)
	})
	_, stop, err := peer.New(peer.Config{Self: model.VMID(address), Listen: address, Mux: mux, AcceptUnlisted: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	return fake
}

// startEntryVM starts a VM without a disk, with fake VMs as its seeds, one for each function,
// of which the first leads, and waits until it has found the leader.
func startEntryVM(t *testing.T, serve ...func(ctx context.Context) (*wire.CellReply, error)) (*VM, []*fakeVM) {
	t.Helper()
	lis, err := net.Listen("tcp", "0.0.0.0:0")
	if err != nil {
		t.Fatal(err)
	}
	port := lis.Addr().(*net.TCPAddr).Port
	_ = lis.Close()
	var fakes []*fakeVM
	var seeds []string
	for i, fn := range serve {
		address := fmt.Sprintf("127.0.9.%d:%d", i+2, port)
		fakes, seeds = append(fakes, startFakeVM(t, address, fn)), append(seeds, address)
	}
	fakes[0].term.Store(1)
	set, err := config.ParseCell("test.ini", fmt.Appendf(nil, "[vm]\nname = vm-1\ncentre = centre-1\nregion = north\n"+
		"[listen]\npeers = 127.0.9.1:%d\ncallers = 127.0.9.1:%d\n[cell]\nseeds = %s\n", port, port+1, strings.Join(seeds, ",")))
	if err != nil {
		t.Fatal(err)
	}
	vm, stop, err := newVM(set, hclog.NewNullLogger(), disk.OS{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	awaitLeader(t, "entry VM", vm)
	return vm, fakes
}

// Guards against an order that is not acknowledged in time because its calls wait for a
// former leader that still answers that it leads, but serves no call.
func TestOrderIsAcknowledgedBesideAFormerLeader(t *testing.T) {
	hang := func(ctx context.Context) (*wire.CellReply, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	accept := func(context.Context) (*wire.CellReply, error) { return &wire.CellReply{Status: 200}, nil }
	vm, fakes := startEntryVM(t, hang, accept)
	fakes[1].term.Store(2)
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

// Guards against a call that counts as not carried out because its second attempt was not,
// though the outcome of the first one is unknown: the second may find no leader, or a key
// that was revoked meanwhile.
func TestLostAttemptIsNotReportedAsNotCarriedOut(t *testing.T) {
	for _, status := range []uint32{503, 401} {
		var attempts atomic.Int64
		vm, _ := startEntryVM(t, func(context.Context) (*wire.CellReply, error) {
			if attempts.Add(1) == 1 {
				return nil, &group.StoppedError{}
			}
			return &wire.CellReply{Status: status}, nil
		})
		rep, err := vm.Route(t.Context(), Call{Method: "POST", Path: "/order"})
		var lost *LostReplyError
		if !errors.As(err, &lost) || attempts.Load() < 2 {
			t.Errorf("status %d, error %v after %d attempts, want a lost reply after two or more and not %d", rep.Status, err, attempts.Load(), status)
		}
	}
}
