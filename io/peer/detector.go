package peer

import (
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/juju/errors"

	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/wire"
)

// statesTimeout bounds the time that States waits for the detector's actor.
const statesTimeout = 2 * time.Second

// DetectorConfig describes the failure detector of a VM.
type DetectorConfig struct {
	// System runs the actor of the detector.
	System *actor.ActorSystem
	// Member is the configuration of the detector; its Self is the name of the VM.
	Member member.Config
	// Sender sends the messages of the detector to other VMs.
	Sender Sender
	// Mux gets the handler for the detector's messages from other VMs.
	Mux *Mux
	// OnChange receives each change of the state of a VM. It is called on the
	// goroutine of the detector's actor and must not block. It may be nil.
	OnChange func(member.Changed)
}

// Detector addresses the actor of a VM's failure detector.
type Detector struct {
	ref host.Ref[*member.Detector, member.Input, member.Effect]
}

// StartDetector starts the actor of a failure detector that uses the links of a
// VM. The clean-up function stops it.
func StartDetector(cfg DetectorConfig) (*Detector, func(), error) {
	if cfg.OnChange == nil {
		cfg.OnChange = func(member.Changed) {}
	}
	// A tick is the same fraction of the probe interval as in the default configuration.
	interval := member.DefaultTick
	if cfg.Member.Period > 0 {
		interval = cfg.Member.Period / (member.DefaultPeriod / member.DefaultTick)
	}
	ref, stop, err := host.Spawn(cfg.System, host.Config[*member.Detector, member.Input, member.Effect]{
		Name:    "watch-" + string(cfg.Member.Self),
		Machine: member.New(cfg.Member),
		Clock:   host.NewClock(),
		HandleEffect: func(eff member.Effect) {
			switch val := eff.(type) {
			case member.Send:
				cfg.Sender.Send(val.To(), wire.MemberToProto(val.Message()))
			case member.Changed:
				cfg.OnChange(val)
			}
		},
		TickInterval: interval,
		TickInput:    func() member.Input { return member.Tick{} },
	})
	if err != nil {
		return nil, stop, errors.Trace(err)
	}
	Handle(cfg.Mux, func(from model.VMID, enc *wire.MemberMessage) {
		if msg, ok := wire.MemberFromProto(enc); ok {
			ref.Send(member.Received{From: from, Message: msg})
		}
	})
	return &Detector{ref: ref}, stop, nil
}

// SetPeers replaces the set of other VMs that are probed.
func (det *Detector) SetPeers(vms []model.VMID) {
	det.ref.Send(member.SetPeers{VMs: slices.Clone(vms)})
}

// States returns the state of every other VM, ordered by name. It fails if the actor does
// not answer within statesTimeout.
func (det *Detector) States() ([]member.Update, error) {
	got, err := host.Read(det.ref, statesTimeout, func(_ model.Instant, det *member.Detector) []member.Update { return det.States() })
	return got, errors.Trace(err)
}
