package peer

import (
	"context"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"

	"guavarail/core/member"
	"guavarail/core/model"
	"guavarail/io/host"
	"guavarail/io/wire"
)

// measureTime is the time over which the sent bytes of idle VMs are counted.
const measureTime = 10 * time.Second

// warmUpPerVM times the number of VMs is the wait before the measurement. Two probe
// intervals per VM are enough for all VMs to contact each other and for the resulting
// membership updates to reach all of them.
const warmUpPerVM = 2 * member.DefaultPeriod

// heartbeatInterval is the interval of the all-to-all heartbeats that serve as the
// baseline: a VM from which two of them are missing is detected within 3 s.
const heartbeatInterval = time.Second

// startLinkedHubs starts num hubs and waits until every pair is linked. It calls muxFor
// with the index of each hub.
func startLinkedHubs(b *testing.B, num int, muxFor func(at int) *Mux) ([]*Hub, []model.VMID) {
	b.Helper()
	var hubs []*Hub
	var vms []model.VMID
	addrs := map[model.VMID]string{}
	for at := range num {
		vm := model.VMID(fmt.Sprintf("vm%02d", at))
		hub, stop, err := New(Config{Self: vm, Listen: "127.0.0.1:0", Mux: muxFor(at), Seed: uint64(at)})
		if err != nil {
			b.Fatal(err)
		}
		b.Cleanup(stop)
		hubs, vms, addrs[vm] = append(hubs, hub), append(vms, vm), hub.Addr()
	}
	for _, hub := range hubs {
		hub.SetPeers(addrs)
	}
	for _, hub := range hubs {
		for end := time.Now().Add(time.Minute); hub.Vars().OpenLinks() < int64(num-1); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				b.Fatalf("%d links of %d", hub.Vars().OpenLinks(), num-1)
			}
		}
	}
	return hubs, vms
}

// reportSentBytes reports the bytes that the sockets of a VM send per second, averaged
// over the VMs.
func reportSentBytes(b *testing.B, hubs []*Hub) {
	var before, after int64
	for _, hub := range hubs {
		sent, _ := hub.Vars().SocketBytes()
		before += sent
	}
	time.Sleep(measureTime)
	for _, hub := range hubs {
		sent, _ := hub.Vars().SocketBytes()
		after += sent
	}
	b.ReportMetric(float64(after-before)/measureTime.Seconds()/float64(len(hubs)), "sentBytes/s/vm")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkIdleTraffic measures the control traffic of an idle VM, with the gossip
// failure detector and with all-to-all heartbeats. Run it with -benchtime 1x, since each
// iteration takes measureTime.
func BenchmarkIdleTraffic(b *testing.B) {
	for _, num := range []int{3, 7, 15, 30, 60} {
		b.Run(fmt.Sprintf("member/%d", num), func(b *testing.B) {
			muxes := make([]Mux, num)
			hubs, vms := startLinkedHubs(b, num, func(at int) *Mux { return &muxes[at] })
			for at, hub := range hubs {
				_, stop, err := StartDetector(DetectorConfig{
					System: hub.cfg.System, Sender: hub, Mux: &muxes[at],
					Member: member.Config{Self: vms[at], Peers: vms, Seed: uint64(at), Incarnation: uint64(time.Now().Unix())},
				})
				if err != nil {
					b.Fatal(err)
				}
				b.Cleanup(stop)
			}
			time.Sleep(warmUpPerVM * time.Duration(num))
			for range b.N {
				reportSentBytes(b, hubs)
			}
		})
		b.Run(fmt.Sprintf("heartbeats/%d", num), func(b *testing.B) {
			muxes := make([]Mux, num)
			for at := range muxes {
				Handle(&muxes[at], func(model.VMID, *wire.MemberMessage) {})
			}
			hubs, vms := startLinkedHubs(b, num, func(at int) *Mux { return &muxes[at] })
			ctx, cancel := context.WithCancel(context.Background())
			ended := make(chan struct{}, num)
			for _, hub := range hubs {
				go sendHeartbeats(ctx, ended, hub, vms)
			}
			time.Sleep(warmUpPerVM * time.Duration(num))
			for range b.N {
				reportSentBytes(b, hubs)
			}
			cancel()
			for range num {
				<-ended
			}
		})
	}
}

// sendHeartbeats sends heartbeats to all other VMs until ctx ends, and then sends one
// value on ended.
func sendHeartbeats(ctx context.Context, ended chan<- struct{}, hub *Hub, vms []model.VMID) {
	defer func() { ended <- struct{}{} }()
	for seq := uint64(1); ctx.Err() == nil; seq++ {
		for _, vm := range vms {
			if vm != hub.cfg.Self {
				hub.Send(vm, &wire.MemberMessage{Seq: seq, Incarnation: uint64(time.Now().Unix())})
			}
		}
		host.Pause(ctx, heartbeatInterval)
	}
}

// BenchmarkRequest measures a request and its answer over one link.
func BenchmarkRequest(b *testing.B) {
	mux := &Mux{}
	HandleRequest(mux, func(_ context.Context, _ model.VMID, req *wrapperspb.Int64Value) (*wrapperspb.Int64Value, error) {
		return req, nil
	})
	muxes := []*Mux{mux, {}}
	hubs, vms := startLinkedHubs(b, 2, func(at int) *Mux { return muxes[at] })
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := hubs[1].Request(context.Background(), vms[0], wrapperspb.Int64(1)); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
