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
	"guavarail/core/fence"
	"guavarail/core/model"
	"guavarail/io/busy"
	"guavarail/io/config"
	"guavarail/io/disk"
	"guavarail/io/host"
	"guavarail/io/httpd"
	"guavarail/io/limit"
	"guavarail/io/peer"
	"guavarail/io/record"
)

// VM is one VM of a cell.
type VM struct {
	// self is the address on which this VM listens for other VMs.
	self     model.VMID
	settings config.Cell
	log      hclog.Logger
	clock    host.Clock
	sys      *actor.ActorSystem
	mux      *peer.Mux
	hub      *peer.Hub
	rec      *record.Recorder
	// fs is the file system of the data directory.
	fs disk.FS
	// member is this VM's member of the replication group. It holds nil without a disk,
	// and while the member of a disk that failed is not started again.
	member atomic.Pointer[member]
	// discovered is the result of the latest discovery. It is replaced as a whole.
	discovered atomic.Pointer[discovery]
	// seeds are the VMs at the seed addresses of the settings. They are replaced
	// as a whole when the settings are reloaded.
	seeds atomic.Pointer[[]model.VMID]
	// limits bound each request, and budget all requests together.
	limits requestLimits
	budget *limit.Budget
	// memoryMB is the memory of the VM in megabytes, 0 if it is not known.
	memoryMB int
	// forwards bounds the larger calls that this VM forwards at once.
	forwards forwards
	// discoverNow buffers one request for a discovery.
	discoverNow chan struct{}
	// announcements has the VMs with a disk that have said hello to this one.
	announcements chan model.VMID
	// arrivals notes when this process was stalled.
	arrivals arrivalClock
	// handler is set by Serve; nil before that.
	handler atomic.Pointer[Handler]
	// machines is set by SetMachines; nil before that.
	machines atomic.Pointer[Machines]
	// cleanups are the clean-up functions, in the order in which the parts of the
	// VM were started.
	cleanups []func()
}

// New starts a VM. The clean-up function stops it at once; call TransferLeadership
// first for a planned shutdown.
func New(set config.Cell, log hclog.Logger) (*VM, func(), error) { return newVM(set, log, disk.OS{}) }

// newVM starts a VM with a data directory in the given file system.
func newVM(set config.Cell, log hclog.Logger, fs disk.FS) (*VM, func(), error) {
	vm := &VM{
		fs:   fs,
		self: model.VMID(set.Listen().Peers().String()), settings: set, log: log, clock: host.NewClock(),
		mux: &peer.Mux{}, forwards: newForwards(), discoverNow: make(chan struct{}, 1), announcements: make(chan model.VMID, maxAnnouncements),
	}
	bounds := limit.Config{MemoryMB: set.VMMemoryMB(), Files: set.MaxFiles(), PerAddress: set.MaxPerAddress(), Log: log.Named("limit")}.OrMachine(limit.NewMachine())
	vm.budget, vm.memoryMB = limit.New(bounds), bounds.MemoryMB
	ctx, cancel := context.WithCancel(context.Background())
	vm.cleanups = append(vm.cleanups, cancel)
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
	for _, stop := range slices.Backward(vm.cleanups) {
		stop()
	}
	vm.cleanups = nil
}

// addCleanup adds a clean-up function, unless it is nil, and returns err.
func (vm *VM) addCleanup(stop func(), err error) error {
	if stop != nil {
		vm.cleanups = append(vm.cleanups, stop)
	}
	return errors.Trace(err)
}

