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

// watchTimeout bounds the wait for the detector of the same process.
const watchTimeout = 2 * time.Second

// DetectorConfig describes the failure detector of one VM.
type DetectorConfig struct {
	System *actor.ActorSystem
	Member member.Config
	Sender Sender
	Mux    *Mux
	// OnChange receives each change of the state of a VM. It runs on the actor
	// of the detector and must not block.
	OnChange func(member.Changed)
}

// Detector is the failure detector of one VM.
type Detector struct {
	ref host.Ref[*member.Detector, member.Input, member.Effect]
}

// StartDetector starts a failure detector over the links of a VM.
func StartDetector(cfg DetectorConfig) (*Detector, func(), error) {
	if cfg.OnChange == nil {
		cfg.OnChange = func(member.Changed) {}
	}
	every := member.DefaultTick
	if cfg.Member.Period > 0 {
		every = cfg.Member.Period / (member.DefaultPeriod / member.DefaultTick)
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
		TickInterval: every,
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

// SetPeers replaces the set of other VMs.
func (wat *Detector) SetPeers(vms []model.VMID) {
	wat.ref.Send(member.SetPeers{VMs: slices.Clone(vms)})
}

// States returns the state of every other VM, ordered by name.
func (wat *Detector) States() ([]member.Update, error) {
	got, err := host.Read(wat.ref, watchTimeout, func(_ model.Instant, nod *member.Detector) []member.Update { return nod.States() })
	return got, errors.Trace(err)
}
