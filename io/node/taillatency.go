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
	// tailLatencyInterval is the interval between messages with tail latencies.
	tailLatencyInterval = time.Second
	// tailLatencyQueueSize bounds the tail latencies that wait for the next
	// message. Each backend server yields one per second.
	tailLatencyQueueSize = 4096
)

// tailLatencies sends the tail latencies (99th percentiles) that this VM's request
// path measures to the leader of the data centre group, which protects the
// services from interference by batch tasks.
type tailLatencies struct {
	nod *Node
	// pending holds the tail latencies for the next message.
	pending chan route.TailLatency
}

func newTailLatencies(nod *Node) *tailLatencies {
	return &tailLatencies{nod: nod, pending: make(chan route.TailLatency, tailLatencyQueueSize)}
}

// start registers the handler for tail latencies that other VMs measured, and
// starts the goroutine that sends those of this VM.
func (tai *tailLatencies) start(ctx context.Context) func() {
	peer.Handle(tai.nod.mux, tai.onTailLatencies)
	return host.Every(ctx, tailLatencyInterval, tai.send)
}

// add queues a tail latency, or drops it if the queue is full.
func (tai *tailLatencies) add(lat route.TailLatency) {
	select {
	case tai.pending <- lat:
	default:
	}
}

// send sends the queued tail latencies to the leader of the data centre group. If
// no leader is known, they are dropped.
func (tai *tailLatencies) send(context.Context) {
	msg := &wire.TailReadings{}
	for range len(tai.pending) {
		lat := <-tai.pending
		msg.Readings = append(msg.Readings, &wire.TailReading{
			Worker: string(lat.Worker()), Service: string(lat.Service()),
			LatencyUs: uint64(lat.Latency().Microseconds()), LoadPercent: uint32(100 * lat.Load()),
		})
	}
	if len(msg.GetReadings()) == 0 {
		return
	}
	tai.nod.ownCentre.ref.Do(func(_ model.Instant, rol quorum.Role, _ *centre.State) {
		if rol.Leader() != "" {
			tai.nod.hub.Send(rol.Leader(), msg)
		}
	})
}

// onTailLatencies passes the tail latencies that a VM measured to the scheduling leader
// on this VM. It drops them if this VM does not hold the leader lease.
func (tai *tailLatencies) onTailLatencies(_ model.VMID, msg *wire.TailReadings) {
	cen := tai.nod.ownCentre
	cen.ref.Do(func(now model.Instant, rol quorum.Role, _ *centre.State) {
		if !rol.Leased() {
			return
		}
		for _, lat := range msg.GetReadings() {
			cen.step(now, centre.NewTailLatency(sched.TailLatencySpec{
				Worker: model.WorkerID(lat.GetWorker()), Service: model.ServiceID(lat.GetService()),
				Tail: time.Duration(lat.GetLatencyUs()) * time.Microsecond, Load: float64(lat.GetLoadPercent()) / 100,
			}))
		}
	})
}
