package node

import (
	"context"
	"time"

	"guavarail/core/centre"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/route"
	"guavarail/core/sched"
	"guavarail/io/host"
	"guavarail/io/peer"
	"guavarail/io/wire"
)

const (
	// tailsEvery is how often readings of the tail latency are sent on.
	tailsEvery = time.Second
	// tailRoom bounds the readings between two messages; one backend server has
	// one in a second.
	tailRoom = 4096
)

// tails sends the readings of this VM's request path to the leader of the data
// centre group, whose guard acts on them.
type tails struct {
	nod   *Node
	fresh chan route.TailLatency
}

func newTails(nod *Node) *tails {
	return &tails{nod: nod, fresh: make(chan route.TailLatency, tailRoom)}
}

// start starts the goroutine that sends the readings.
func (tai *tails) start(ctx context.Context) func() {
	peer.Handle(tai.nod.mux, tai.received)
	return host.Every(ctx, tailsEvery, tai.send)
}

// note takes a reading; it is dropped when too many wait.
func (tai *tails) note(rdg route.TailLatency) {
	select {
	case tai.fresh <- rdg:
	default:
	}
}

func (tai *tails) send(context.Context) {
	msg := &wire.TailReadings{}
	for range len(tai.fresh) {
		rdg := <-tai.fresh
		msg.Readings = append(msg.Readings, &wire.TailReading{
			Worker: string(rdg.Worker()), Service: string(rdg.Service()),
			LatencyUs: uint64(rdg.Latency().Microseconds()), LoadPercent: uint32(100 * rdg.Load()),
		})
	}
	if len(msg.GetReadings()) == 0 {
		return
	}
	tai.nod.own.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) {
		if rol.Leader() != "" {
			tai.nod.hub.Send(rol.Leader(), msg)
		}
	})
}

// received steps the leader of the data centre with the readings of a VM.
func (tai *tails) received(_ model.VMID, msg *wire.TailReadings) {
	cen := tai.nod.own
	cen.ref.Do(func(now model.Instant, rol quorum.Role, _ *centre.State) {
		if !rol.Leased() {
			return
		}
		for _, rdg := range msg.GetReadings() {
			cen.step(now, centre.NewTailLatency(sched.TailLatencySpec{
				Worker: model.WorkerID(rdg.GetWorker()), Service: model.ServiceID(rdg.GetService()),
				Tail: time.Duration(rdg.GetLatencyUs()) * time.Microsecond, Load: float64(rdg.GetLoadPercent()) / 100,
			}))
		}
	})
}
