package node

import (
	"context"
	"net/netip"
	"time"

	"guavarail/core/model"
	"guavarail/core/route"
	"guavarail/io/admin"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/rest"
	"guavarail/io/wire"
)

const (
	// spreadEvery is how often announcements are passed on, so that many
	// backend servers share one message.
	spreadEvery = 200 * time.Millisecond
	// announceRoom bounds the announcements between two messages. Backend
	// servers repeat theirs every second.
	announceRoom = 4096
	// maxSlots bounds the slots of one worker.
	maxSlots = 1000
)

// announced is an announcement and when it arrived.
type announced struct {
	backend route.Backend
	at      time.Time
}

// backends passes the announcements of backend servers on to the other entry
// VMs of the data centre.
type backends struct {
	nod *Node
	// fresh has the announcements that were not passed on yet.
	fresh chan announced
}

func startBackends(ctx context.Context, nod *Node) (*backends, func()) {
	bac := &backends{nod: nod, fresh: make(chan announced, announceRoom)}
	peer.Handle(nod.mux, bac.received)
	peer.Handle(nod.mux, bac.left)
	return bac, host.Every(ctx, spreadEvery, bac.spread)
}

// Announce takes in the announcement of a backend server.
func (bac *backends) Announce(ann rest.BackendAnnounce) error {
	lim := bac.nod.set.Limits()
	spec := route.BackendSpec{
		ID: model.BackendID(ann.Backend), Service: model.ServiceID(ann.Service), Worker: model.WorkerID(ann.Worker),
		Address: ann.Address, Slots: ann.Slots, Connections: ann.Connections, Incarnation: ann.Incarnation,
	}
	if spec.Slots == 0 {
		spec.Slots = lim.SlotsPerWorker()
	}
	if spec.Connections == 0 {
		spec.Connections = lim.ConnectionsPerWorker()
	}
	if err := checkAnnounce(spec); err != nil {
		return err
	}
	bak := route.NewBackend(spec)
	bac.nod.entry.Announce(bak, 0)
	select {
	case bac.fresh <- announced{backend: bak, at: time.Now()}:
	default:
	}
	return nil
}

// checkAnnounce lists the fields of an announcement that are not accepted.
func checkAnnounce(spec route.BackendSpec) error {
	var fas []rest.Fault
	fail := func(bad bool, field, allowed string) {
		if bad {
			fas = append(fas, rest.Fault{Field: field, Allowed: allowed})
		}
	}
	fail(!model.ValidName(string(spec.ID)), "backend", model.NameAllowed)
	fail(!model.ValidName(string(spec.Service)), "service", model.NameAllowed)
	fail(!model.ValidName(string(spec.Worker)), "worker", model.NameAllowed)
	adr, err := netip.ParseAddrPort(spec.Address)
	fail(err != nil || adr.Port() == 0, "address", "an IP address and a port")
	fail(spec.Slots < 1 || spec.Slots > maxSlots, "slots", "1 to 1000")
	fail(spec.Connections < 1, "connections", "1 or more")
	if len(fas) > 0 {
		return admin.NewFaultsError(fas)
	}
	return nil
}

// Leave tells all entry VMs of the data centre that a backend server takes no
// new requests.
func (bac *backends) Leave(lea rest.BackendLeave) error {
	bac.nod.entry.Leave(model.BackendID(lea.Backend), lea.Incarnation)
	for _, vmi := range bac.nod.colleagues() {
		bac.nod.hub.Send(vmi, &wire.BackendLeave{Backend: lea.Backend, Incarnation: lea.Incarnation})
	}
	return nil
}

// spread passes on what arrived since the last time.
func (bac *backends) spread(context.Context) {
	msg := &wire.Announcements{}
	for range len(bac.fresh) {
		ann := <-bac.fresh
		msg.Backends = append(msg.Backends, wire.BackendToProto(ann.backend, time.Since(ann.at)))
	}
	if len(msg.GetBackends()) == 0 {
		return
	}
	for _, vmi := range bac.nod.colleagues() {
		bac.nod.hub.Send(vmi, msg)
	}
}

func (bac *backends) received(_ model.VMID, msg *wire.Announcements) {
	for _, ann := range msg.GetBackends() {
		bak, age := wire.BackendFromProto(ann)
		bac.nod.entry.Announce(bak, age)
	}
}

func (bac *backends) left(_ model.VMID, msg *wire.BackendLeave) {
	bac.nod.entry.Leave(model.BackendID(msg.GetBackend()), msg.GetIncarnation())
}
