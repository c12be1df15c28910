package cell

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/fence"
	"guavarail/core/model"
	"guavarail/io/disk"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

// Guards against a call that the leader carries out after its caller has given up, because
// the VM that passes it on was paused at some point before it was sent, or because the
// leader itself was paused before it read the call.
func TestExpiredCallIsNotCarriedOut(t *testing.T) {
	vm := startCell(t, disk.OS{})
	lea, _ := vm.AsLeader()
	configure(t, lea, 1)
	for end := time.Now().Add(time.Minute); !vm.leased(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the VM does not lead")
		}
	}
	var handled atomic.Int64
	vm.Serve(func(context.Context, Call) (Reply, error) {
		handled.Add(1)
		return Reply{Status: 200}, nil
	})
	lis, err := net.Listen("tcp", "127.0.9.77:0")
	if err != nil {
		t.Fatal(err)
	}
	address := lis.Addr().String()
	_ = lis.Close()
	hub, stop, err := peer.New(peer.Config{Self: model.VMID(address), Listen: address, Peers: map[model.VMID]string{vm.self: string(vm.self)}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var wel *wire.CellWelcome
	for wel == nil {
		if wel, err = peer.Call[*wire.CellWelcome](ctx, hub, vm.self, &wire.CellHello{Vm: address}); ctx.Err() != nil {
			t.Fatal(err)
		}
	}
	if wel.GetClock() == 0 {
		t.Fatal("the leader issues no ticket")
	}
	const long = time.Hour
	for _, tt := range []struct {
		name    string
		call    *wire.CellCall
		status  uint32
		refused bool
	}{
		{"valid", &wire.CellCall{TicketTerm: wel.GetTerm(), TicketClock: wel.GetClock(), ValidMs: uint32(long.Milliseconds())}, 200, false},
		{"arrived long before the ticket", &wire.CellCall{TicketTerm: wel.GetTerm(), TicketClock: wel.GetClock(), WaitedNs: -long.Nanoseconds(), ValidMs: 900}, 503, false},
		{"sent long after the ticket", &wire.CellCall{TicketTerm: wel.GetTerm(), TicketClock: 1, ValidMs: 1}, 503, false},
		{"ticket of another term", &wire.CellCall{TicketTerm: wel.GetTerm() + 1, TicketClock: wel.GetClock(), ValidMs: uint32(long.Milliseconds())}, 0, true},
		{"from an earlier version", &wire.CellCall{}, 200, false},
	} {
		before := handled.Load()
		rep, err := peer.Call[*wire.CellReply](ctx, hub, vm.self, tt.call)
		if err != nil || rep.GetStatus() != tt.status || rep.GetRefused() != tt.refused {
			t.Errorf("%s: status %d, refused %v, %v; want %d, %v", tt.name, rep.GetStatus(), rep.GetRefused(), err, tt.status, tt.refused)
		}
		if ran := handled.Load() > before; ran != (tt.status == 200) {
			t.Errorf("%s: carried out %v", tt.name, ran)
		}
	}
	// A call to the leader itself that waited unread while the process was paused.
	if _, err := vm.Route(ctx, Call{Method: "POST", Arrived: vm.clock().Add(-time.Second), Valid: defaultValidity}); !isExpired(err) {
		t.Errorf("call of a paused leader: %v, want that it has expired", err)
	}
	// A call that expires between the check and the log.
	var busy *BusyError
	if _, err := lea.Propose(withExpiry(ctx, vm.clock()), cell.SetCentreOut("centre-9", true)); !errors.As(err, &busy) {
		t.Errorf("proposal of an expired call: %v, want a BusyError", err)
	}
	if out, err := View(ctx, lea, func(sta *cell.State) bool { return sta.Out()["centre-9"] }); err != nil || out {
		t.Errorf("data centre out of service %v, %v, want no change", out, err)
	}
}

// defaultValidity is for how long the calls of these tests are valid.
const defaultValidity = 900 * time.Millisecond

// Guards against a call that is passed on although its caller has given up, without a ticket,
// or with one from before a pause.
func TestCallIsPassedOnWithATicketOnly(t *testing.T) {
	var served atomic.Int64
	vm, _ := startEntryVM(t, func(context.Context) (*wire.CellReply, error) {
		served.Add(1)
		return &wire.CellReply{Status: 200}, nil
	})
	_, err := vm.Route(t.Context(), Call{Method: "POST", Path: "/order", Arrived: vm.clock().Add(-time.Second), Valid: defaultValidity})
	var unreached *NotReachedError
	if !isExpired(err) || !errors.As(err, &unreached) || served.Load() > 0 {
		t.Errorf("%v, served %d times, want an expired call that is not passed on", err, served.Load())
	}
	now := vm.clock()
	cal := Call{Arrived: now.Add(-100 * time.Millisecond), Valid: defaultValidity}
	var msg wire.CellCall
	if !vm.setMark(&msg, cal, fence.NewTicket(7, 5, now.Add(-300*time.Millisecond))) || msg.GetTicketTerm() != 7 || msg.GetTicketClock() != 5 ||
		msg.GetWaitedNs() != (200*time.Millisecond).Nanoseconds() || msg.GetValidMs() != 900 {
		t.Errorf("call %v", &msg)
	}
	if vm.setMark(&msg, cal, fence.NewTicket(7, 5, now.Add(-2*fence.MaxTicketAge))) {
		t.Error("passed on with a ticket from before a pause")
	}
}