func (vm *VM) start(ctx context.Context) error {
	sys, stop := host.NewSystem(vm.log)
	vm.sys = sys
	_ = vm.addCleanup(stop, nil)
	rec, stop, err := record.New(record.Config{System: sys, VM: vm.settings.Name(), Clock: record.NewClock(nil), Log: vm.log.Named("event")})
	if err := vm.addCleanup(stop, err); err != nil {
		return err
	}
	vm.rec = rec
	record.Serve(vm.mux, rec)
	vm.Reload(vm.settings)
	vm.discovered.Store(&discovery{members: *vm.seeds.Load()})
	vm.serveCalls()
	if vm.settings.Listen().API().IsValid() {
		// Only calls of operators expire.
		_ = vm.addCleanup(host.Every(ctx, fence.PulseInterval, func(context.Context) { vm.Arrival() }), nil)
	}
	hub, stop, err := peer.New(peer.Config{
		System: sys, Self: vm.self, Listen: vm.settings.Listen().Peers().String(), Mux: vm.mux, AcceptUnlisted: true, Budget: vm.budget,
		Log: vm.log.Named("peer"), Clock: rec.Clock(), Seed: randomSeed(vm.self),
	})
	vm.hub = hub
	if err := vm.addCleanup(stop, err); err != nil {
		return err
	}
	if _, ok := vm.settings.DataDir(); ok {
		stop, err := keepMember(ctx, vm)
		if err := vm.addCleanup(stop, err); err != nil {
			return err
		}
	}
	vm.setPeers(vm.discovered.Load().members)
	_ = vm.addCleanup(busy.Start(ctx, busy.Config{Work: vm.work, Log: vm.log}), nil)
	stop, err = serveVars(vm)
	if err := vm.addCleanup(stop, err); err != nil {
		return err
	}
	return vm.addCleanup(startFinder(ctx, vm), nil)
}

// work returns the number of requests and frames that this VM has handled.
func (vm *VM) work() int64 { return httpd.Requests() + vm.hub.Vars().Frames() }

// Reload applies the seeds of changed settings; it ignores all other changes. The
// VMs at the IP addresses of the seeds must listen for other VMs on the same port as
// this one.
func (vm *VM) Reload(set config.Cell) {
	port := vm.settings.Listen().Peers().Port()
	var out []model.VMID
	for _, adr := range set.Seeds() {
		out = append(out, model.VMID(netip.AddrPortFrom(adr.Addr(), port).String()))
	}
	slices.Sort(out)
	out = slices.Compact(out)
	vm.seeds.Store(&out)
}

// setPeers replaces the VMs that this VM connects to.
func (vm *VM) setPeers(vms []model.VMID) {
	addrs := map[model.VMID]string{}
	for _, id := range vms {
		addrs[id] = string(id)
	}
	vm.hub.SetPeers(addrs)
}

// Self returns the address on which this VM listens for other VMs. It identifies
// the VM in the cell.
func (vm *VM) Self() model.VMID { return vm.self }

// Settings returns the settings of this VM.
func (vm *VM) Settings() config.Cell { return vm.settings }

// RecordEvent adds an event to the timeline and to the log.
func (vm *VM) RecordEvent(evt event.Event) { vm.rec.Record(evt) }

// TransferLeadership prepares for a planned shutdown: it records the event
// vmDraining and, if this VM leads, transfers the leadership to another VM.
func (vm *VM) TransferLeadership(ctx context.Context) {
	vm.rec.Record(event.New("vmDraining", event.Subject{VM: vm.settings.Name(), Centre: vm.settings.Centre()}))
	mem := vm.member.Load()
	if mem == nil || !mem.leased() {
		return
	}
	start := vm.clock()
	if err := mem.ref.TransferLeadership(ctx); err != nil {
		vm.log.Warn("leadership transfer failed; the other VMs elect a leader after the shutdown", "error", err)
		return
	}
	vm.rec.Record(event.New("leadershipTransferred", event.Subject{VM: vm.settings.Name()}, event.NewField("durationMs", milliseconds(vm.clock().Sub(start)))))
}

// randomSeed returns the FNV-1a hash of vm as the seed for the random timeouts of
// that VM, so that the timeouts of different VMs differ.
func randomSeed(vm model.VMID) uint64 {
	const prime = 1099511628211
	seed := uint64(14695981039346656037)
	for _, ch := range []byte(vm) {
		seed = (seed ^ uint64(ch)) * prime
	}
	return seed
}
