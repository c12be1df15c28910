// Package node runs one VM of the system: it starts the VM's components in the
// order of their dependencies, connects them, and stops them in the reverse
// order.
//
// Every VM is an entry VM: it accepts requests of callers and routes them to the
// backend servers of its data centre. A VM also runs replicas of replication
// groups (package group): one of the fleet group, whose state is the
// configuration that operators change, one of the group of its data centre,
// whose state is the tasks and idempotency keys of the data centre, and one of
// each other data centre's group in which it votes as a tie-breaker. Each
// accepted change of the configuration takes the next configuration number.
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
	"guavarail/io/admin"
	"guavarail/io/config"
	"guavarail/io/disk"
	"guavarail/io/entry"
	"guavarail/io/host"
	"guavarail/io/limit"
	"guavarail/io/peer"
	"guavarail/io/record"
	"guavarail/io/wire"
)

// Node is one VM of the system.
type Node struct {
	self     model.VMID
	centre   model.CentreID
	settings config.Settings
	log      hclog.Logger
	clock    host.Clock
	// budget is shared by the request path, the API and the links.
	budget *limit.Budget
	// memoryMB is the memory of the VM in megabytes, 0 if it is not known.
	memoryMB int
	// seed makes the random choices of the VMs differ, such as the election
	// timeouts.
	seed uint64
	// bootstrapVMs are the VMs of the settings, the first members of the fleet.
	bootstrapVMs []fleet.VM

	sys *actor.ActorSystem
	// mux holds the handlers of messages from other VMs, and hub the connections
	// to those VMs.
	mux      *peer.Mux
	hub      *peer.Hub
	rec      *record.Recorder
	detector *peer.Detector
	entry    *entry.Server
	slots    *slotSharing
	fleet    *fleetReplica
	// ownCentre is the replica of the group of this VM's data centre.
	ownCentre *centreReplica
	fwd       *forwarder
	// deliverByGroup maps the name of a group to the function that passes a
	// message to its replica on this VM. It is complete before the peer hub
	// connects.
	deliverByGroup map[string]func(from model.VMID, msg *wire.QuorumMessage)
	// leadershipTransfers holds a function for each replica of this VM. It
	// transfers the leadership of the group to another VM, or fails if this VM
	// does not lead the group or no other voter is reachable.
	leadershipTransfers []func(ctx context.Context) error
	// view holds the latest published fleet state, nil before the first one. A
	// changed state replaces the pointer; the view itself is immutable.
	view atomic.Pointer[view]
	// firstViewAt is the time (model.Instant) when the first fleet state was
	// published. It is only valid if view is not nil.
	firstViewAt atomic.Int64
	// returnedAt is the time (model.Instant) when this VM last saw its data
	// centre return to service; 0 if it has not.
	returnedAt atomic.Int64
	// bootstrapNeeded receives a value when this VM leads a fleet without any
	// configuration, which then needs the bootstrap command.
	bootstrapNeeded chan struct{}
	// diskID identifies the data directory of the fleet group, so that a replaced
	// disk is detected. It is empty on a VM without a disk.
	diskID string
	// cleanStart is set if the previous process ended in a planned shutdown, with
	// no request aborted and all slot credits returned.
	cleanStart bool
	// cleanups are the clean-up functions of the started components, in start
	// order.
	cleanups []func()
}

// New starts a VM with the given settings. The clean-up function stops it
// without waiting for requests in flight; for a planned shutdown call Drain
// first.
func New(set config.Settings, log hclog.Logger) (*Node, func(), error) {
	nod := &Node{
		self: set.Name(), centre: set.Centre(), settings: set, log: log, clock: host.NewClock(),
		mux: &peer.Mux{}, bootstrapNeeded: make(chan struct{}, 1),
		deliverByGroup: map[string]func(model.VMID, *wire.QuorumMessage){},
	}
	nod.seed = seedOf(nod.self)
	for _, vmi := range set.VMs() {
		nod.bootstrapVMs = append(nod.bootstrapVMs, fleet.NewVM(fleet.VMSpec{
			Name: vmi.Name(), Centre: vmi.Centre(), PeerAddress: vmi.Peer().String(), APIAddress: vmi.API().String(), Disk: vmi.Disk(),
		}))
	}
	ctx, cancel := context.WithCancel(context.Background())
	nod.cleanups = append(nod.cleanups, cancel)
	if err := nod.start(ctx); err != nil {
		nod.stop()
		return nil, func() {}, err
	}
	nod.rec.Record(event.New("vmStarted", event.Subject{VM: nod.self, Centre: nod.centre}))
	return nod, nod.stop, nil
}

