// Package node runs one VM of the system: it starts the parts in order, links
// them, and stops them in the reverse order.
package node

import (
	"context"
	"net"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/permit"
	"guavarail/io/admin"
	"guavarail/io/config"
	"guavarail/io/disk"
	"guavarail/io/entry"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/record"
	"guavarail/io/wire"
)

// Node is one VM of the system.
type Node struct {
	self   model.VMID
	centre model.CentreID
	set    config.Settings
	log    hclog.Logger
	clock  host.Clock
	seed   uint64
	// seeds are the VMs of the settings, which found the fleet.
	seeds []fleet.VM

	sys   *actor.ActorSystem
	mux   *peer.Mux
	hub   *peer.Hub
	rec   *record.Recorder
	watch *peer.Detector
	entry *entry.Server
	slots *slotPart
	fleet *fleetPart
	// own is the replica of the group of this VM's data centre.
	own *centrePart
	fwd *forward
	// groups delivers messages to the replicas on this VM. It is complete
	// before the links start to deliver.
	groups map[string]func(from model.VMID, msg *wire.QuorumMessage)
	// transfers hand over the leadership of each group on this VM.
	transfers []func(ctx context.Context) error
	// view is replaced as a whole when the fleet state changes; nil until the
	// first state.
	view atomic.Pointer[view]
	// informed is when the first fleet state was published.
	informed atomic.Int64
	// returned is when this data centre was last seen to return to service.
	returned atomic.Int64
	found    chan struct{}
	// diskID is the identity of the data directory of the fleet group; empty
	// without a disk.
	diskID string
	// cleanStart says that the last process ended in a planned shutdown.
	cleanStart bool
	// stops are the clean-up functions, in the order of the starts.
	stops []func()
}

