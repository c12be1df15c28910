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
	// broadcastInterval is the interval between messages to the other entry
	// VMs. Announcements that arrive within it share one message.
	broadcastInterval = 200 * time.Millisecond
	// announceQueueSize bounds the announcements that wait for the next
	// message. One that does not fit is not sent to the other VMs; the backend
	// server repeats it after a second.
	announceQueueSize = 4096
	// maxSlots is the largest number of slots that a backend server may
	// announce for its worker.
	maxSlots = 1000
	// maxConnections is the same for the connections to it.
	maxConnections = 1_000_000
)

// announcement is a backend server and the time when this VM received its
// announcement.
type announcement struct {
	backend   route.Backend
	arrivedAt time.Time
}

// backends handles announcements and departures of backend servers and sends
// them to the other entry VMs of the data centre. It implements admin.Backends.
type backends struct {
	nod *Node
	// pending holds the announcements that broadcast has not sent yet.
	pending chan announcement
}

// startBackends registers the handlers for messages from the other entry VMs and
// starts the goroutine that calls broadcast.
func startBackends(ctx context.Context, nod *Node) (*backends, func()) {
	bac := &backends{nod: nod, pending: make(chan announcement, announceQueueSize)}
	peer.Handle(nod.mux, bac.onAnnouncements)
	peer.Handle(nod.mux, bac.onLeave)
	return bac, host.Every(ctx, broadcastInterval, bac.broadcast)
}

// Announce validates an announcement, passes it to the request path of this VM
// and queues it for the other entry VMs. If it has zero slots or connections,
// the limits in the settings apply.
func (bac *backends) Announce(ann rest.BackendAnnounce) error {
	lim := bac.nod.settings.Limits()
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
	if err := checkAnnouncement(spec); err != nil {
		return err
	}
	srv := route.NewBackend(spec)
	bac.nod.entry.Announce(srv, 0)
	select {
	case bac.pending <- announcement{backend: srv, arrivedAt: time.Now()}:
	default:
	}
	return nil
}

// checkAnnouncement returns an error that lists the invalid fields of an
// announcement, or nil if all are valid.
func checkAnnouncement(spec route.BackendSpec) error {
	var fas []rest.Fault
	rejectIf := func(invalid bool, field, allowed string) {
		if invalid {
			fas = append(fas, rest.Fault{Field: field, Allowed: allowed})
		}
	}
	rejectIf(!model.ValidName(string(spec.ID)), "backend", model.NameAllowed)
	rejectIf(!model.ValidName(string(spec.Service)), "service", model.NameAllowed)
	rejectIf(!model.ValidName(string(spec.Worker)), "worker", model.NameAllowed)
	adr, err := netip.ParseAddrPort(spec.Address)
	rejectIf(err != nil || adr.Port() == 0, "address", "an IP address and a port")
	rejectIf(spec.Slots < 1 || spec.Slots > maxSlots, "slots", "1 to 1000")
	rejectIf(spec.Connections < 1 || spec.Connections > maxConnections, "connections", "1 to 1000000")
	if len(fas) > 0 {
		return admin.NewFaultsError(fas)
	}
	return nil
}

// Leave excludes a leaving backend server from new requests, on this VM and on
// the other entry VMs of the data centre.
func (bac *backends) Leave(lea rest.BackendLeave) error {
	bac.nod.entry.Leave(model.BackendID(lea.Backend), lea.Incarnation)
	for _, vmi := range bac.nod.centrePeers() {
		bac.nod.hub.Send(vmi, &wire.BackendLeave{Backend: lea.Backend, Incarnation: lea.Incarnation})
	}
	return nil
}

// broadcast sends the queued announcements to the other entry VMs of the data
// centre.
func (bac *backends) broadcast(context.Context) {
	msg := &wire.Announcements{}
	for range len(bac.pending) {
		ann := <-bac.pending
		msg.Backends = append(msg.Backends, wire.BackendToProto(ann.backend, time.Since(ann.arrivedAt)))
	}
	if len(msg.GetBackends()) == 0 {
		return
	}
	for _, vmi := range bac.nod.centrePeers() {
		bac.nod.hub.Send(vmi, msg)
	}
}

// onAnnouncements passes the announcements of another entry VM to the request path,
// except for invalid ones.
func (bac *backends) onAnnouncements(from model.VMID, msg *wire.Announcements) {
	for _, ann := range msg.GetBackends() {
		srv, age, err := readAnnouncement(ann)
		if err != nil {
			bac.nod.log.Warn("announcement of a backend server dropped", "from", from, "backend", ann.GetBackend(), "error", err)
			continue
		}
		bac.nod.entry.Announce(srv, age)
	}
}

// readAnnouncement returns the backend server that another entry VM announces and the age
// of the announcement, or an error that lists the invalid fields.
func readAnnouncement(ann *wire.BackendAnnouncement) (route.Backend, time.Duration, error) {
	srv, age := wire.BackendFromProto(ann)
	if err := checkAnnouncement(srv.Spec()); err != nil {
		return route.Backend{}, 0, err
	}
	return srv, age, nil
}

func (bac *backends) onLeave(_ model.VMID, msg *wire.BackendLeave) {
	bac.nod.entry.Leave(model.BackendID(msg.GetBackend()), msg.GetIncarnation())
}
