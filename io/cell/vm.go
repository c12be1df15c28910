package cell

import (
	"context"
	"net/netip"
	"slices"
	"sync/atomic"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/io/config"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/record"
)

// VM is one VM of a cell.
type VM struct {
	self  model.VMID
	set   config.Cell
	log   hclog.Logger
	clock host.Clock
	sys   *actor.ActorSystem
	mux   *peer.Mux
	hub   *peer.Hub
	rec   *record.Recorder
	// member is nil on a VM without a disk.
	member *member
	// known is what this VM knows of the others. It is replaced as a whole.
	known atomic.Pointer[known]
	// seeds are the VMs that the seeds of the settings run on. They are
	// replaced as a whole when the settings are reloaded.
	seeds atomic.Pointer[[]model.VMID]
	// lookNow asks for a look at the others at once.
	lookNow chan struct{}
	handler atomic.Pointer[Handler]
	// stops are the clean-up functions, in the order of the starts.
	stops []func()
}

// New starts a VM. The clean-up function stops it at once; a planned shutdown
// calls HandOver first.
func New(set config.Cell, log hclog.Logger) (*VM, func(), error) {
	vm := &VM{
		self: model.VMID(set.Listen().Peers().String()), set: set, log: log, clock: host.NewClock(),
		mux: &peer.Mux{}, lookNow: make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(context.Background())
	vm.stops = append(vm.stops, cancel)
	if err := vm.start(ctx); err != nil {
		vm.stop()
		return nil, func() {}, err
	}
	vm.rec.Record(event.New("vmStarted", event.Subject{VM: set.Name(), Centre: set.Centre()},
		event.NewField("address", string(vm.self))))
	return vm, vm.stop, nil
}

// stop runs the clean-up functions in reverse order.
func (vm *VM) stop() {
	for _, stop := range slices.Backward(vm.stops) {
		stop()
	}
	vm.stops = nil
}

// keep remembers a clean-up function and passes err on.
func (vm *VM) keep(stop func(), err error) error {
	if stop != nil {
		vm.stops = append(vm.stops, stop)
	}
	return errors.Trace(err)
}

func (vm *VM) start(ctx context.Context) error {
	sys, stop := host.NewSystem(vm.log)
	vm.sys = sys
	_ = vm.keep(stop, nil)
	rec, stop, err := record.New(record.Config{System: sys, VM: vm.set.Name(), Clock: record.NewClock(nil), Log: vm.log.Named("event")})
	if err := vm.keep(stop, err); err != nil {
		return err
	}
	vm.rec = rec
	record.Serve(vm.mux, rec)
	vm.Reload(vm.set)
	vm.known.Store(&known{members: *vm.seeds.Load()})
	vm.serveCalls()
	hub, stop, err := peer.New(peer.Config{
		System: sys, Self: vm.self, Listen: vm.set.Listen().Peers().String(), Mux: vm.mux, AcceptUnlisted: true,
		Log: vm.log.Named("peer"), Clock: rec.Clock(), Seed: seedOf(vm.self),
	})
	vm.hub = hub
	if err := vm.keep(stop, err); err != nil {
		return err
	}
	if _, ok := vm.set.DataDir(); ok {
		mem, stop, err := startMember(ctx, vm)
		if err := vm.keep(stop, err); err != nil {
			return err
		}
		vm.member = mem
	}
	vm.setPeers(vm.known.Load().members)
	stop, err = serveVars(vm)
	if err := vm.keep(stop, err); err != nil {
		return err
	}
	return vm.keep(startFinder(ctx, vm), nil)
}

// Reload puts the seeds of changed settings in effect. The VMs that the seeds
// run on listen for other VMs on the same port as this one.
func (vm *VM) Reload(set config.Cell) {
	port := vm.set.Listen().Peers().Port()
	var out []model.VMID
	for _, adr := range set.Seeds() {
		out = append(out, model.VMID(netip.AddrPortFrom(adr.Addr(), port).String()))
	}
	slices.Sort(out)
	out = slices.Compact(out)
	vm.seeds.Store(&out)
}

// setPeers links this VM to the given ones.
func (vm *VM) setPeers(vms []model.VMID) {
	addrs := map[model.VMID]string{}
	for _, id := range vms {
		addrs[id] = string(id)
	}
	vm.hub.SetPeers(addrs)
}

// Self returns the address of this VM for other VMs, which is its name in the
// cell.
func (vm *VM) Self() model.VMID { return vm.self }

// Settings returns the settings of this VM.
func (vm *VM) Settings() config.Cell { return vm.set }

// RecordEvent puts an event on the time line and in the log.
func (vm *VM) RecordEvent(evt event.Event) { vm.rec.Record(evt) }

// TransferLeadership passes the leadership on before a planned shutdown.
func (vm *VM) TransferLeadership(ctx context.Context) {
	vm.rec.Record(event.New("vmDraining", event.Subject{VM: vm.set.Name(), Centre: vm.set.Centre()}))
	if vm.member == nil || !vm.member.leased() {
		return
	}
	if err := vm.member.ref.TransferLeadership(ctx); err != nil {
		vm.log.Warn("leadership not transferred", "error", err)
	}
}

// seedOf makes the timeouts of VMs differ.
func seedOf(vm model.VMID) uint64 {
	const prime = 1099511628211
	seed := uint64(14695981039346656037)
	for _, ch := range []byte(vm) {
		seed = (seed ^ uint64(ch)) * prime
	}
	return seed
}
