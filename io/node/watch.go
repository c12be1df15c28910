package node

import (
	"time"

	"guavarail/core/event"
	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/io/peer"
)

// startWatch starts the failure detector of this VM.
func startWatch(nod *Node) (*peer.Detector, func(), error) {
	cfg := member.Config{Self: nod.self, Seed: nod.seed, Incarnation: uint64(time.Now().UnixNano())}
	for _, vmi := range nod.seeds {
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

// states returns the state of every other VM as this VM sees it.
func (nod *Node) states() map[model.VMID]member.State {
	out := map[model.VMID]member.State{nod.self: member.Alive}
	nws, err := nod.watch.States()
	if err != nil {
		return out
	}
	for _, ne := range nws {
		out[ne.VM()] = ne.State()
	}
	return out
}
