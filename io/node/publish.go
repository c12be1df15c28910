package node

import (
	"time"

	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/permit"
)

// publish passes the fleet state to the other components if its configuration
// number has changed. It updates the percentage of admitted requests in any
// case, because that grows with time after a return to service.
func (nod *Node) publish(sta *fleet.State) {
	old := nod.view.Load()
	if old == nil || old.number != sta.Number() {
		vie := newView(sta, nod.centre)
		if old == nil {
			nod.firstViewAt.Store(int64(nod.clock()))
		}
		nod.view.Store(vie)
		nod.hub.SetPeers(vie.peerAddresses())
		nod.detector.SetPeers(vie.otherVMs(nod.self))
		nod.entry.SetActivePreset(vie.preset)
		if old != nil && old.outOfService(nod.centre) && !vie.outOfService(nod.centre) {
			nod.returnedAt.Store(int64(nod.clock()))
		}
	}
	nod.entry.SetAdmitPercent(nod.admitPercent())
}

// NotReadyReason returns why this VM is not ready for callers, or "" if it is ready.
func (nod *Node) NotReadyReason() string { return (&localInfo{nod: nod}).NotReadyReason() }

// Configuration returns the number of the configuration that this VM acts on,
// or 0 before the first one.
func (nod *Node) Configuration() uint64 {
	if vie := nod.view.Load(); vie != nil {
		return vie.number
	}
	return 0
}

// admitPercent returns the percentage of requests that the data centre admits: 0
// while it is out of service, growing to 100 after its return. If this VM has
// not seen a return, it passes a time longer than any ramp to RampPercent.
func (nod *Node) admitPercent() int {
	vie := nod.view.Load()
	returnedAt := nod.returnedAt.Load()
	switch {
	case vie == nil || vie.outOfService(nod.centre):
		return 0
	case returnedAt == 0:
		return permit.RampPercent(time.Hour)
	}
	return permit.RampPercent(nod.clock().Sub(model.Instant(returnedAt)))
}