// New starts a VM with the given settings. The clean-up function stops it
// without waiting for requests; a planned shutdown calls Drain first.
func New(set config.Settings, log hclog.Logger) (*Node, func(), error) {
	nod := &Node{
		self: set.Name(), centre: set.Centre(), set: set, log: log, clock: host.NewClock(),
		mux: &peer.Mux{}, found: make(chan struct{}, 1),
		groups: map[string]func(model.VMID, *wire.QuorumMessage){},
	}
	nod.seed = seedOf(nod.self)
	for _, vmi := range set.VMs() {
		nod.seeds = append(nod.seeds, fleet.NewVM(fleet.VMSpec{
			Name: vmi.Name(), Centre: vmi.Centre(), PeerAddress: vmi.Peer().String(), APIAddress: vmi.API().String(), Disk: vmi.Disk(),
		}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	nod.stops = append(nod.stops, cancel)
	if err := nod.start(ctx); err != nil {
		nod.stop()
		return nil, func() {}, err
	}
	nod.rec.Record(event.New("vmStarted", event.Subject{VM: nod.self, Centre: nod.centre}))
	return nod, nod.stop, nil
}

// start starts the parts in the order in which they depend on each other.
func (nod *Node) start(ctx context.Context) error {
	for _, step := range []func(ctx context.Context) error{
		nod.startBase, nod.startGroups, nod.startEntry, nod.startAPI,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// keep remembers a clean-up function and passes err on.
func (nod *Node) keep(stop func(), err error) error {
	if stop != nil {
		nod.stops = append(nod.stops, stop)
	}
	return err
}

// stop runs the clean-up functions in reverse order.
func (nod *Node) stop() {
	for _, stop := range slices.Backward(nod.stops) {
		stop()
	}
	nod.stops = nil
}

func (nod *Node) startBase(context.Context) error {
	if err := nod.takeCleanStop(); err != nil {
		return err
	}
	sys, stop := host.NewSystem(nod.log)
	nod.sys = sys
	_ = nod.keep(stop, nil)
	rec, stop, err := record.New(record.Config{
		System: sys, VM: nod.self, Clock: record.NewClock(nil), Capacity: nod.set.Limits().TimelineEvents(),
		Log: nod.log.Named("event"),
	})
	if err := nod.keep(stop, err); err != nil {
		return err
	}
	nod.rec = rec
	record.Serve(nod.mux, rec)
	peer.Handle(nod.mux, func(from model.VMID, msg *wire.QuorumMessage) {
		if deliver, ok := nod.groups[msg.GetGroup()]; ok {
			deliver(from, msg)
		}
	})
	hub, stop, err := peer.New(peer.Config{
		System: sys, Self: nod.self, Listen: nod.set.Listen().Peers().String(),
		Mux: nod.mux, Log: nod.log.Named("peer"), Clock: rec.Clock(), Seed: nod.seed,
	})
	nod.hub = hub
	return nod.keep(stop, err)
}

// startGroups starts the replicas of this VM and then links it to the others.
func (nod *Node) startGroups(ctx context.Context) error {
	fle, stop, err := startFleet(nod)
	if err := nod.keep(stop, err); err != nil {
		return err
	}
	nod.fleet = fle
	nod.transfers = append(nod.transfers, fle.ref.TransferLeadership)
	first := fleet.New()
	first.Apply(fle.founding)
	for _, cen := range first.Centres() {
		vos, lea := centreMembers(first, cen.Name(), nod.seeds)
		if !slices.Contains(vos, nod.self) && cen.Name() != nod.centre {
			continue
		}
		prt, stop, err := startCentre(ctx, nod, cen.Name(), vos, lea)
		if err := nod.keep(stop, err); err != nil {
			return err
		}
		nod.transfers = append(nod.transfers, prt.ref.TransferLeadership)
		if cen.Name() == nod.centre {
			nod.own = prt
		}
	}
	addrs := map[model.VMID]string{}
	for _, vmi := range nod.set.VMs() {
		addrs[vmi.Name()] = vmi.Peer().String()
	}
	nod.hub.SetPeers(addrs)
	serveSummary(nod)
	wat, stop, err := startWatch(nod)
	nod.watch = wat
	return nod.keep(stop, err)
}

func (nod *Node) startEntry(ctx context.Context) error {
	lis, err := net.Listen("tcp", nod.set.Listen().Callers().String())
	if err != nil {
		return errors.Trace(&ListenError{what: "callers", cause: err})
	}
	nod.fwd = &forward{nod: nod}
	nod.slots = newSlots(nod)
	tai := newTails(nod)
	boot := uint64(time.Now().UnixNano())
	srv, stop, err := entry.New(entry.Config{
		VM: nod.self, Incarnation: boot, Centre: nod.centre, Listener: lis, System: nod.sys,
		Clock: nod.clock, Seed: nod.seed, Limits: entry.Limits{Connections: nod.set.Limits().CallerConnections()},
		Claims: startClaims(nod), Forwarder: nod.fwd, OnUsage: nod.slots.use, OnTailLatency: tai.note, OnEvent: nod.rec.Record,
		Log: nod.log.Named("entry"),
	})
	if err := nod.keep(stop, err); err != nil {
		_ = lis.Close()
		return err
	}
	nod.entry = srv
	_ = nod.keep(tai.start(ctx), nil)
	stop, err = nod.slots.start(ctx, boot)
	return nod.keep(stop, err)
}

func (nod *Node) startAPI(ctx context.Context) error {
	bac, stop := startBackends(ctx, nod)
	_ = nod.keep(stop, nil)
	por := admin.Ports{
		Self: nod.self, Centre: nod.centre, Fleet: nod.fleet, Tasks: nod.own, Backends: bac,
		Local: &local{nod: nod}, Forward: nod.fwd,
	}
	mux := admin.NewMux(por)
	nod.fwd.serve(mux)
	_ = nod.keep(startRepair(ctx, nod), nil)
	_ = nod.keep(nod.fleet.startFollow(ctx), nil)
	return nod.keep(startHTTP(nod.set.Listen().API().String(), admin.Handler(por, mux), nod.log))
}

// store opens the store of a group: a folder of the data directory, or memory
// on a VM without a disk. It is closed after the replica has stopped.
func (nod *Node) store(group string) (disk.Store, error) {
	dir, ok := nod.set.DataDir()
	if !ok {
		return disk.NewMemory(), nil
	}
	fls, stop, err := disk.Open(disk.Config{
		Dir: filepath.Join(dir, group), VM: nod.self, Group: group, Logger: nod.log.Named("disk"),
	})
	if err := nod.keep(stop, err); err != nil {
		return nil, err
	}
	if group == fleetGroup {
		nod.diskID = string(fls.Disk())
	}
	return fls, nil
}

// publish makes a changed fleet state known to the other parts.
func (nod *Node) publish(sta *fleet.State) {
	old := nod.view.Load()
	if old == nil || old.number != sta.Number() {
		vie := newView(sta, nod.centre)
		if old == nil {
			nod.informed.Store(int64(nod.clock()))
		}
		nod.view.Store(vie)
		nod.hub.SetPeers(vie.addresses())
		nod.watch.SetPeers(vie.others(nod.self))
		nod.entry.SetActivePreset(vie.preset)
		if old != nil && old.out(nod.centre) && !vie.out(nod.centre) {
			nod.returned.Store(int64(nod.clock()))
		}
	}
	nod.entry.SetAdmitPercent(nod.admitted())
}

// Ready returns why this VM is not ready for callers, or "".
func (nod *Node) Ready() string { return (&local{nod: nod}).NotReadyReason() }

// Configuration returns the configuration number that this VM acts on.
func (nod *Node) Configuration() uint64 {
	if vie := nod.view.Load(); vie != nil {
		return vie.number
	}
	return 0
}

// admitted returns the percentage of requests that the data centre admits.
func (nod *Node) admitted() int {
	vie := nod.view.Load()
	ret := nod.returned.Load()
	switch {
	case vie == nil || vie.out(nod.centre):
		return 0
	case ret == 0:
		return permit.RampPercent(time.Hour)
	}
	return permit.RampPercent(nod.clock().Sub(model.Instant(ret)))
}
