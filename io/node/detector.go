package node

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/io/peer"
)

// startDetector starts the failure detector of this VM.
func startDetector(nod *Node) (*peer.Detector, func(), error) {
	cfg := member.Config{Self: nod.self, Seed: nod.seed, Incarnation: uint64(time.Now().UnixNano())}
	for _, vmi := range nod.bootstrapVMs {
		if vmi.Name() != nod.self {
			cfg.Peers = append(cfg.Peers, vmi.Name())
		}
	}
	return peer.StartDetector(peer.DetectorConfig{
		System: nod.sys, Member: cfg, Sender: nod.hub, Mux: nod.mux,
		OnChange: func(cha member.Changed) {
			nod.rec.Record(event.New("vmStateChanged", event.Subject{VM: cha.VM()},
				event.NewField("from", cha.Before().String()), event.NewField("to", cha.After().String())))
		},
	})
}

// memberStates returns the state of every VM as seen by this VM's failure
// detector, or only that of this VM if the detector does not answer.
func (nod *Node) memberStates() map[model.VMID]member.State {
	out := map[model.VMID]member.State{nod.self: member.Alive}
	upds, err := nod.detector.States()
	if err != nil {
		return out
	}
	for _, upd := range upds {
		out[upd.VM()] = upd.State()
	}
	return out
}