// start starts the components in the order of their dependencies.
func (nod *Node) start(ctx context.Context) error {
	for _, start := range []func(ctx context.Context) error{
		nod.startBase, nod.startGroups, nod.startEntry, nod.startAPI,
	} {
		if err := start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// addCleanup registers a clean-up function, which may be nil, and returns err.
func (nod *Node) addCleanup(stop func(), err error) error {
	if stop != nil {
		nod.cleanups = append(nod.cleanups, stop)
	}
	return err
}

// stop runs the clean-up functions in reverse order.
func (nod *Node) stop() {
	for _, stop := range slices.Backward(nod.cleanups) {
		stop()
	}
	nod.cleanups = nil
}

// startBase starts the actor system, the event recorder and the peer hub, which
// the other components use.
func (nod *Node) startBase(context.Context) error {
	if err := nod.consumeCleanStop(); err != nil {
		return err
	}
	sys, stop := host.NewSystem(nod.log)
	nod.sys = sys
	_ = nod.addCleanup(stop, nil)
	rec, stop, err := record.New(record.Config{
		System: sys, VM: nod.self, Clock: record.NewClock(nil), Capacity: nod.settings.Limits().TimelineEvents(),
		Log: nod.log.Named("event"),
	})
	if err := nod.addCleanup(stop, err); err != nil {
		return err
	}
	nod.rec = rec
	record.Serve(nod.mux, rec)
	peer.Handle(nod.mux, func(from model.VMID, msg *wire.QuorumMessage) {
		if deliver, ok := nod.deliverByGroup[msg.GetGroup()]; ok {
			deliver(from, msg)
		}
	})
	lim := nod.settings.Limits()
	bounds := limit.Config{MemoryMB: lim.VMMemoryMB(), Files: lim.MaxFiles(), Log: nod.log.Named("limit")}.OrMachine(limit.NewMachine())
	nod.budget, nod.memoryMB = limit.New(bounds), bounds.MemoryMB
	hub, stop, err := peer.New(peer.Config{
		System: sys, Self: nod.self, Listen: nod.settings.Listen().Peers().String(),
		Mux: nod.mux, Log: nod.log.Named("peer"), Clock: rec.Clock(), Seed: nod.seed, Budget: nod.budget,
	})
	nod.hub = hub
	return nod.addCleanup(stop, err)
}

// startGroups starts the replicas of this VM and then connects it to the other
// VMs. It has replicas of the groups in which it votes and of the group of its
// own data centre.
func (nod *Node) startGroups(ctx context.Context) error {
	fle, stop, err := startFleet(nod)
	if err := nod.addCleanup(stop, err); err != nil {
		return err
	}
	nod.fleet = fle
	nod.leadershipTransfers = append(nod.leadershipTransfers, fle.ref.TransferLeadership)
	initial := fleet.New()
	initial.Apply(fle.bootstrap)
	for _, cen := range initial.Centres() {
		voters, learners := centreMembers(initial, cen.Name(), nod.bootstrapVMs)
		if !slices.Contains(voters, nod.self) && cen.Name() != nod.centre {
			continue
		}
		rep, stop, err := startCentre(ctx, nod, cen.Name(), voters, learners)
		if err := nod.addCleanup(stop, err); err != nil {
			return err
		}
		nod.leadershipTransfers = append(nod.leadershipTransfers, rep.ref.TransferLeadership)
		if cen.Name() == nod.centre {
			nod.ownCentre = rep
		}
	}
	addrs := map[model.VMID]string{}
	for _, vmi := range nod.settings.VMs() {
		addrs[vmi.Name()] = vmi.Peer().String()
	}
	nod.hub.SetPeers(addrs)
	serveSummary(nod)
	det, stop, err := startDetector(nod)
	nod.detector = det
	return nod.addCleanup(stop, err)
}

// startEntry starts the request path for callers, and the slot sharing, claims
// and tail latencies that it uses.
func (nod *Node) startEntry(ctx context.Context) error {
	lis, err := net.Listen("tcp", nod.settings.Listen().Callers().String())
	if err != nil {
		return errors.Trace(&ListenError{listener: "callers", cause: err})
	}
	nod.fwd = &forwarder{nod: nod}
	nod.slots = newSlotSharing(nod)
	tai := newTailLatencies(nod)
	incarnation := uint64(time.Now().UnixNano())
	srv, stop, err := entry.New(entry.Config{
		VM: nod.self, Incarnation: incarnation, Centre: nod.centre, Listener: lis, System: nod.sys,
		Clock: nod.clock, Seed: nod.seed, Limits: entry.Limits{Connections: nod.settings.Limits().CallerConnections()}, Budget: nod.budget,
		Claims: startClaims(nod), Forwarder: nod.fwd, OnUsage: nod.slots.reportUsage, OnTailLatency: tai.add, OnEvent: nod.rec.Record,
		Log: nod.log.Named("entry"),
	})
	if err := nod.addCleanup(stop, err); err != nil {
		_ = lis.Close()
		return err
	}
	nod.entry = srv
	_ = nod.addCleanup(tai.start(ctx), nil)
	stop, err = nod.slots.start(ctx, incarnation)
	return nod.addCleanup(stop, err)
}

// startAPI starts the API server, the handling of announcements of backend
// servers, and the goroutines of repair and refresh, which need all other
// components.
func (nod *Node) startAPI(ctx context.Context) error {
	bac, stop := startBackends(ctx, nod)
	_ = nod.addCleanup(stop, nil)
	por := admin.Ports{
		Self: nod.self, Centre: nod.centre, Fleet: nod.fleet, Tasks: nod.ownCentre, Backends: bac,
		Local: &localInfo{nod: nod}, Forward: nod.fwd,
	}
	mux := admin.NewMux(por)
	nod.fwd.serve(mux)
	_ = nod.addCleanup(startRepair(ctx, nod), nil)
	_ = nod.addCleanup(nod.fleet.startRefresh(ctx), nil)
	api := &countedHandler{Handler: admin.Handler(por, mux)}
	_ = nod.addCleanup(startWatch(ctx, nod, api), nil)
	return nod.addCleanup(startHTTP(nod.settings.Listen().API().String(), api, nod.budget, nod.log))
}

// openStore opens the store of a group: a subdirectory of the data directory,
// or memory on a VM without a disk. The clean-up functions close it after the
// replica of the group has stopped.
func (nod *Node) openStore(group string) (disk.Store, error) {
	dir, ok := nod.settings.DataDir()
	if !ok {
		return disk.NewMemory(), nil
	}
	fls, stop, err := disk.Open(disk.Config{
		Dir: filepath.Join(dir, group), VM: nod.self, Group: group, Logger: nod.log.Named("disk"),
	})
	if err := nod.addCleanup(stop, err); err != nil {
		return nil, err
	}
	if group == fleetGroup {
		nod.diskID = string(fls.Disk())
	}
	return fls, nil
}
